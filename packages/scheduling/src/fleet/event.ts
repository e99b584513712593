/** Events that the fleet owner handles and effects that it requests. */
import type { HostListing } from '../model/worker.js';
import type { WorkspaceTerms } from '../model/workspace.js';
import type { ServiceReport } from '../model/service-report.js';
import type { SchedulingFields } from '../state/effect.js';
import type { Instant } from '../model/instant.js';
import type { FleetRecord, HostAction, PoolConfiguration, WaveStatus } from './state.js';

/** Outcome of an order on a host. */
export type HostOrderOutcome =
  | 'accepted'
  /** A higher fencing token has been seen. */
  | 'fenced'
  /** The host is not up, or it is leaving. */
  | 'busy'
  /** The host does not belong to the wave. */
  | 'not-in-wave'
  | 'invalid'
  /** Too many orders; nothing was done. */
  | 'throttled'
  /** Ownership was not proven recently enough; nothing was sent. */
  | 'withheld'
  /** No answer: the order may have been carried out, or may still be. */
  | 'unanswered';

/** An event of the fleet owner. */
export type FleetEvent = { readonly at: Instant; readonly timeOfDay: Date } & (
  | { readonly kind: 'ticked' }
  /** The store held no newer claim when it was read at `askedAt`. */
  | { readonly kind: 'ownership-proven'; readonly askedAt: Instant }
  | { readonly kind: 'pools-known'; readonly pools: readonly PoolConfiguration[] }
  | {
      readonly kind: 'wave-asked';
      readonly wave: number;
      readonly hostIds: readonly string[];
      readonly durationMilliseconds: number;
      readonly maximumDown: number;
    }
  | { readonly kind: 'hosts-listed'; readonly hosts: readonly HostListing[]; readonly askedAt: Instant }
  | { readonly kind: 'service-reported'; readonly report: ServiceReport }
  | {
      readonly kind: 'fleet-records-stored';
      readonly appendId: number;
      /** Offset of the batch's first record. */
      readonly firstOffset: number;
      readonly askedAt: Instant;
    }
  | {
      readonly kind: 'host-order-settled';
      readonly hostId: string;
      readonly fencingEpoch: number;
      readonly outcome: HostOrderOutcome;
    }
  | {
      readonly kind: 'wave-status-told';
      readonly wave: number;
      readonly status: WaveStatus;
      readonly isStored: boolean;
    }
  | {
      readonly kind: 'workspaces-configured';
      readonly version: number;
      readonly workspaces: readonly WorkspaceTerms[];
    }
  | {
      /** Messages are about to be sent to services. */
      readonly kind: 'grants-due';
      readonly messages: readonly { readonly service: string; readonly sequence: number }[];
    }
  | { readonly kind: 'ownership-lost' }
  /** The process shuts down and hands the fleet over. */
  | { readonly kind: 'resign-requested' }
);

/** Events of one kind. */
export type FleetEventOf<K extends FleetEvent['kind']> = Extract<FleetEvent, { readonly kind: K }>;

/** Decisions on the fleet that are logged. */
export type FleetDecision =
  | 'hostWanted'
  | 'hostOrdered'
  | 'hostOrderSettled'
  | 'hostBack'
  | 'waveBegun'
  | 'waveEnded'
  | 'ownershipSuperseded';

/** An effect that the fleet owner requests. */
export type FleetEffect =
  | {
      readonly kind: 'store-fleet-records';
      readonly appendId: number;
      readonly records: readonly FleetRecord[];
    }
  | {
      readonly kind: 'order-host';
      readonly hostId: string;
      readonly what: HostAction;
      readonly fencingEpoch: number;
      readonly delayMilliseconds: number;
    }
  | { readonly kind: 'tell-wave-status'; readonly wave: number; readonly status: WaveStatus }
  | { readonly kind: 'give-up-ownership'; readonly reason: string }
  | { readonly kind: 'log'; readonly decision: FleetDecision; readonly fields: SchedulingFields };

/** A generator that yields effects and returns a value. */
export type FleetStep<T> = Generator<FleetEffect, T, void>;
