/** What can happen to the fleet's owner, and what it asks to be done, as data. */
import type { HostListing } from '../model/worker.js';
import type { ServiceReport } from '../service/demand.js';
import type { SchedulingFields } from '../service/effect.js';
import type { Instant } from '../service/state.js';
import type { FleetRecord, HostAction, PoolConfiguration, WaveStatus } from './state.js';

/** How an order on a host ended. */
export type HostOrderOutcome =
  | 'accepted'
  /** A higher fencing token has been seen. */
  | 'fenced'
  /** The host is not up, or leaving. */
  | 'busy'
  /** The host is not of that wave. */
  | 'not-in-wave'
  | 'invalid'
  /** Too many orders; nothing was done. */
  | 'throttled'
  /** Our ownership was not proven recently enough: nothing was sent. */
  | 'withheld'
  /** No answer: it may have been, or may yet be, carried out. */
  | 'unanswered';

/** One event. */
export type FleetEvent = { readonly at: Instant; readonly timeOfDay: Date } & (
  | { readonly kind: 'ticked' }
  /** No newer claim stood when this was asked. */
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
  | { readonly kind: 'ownership-lost' }
  /** The process stops: the fleet is handed over. */
  | { readonly kind: 'resign-requested' }
);

/** The events of one kind. */
export type FleetEventOf<K extends FleetEvent['kind']> = Extract<FleetEvent, { readonly kind: K }>;

/** Decisions on the fleet that are worth a line in the log. */
export type FleetDecision =
  | 'hostWanted'
  | 'hostOrdered'
  | 'hostOrderSettled'
  | 'hostBack'
  | 'waveBegun'
  | 'waveEnded'
  | 'ownershipSuperseded';

/** One effect. */
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

/** A step that yields effects and ends with a value. */
export type FleetStep<T> = Generator<FleetEffect, T, void>;
