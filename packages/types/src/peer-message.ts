/** Messages between the processes of the system. */
import type { StoredRecord, StreamName } from './record.js';
import type { CapabilityNeed, TargetAddress, WorkClass } from './request.js';

/** A slot that a gateway asks the pool's dispatcher for. */
export interface SlotRequest {
  readonly slotRequestId: string;
  readonly pool: string;
  readonly caller: string;
  readonly workKind: string;
  readonly needs: readonly CapabilityNeed[];
  /** The caller's word on how long the work runs; it may be wrong. */
  readonly hint: 'short' | 'long' | null;
  readonly longWorkThresholdMilliseconds: number;
  /** Time that is left to the caller when the message is sent. */
  readonly remainingMilliseconds: number;
  /** A target that already failed this request; another is preferred. */
  readonly avoidHostId: string | null;
}

/** A slot in use, as its holder reports it to a new dispatcher. */
export interface SlotHolding {
  readonly slotRequestId: string;
  readonly hostId: string;
  readonly caller: string;
  readonly workKind: string;
  readonly longWorkThresholdMilliseconds: number;
}

/** A slot that a former dispatcher kept in use because its work may still run. */
export interface UnsettledSlot {
  readonly slotRequestId: string;
  readonly hostId: string;
  /** Time until which the slot stays in use without word from the platform. */
  readonly settleInMilliseconds: number;
}

/** How an attempt ended, as the dispatcher needs to know it. */
export type AttemptOutcome =
  | 'succeeded'
  | 'failed'
  /** The connection broke: the work may still run. */
  | 'broken'
  | 'refused'
  /** Given up by its gateway: the work may still run. */
  | 'abandoned'
  | 'unused';

/** Demand for the slots of a pool. */
export interface PoolLoad {
  readonly pool: string;
  readonly busySlots: number;
  readonly waiting: number;
  readonly totalSlots: number;
  /** Slots that the arrivals of the last seconds keep busy, whether or not there are as many. */
  readonly offeredSlots: number;
}

/** What one process says to another. */
export type PeerMessage =
  | {
      readonly kind: 'heartbeat';
      readonly sequence: number;
      /** The last sequence heard from the receiver; 0 before any. */
      readonly echo: number;
      readonly fleetOffset: number;
      readonly configurationVersion: number;
      /** Hosts with work of the sender in progress, and how much; only hosts that are draining are listed. */
      /** Load of the pools that the sender hands out. */
      readonly poolLoads: readonly PoolLoad[];
      readonly drainingInFlight: readonly { readonly hostId: string; readonly count: number }[];
    }
  | { readonly kind: 'slot-requested'; readonly request: SlotRequest }
  | { readonly kind: 'slot-cancelled'; readonly pool: string; readonly slotRequestId: string }
  | {
      readonly kind: 'slot-granted';
      readonly pool: string;
      readonly slotRequestId: string;
      readonly target: TargetAddress;
      /** What the dispatcher takes the work for, by what it has seen. */
      readonly workClass: WorkClass;
    }
  | {
      readonly kind: 'slot-refused';
      readonly pool: string;
      readonly slotRequestId: string;
      readonly reason: 'queue-full';
    }
  | {
      readonly kind: 'slot-released';
      readonly pool: string;
      readonly slotRequestId: string;
      readonly outcome: AttemptOutcome;
      readonly runMilliseconds: number;
    }
  | { readonly kind: 'holdings-requested'; readonly pool: string; readonly viewOffset: number }
  | {
      readonly kind: 'holdings-reported';
      readonly pool: string;
      readonly viewOffset: number;
      readonly holdings: readonly SlotHolding[];
      readonly unsettled: readonly UnsettledSlot[];
    }
  /** The answers that a gateway which leaves held, for its heir. */
  | { readonly kind: 'answers-handed-over'; readonly answers: readonly HandedOverAnswer[] }
  | { readonly kind: 'answer-requested'; readonly keyHash: string; readonly requestId: string }
  | { readonly kind: 'answer-found'; readonly requestId: string; readonly answer: HeldAnswer | null }
  | {
      readonly kind: 'records-pushed';
      readonly stream: StreamName;
      readonly records: readonly StoredRecord[];
    };

/** An answer that another gateway holds from now on. */
export interface HandedOverAnswer {
  readonly keyHash: string;
  readonly requestId: string;
  readonly answer: HeldAnswer;
}

/** A whole answer that is kept for a repeat of the same work. */
export interface HeldAnswer {
  readonly status: number;
  readonly headers: readonly (readonly [string, string])[];
  readonly body: Uint8Array;
}
