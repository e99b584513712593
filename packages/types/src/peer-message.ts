/** Messages that gateways and controllers exchange. */
import type { StoredRecord, StreamName } from './record.js';
import type { CapabilityNeed, TargetAddress, WorkClass } from './request.js';

/** A request of a gateway to the dispatcher of a pool for one slot. */
export interface SlotRequest {
  readonly slotRequestId: string;
  readonly pool: string;
  readonly caller: string;
  readonly workKind: string;
  readonly needs: readonly CapabilityNeed[];
  /** Expected work class as the caller states it; it may be wrong. */
  readonly hint: 'short' | 'long' | null;
  readonly longWorkThresholdMilliseconds: number;
  /** Time until the caller's deadline when the message is sent. */
  readonly remainingMilliseconds: number;
  /** Host on which this request already failed; other hosts are preferred. */
  readonly avoidHostId: string | null;
}

/** A slot in use, as the gateway that holds it reports it to a new dispatcher. */
export interface SlotHolding {
  readonly slotRequestId: string;
  readonly hostId: string;
  readonly caller: string;
  readonly workKind: string;
  readonly longWorkThresholdMilliseconds: number;
}

/** A slot that the previous dispatcher kept in use because its work may still be running. */
export interface UnsettledSlot {
  readonly slotRequestId: string;
  readonly hostId: string;
  /** Time after which the slot is freed if the platform does not report the end of the work earlier. */
  readonly settleInMilliseconds: number;
}

/** Outcome of an attempt, as reported to the dispatcher. */
export type AttemptOutcome =
  | 'succeeded'
  | 'failed'
  /** The connection failed; the work may still be running. */
  | 'broken'
  | 'refused'
  /** The gateway gave up the attempt; the work may still be running. */
  | 'abandoned'
  | 'unused';

/** Use of and demand for the slots of a pool. */
export interface PoolLoad {
  readonly pool: string;
  readonly busySlots: number;
  readonly waiting: number;
  readonly totalSlots: number;
  /** Slots needed for the arrivals of the last seconds; may exceed `totalSlots`. */
  readonly offeredSlots: number;
}

/** Message from one process to another, tagged by `kind`. */
export type PeerMessage =
  | {
      readonly kind: 'heartbeat';
      readonly sequence: number;
      /** Last `sequence` received from the addressee; 0 if none was received. */
      readonly echo: number;
      readonly fleetOffset: number;
      readonly configurationVersion: number;
      /** Load of the pools of which the sender is the dispatcher. */
      readonly poolLoads: readonly PoolLoad[];
      /** Work of the sender in progress, by host; only draining hosts are listed. */
      readonly drainingInFlight: readonly { readonly hostId: string; readonly count: number }[];
    }
  | { readonly kind: 'slot-requested'; readonly request: SlotRequest }
  | { readonly kind: 'slot-cancelled'; readonly pool: string; readonly slotRequestId: string }
  | {
      readonly kind: 'slot-granted';
      readonly pool: string;
      readonly slotRequestId: string;
      readonly target: TargetAddress;
      /** Work class that the dispatcher estimates from earlier runs of the same work kind. */
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
  /** Sent by a stopping gateway to its successor with the answers that it held. */
  | { readonly kind: 'answers-handed-over'; readonly answers: readonly HandedOverAnswer[] }
  | { readonly kind: 'answer-requested'; readonly keyHash: string; readonly requestId: string }
  | { readonly kind: 'answer-found'; readonly requestId: string; readonly answer: HeldAnswer | null }
  | {
      readonly kind: 'records-pushed';
      readonly stream: StreamName;
      readonly records: readonly StoredRecord[];
    };

/** An answer that a stopping gateway passes to its successor. */
export interface HandedOverAnswer {
  readonly keyHash: string;
  readonly requestId: string;
  readonly answer: HeldAnswer;
}

/** A complete answer that is kept for repeated requests with the same idempotency key. */
export interface HeldAnswer {
  readonly status: number;
  readonly headers: readonly (readonly [string, string])[];
  readonly body: Uint8Array;
}
