/** State of the fleet owner: hosts, orders on hosts, maintenance waves, and the reports of services. */
import type { Map as PersistentMap } from 'immutable';
import type { HostListing } from '../model/worker.js';
import type { ServiceReport } from '../model/service-report.js';
import type { Instant } from '../model/instant.js';
import type { FleetGrants } from './grant-state.js';

/** Action on a host: a move to another pool, or maintenance for a wave. */
export type HostAction =
  { readonly kind: 'move'; readonly pool: string } | { readonly kind: 'maintain'; readonly wave: number };

/** An order on a host. It is recorded before it is sent; the record's offset plus 1 is its fencing token. */
export interface HostOrder {
  readonly what: HostAction;
  readonly phase: 'recording' | 'sent' | 'accepted';
  /** Null until the record is stored. */
  readonly fencingEpoch: number | null;
  readonly acceptedAt: Instant | null;
  /** When an attempt last went unanswered; it may still be carried out. */
  readonly unansweredAt: Instant | null;
}

/** An action requested for a host, which its service must drain first. */
export interface RequestedHostAction {
  readonly what: HostAction;
  readonly since: Instant;
  /** An earlier owner may have sent an order for it, which may still be carried out. */
  readonly isResumed: boolean;
}

/** State of one host. */
export interface HostState {
  readonly listing: HostListing;
  readonly order: HostOrder | null;
  readonly requestedAction: RequestedHostAction | null;
  /** No order is sent before, because the platform refused one or an earlier owner sent one. */
  readonly cooldownUntil: Instant;
  /** When this owner last sent an order on the host; null for never. */
  readonly orderedAt: Instant | null;
}

/** Status of a wave as reported to the operator. */
export type WaveStatus = 'running' | 'completed';

/** A maintenance wave that the operator requested. */
export interface WaveState {
  readonly wave: number;
  readonly hostIds: readonly string[];
  readonly maximumDown: number;
  readonly durationMilliseconds: number;
  /** When this owner first received the wave. */
  readonly seenAt: Instant;
  /** When the first owner that received the wave did so, by its time of day. */
  readonly seenSince: Date;
  /** Hosts whose maintenance has begun. */
  readonly begunHostIds: ReadonlySet<string>;
  readonly isCompleted: boolean;
  /** The status that was last reported to the operator; null for none. */
  readonly reportedStatus: WaveStatus | null;
  /** A status report to the operator is in flight. */
  readonly isReporting: boolean;
}

/** Configuration of a pool. */
export interface PoolConfiguration {
  readonly pool: string;
  readonly isStandby: boolean;
}

/** Newest report of a service. */
export interface ReceivedReport {
  readonly report: ServiceReport;
  readonly receivedAt: Instant;
  /** Since when the service has had more hosts than it keeps; null if it has no surplus. */
  readonly surplusSince: Instant | null;
  /** The most hosts that the service required of late; null before its first report is evaluated. */
  readonly peak: DemandPeak | null;
}

/** A peak of the hosts that a service required. */
export interface DemandPeak {
  readonly hosts: number;
  readonly at: Instant;
}

/** Content of a record of the fleet's journal. */
export type FleetRecordContent =
  | {
      readonly kind: 'host-ordered';
      readonly hostId: string;
      readonly what: HostAction;
      readonly isAccepted: boolean;
    }
  | { readonly kind: 'host-settled'; readonly hostId: string }
  | {
      readonly kind: 'wave-progress';
      readonly wave: number;
      readonly seenSince: Date;
      readonly begunHostIds: readonly string[];
      readonly isCompleted: boolean;
    }
  | {
      /** The owner sends no more orders; hosts that it ordered recently get no order for the listed times. */
      readonly kind: 'fleet-resigned';
      readonly rests: readonly { readonly hostId: string; readonly milliseconds: number }[];
    };

/** A record of the fleet's journal, stamped with the time of day of the owner that wrote it. */
export type FleetRecord = FleetRecordContent & { readonly recordedAt: Date };

/** Parameters of the fleet owner. */
export interface FleetParameters {
  /** Minimum time between the orders of two owners on one host. */
  readonly holderLeaseMilliseconds: number;
  /** Time for which orders may be sent after the last proof of ownership. */
  readonly ownershipProofMilliseconds: number;
}

/** The whole state of the fleet owner. */
export interface FleetState {
  readonly parameters: FleetParameters;
  readonly now: Instant;
  readonly timeOfDay: Date;
  readonly claimedAt: Instant;
  readonly provenAt: Instant;
  readonly pools: readonly PoolConfiguration[];
  readonly hosts: PersistentMap<string, HostState>;
  /** When the newest applied list of hosts was requested; null before the first. */
  readonly listedAt: Instant | null;
  readonly waves: PersistentMap<number, WaveState>;
  readonly reports: PersistentMap<string, ReceivedReport>;
  /** Records that are not yet sent to the store, oldest first. */
  readonly outbox: readonly FleetRecord[];
  readonly inFlight: { readonly appendId: number; readonly records: readonly FleetRecord[] } | null;
  readonly nextAppendId: number;
  /** Hosts on which an earlier owner sent orders, with the time until which they get no order for that. */
  readonly inheritedCooldowns: ReadonlyMap<string, Instant>;
  /** Recorded orders of an earlier owner by host; their acceptance is not recorded. */
  readonly inheritedOrders: PersistentMap<string, HostAction>;
  readonly isSuperseded: boolean;
  /** The fleet is being handed over; no more orders are sent. */
  readonly isResigning: boolean;
  readonly grants: FleetGrants;
}
