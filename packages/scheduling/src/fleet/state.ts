/** The state of the fleet's owner: hosts, orders on them, waves, and the reports of services. */
import type { Map as PersistentMap } from 'immutable';
import type { HostListing } from '../model/worker.js';
import type { ServiceReport } from '../service/demand.js';
import type { Instant } from '../service/state.js';

/** What is ordered of a host. */
export type HostAction =
  { readonly kind: 'move'; readonly pool: string } | { readonly kind: 'maintain'; readonly wave: number };

/** An order on a host. It is recorded before it is given; the record's place is its fencing token. */
export interface HostOrder {
  readonly what: HostAction;
  readonly phase: 'recording' | 'sent' | 'accepted';
  /** Null until the record is stored. */
  readonly fencingEpoch: number | null;
  readonly acceptedAt: Instant | null;
  /** When an attempt was last left unanswered: it may still be carried out. */
  readonly unansweredAt: Instant | null;
}

/** A host that its service is asked to empty. */
export interface RequestedHostAction {
  readonly what: HostAction;
  readonly since: Instant;
}

/** One host. */
export interface HostState {
  readonly listing: HostListing;
  readonly order: HostOrder | null;
  readonly requestedAction: RequestedHostAction | null;
  /** The platform refused an order on it, or an earlier owner gave one; no other is given before. */
  readonly cooldownUntil: Instant;
  /** When this owner last gave an order on it; null for never. */
  readonly orderedAt: Instant | null;
}

/** What the operator is told of a wave. */
export type WaveStatus = 'running' | 'completed';

/** A wave that the operator asks for. */
export interface WaveState {
  readonly wave: number;
  readonly hostIds: readonly string[];
  readonly maximumDown: number;
  readonly durationMilliseconds: number;
  /** When this owner saw it first. */
  readonly seenAt: Instant;
  /** When the first owner to see it did so, by that owner's time of day. */
  readonly seenSince: Date;
  /** Hosts whose maintenance has begun. */
  readonly begunHostIds: ReadonlySet<string>;
  readonly isCompleted: boolean;
  /** The status that the operator was told last. */
  readonly reportedStatus: WaveStatus | null;
  readonly isReporting: boolean;
}

/** A pool as the configuration has it. */
export interface PoolConfiguration {
  readonly pool: string;
  readonly isStandby: boolean;
}

/** A service's newest report and when it came. */
export interface ReceivedReport {
  readonly report: ServiceReport;
  readonly at: Instant;
  /** Since when the service has had more hosts than it needs; null while it has not. */
  readonly surplusSince: Instant | null;
}

/** What the fleet's journal holds on a host or a wave. */
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
      /** The owner gives no more orders. What it ordered a moment ago is left alone for the rest of that time. */
      readonly kind: 'fleet-resigned';
      readonly rests: readonly { readonly hostId: string; readonly milliseconds: number }[];
    };

/** A record of the fleet's journal; the time is that of the owner that wrote it. */
export type FleetRecord = FleetRecordContent & { readonly recordedAt: Date };

/** Parameters of the fleet's owner. */
export interface FleetParameters {
  /** Time that must pass between the orders of two owners on one host. */
  readonly holderLeaseMilliseconds: number;
  /** Time after the last proof of ownership until which orders are given. */
  readonly ownershipProofMilliseconds: number;
}

/** The whole state. */
export interface FleetState {
  readonly parameters: FleetParameters;
  readonly now: Instant;
  readonly timeOfDay: Date;
  readonly claimedAt: Instant;
  readonly provenAt: Instant;
  readonly pools: readonly PoolConfiguration[];
  readonly hosts: PersistentMap<string, HostState>;
  /** When the list of hosts that is known was asked for; null before the first. */
  readonly listedAt: Instant | null;
  readonly waves: PersistentMap<number, WaveState>;
  readonly reports: PersistentMap<string, ReceivedReport>;
  /** Records that wait to be stored, oldest first. */
  readonly outbox: readonly FleetRecord[];
  readonly inFlight: { readonly appendId: number; readonly records: readonly FleetRecord[] } | null;
  readonly nextAppendId: number;
  /** Hosts that an earlier owner has given orders on, and until when they are left alone for that. */
  readonly inheritedCooldowns: ReadonlyMap<string, Instant>;
  /** Recorded orders of an earlier owner that were not accepted as far as is known. */
  readonly inheritedOrders: PersistentMap<string, HostAction>;
  readonly isSuperseded: boolean;
  /** It hands the fleet over and gives no more orders. */
  readonly isResigning: boolean;
}
