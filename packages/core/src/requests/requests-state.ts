/** State of this gateway's requests, and of the claims and held answers of their idempotency keys. */
import type {
  HeldAnswer,
  KeyClaim,
  KeyOutcome,
  LogRecord,
  RequestDescription,
  TargetAddress,
} from '@baobabdeck/types';
import {
  PersistentList,
  PersistentMap,
  PersistentOrderedMap,
  PersistentOrderedSet,
  PersistentSet,
} from '../persistent.js';

/** Processing phase of a request. */
export type RequestPhase =
  | { readonly kind: 'claiming'; readonly giveUpAt: Date }
  | { readonly kind: 'waiting'; readonly slotRequestId: string; readonly askedAt: Date }
  | {
      readonly kind: 'running';
      readonly attemptId: string;
      readonly target: TargetAddress;
      readonly startedAt: Date;
      readonly responded: boolean;
    }
  /** Waits for the answer of an earlier request with the same key. */
  | {
      readonly kind: 'following';
      readonly holderRequestId: string;
      readonly holderProcessId: string;
      readonly askedAt: Date;
      /** When the holder was first found to be lost while the end of its work was not recorded; null otherwise. */
      readonly holderLostSince: Date | null;
    };

/** A request in progress. */
export interface RequestState {
  readonly description: RequestDescription;
  readonly pool: string;
  readonly longWorkThresholdMilliseconds: number;
  readonly silenceTimeoutMilliseconds: number;
  readonly arrivedAt: Date;
  readonly deadlineAt: Date;
  readonly phase: RequestPhase;
  /** Number of slot requests so far; part of the slot request id, which is also the attempt id. */
  readonly slotRequests: number;
  readonly attempts: number;
  readonly avoidHostId: string | null;
  /** True if the work may have run in an earlier attempt. */
  readonly mayHaveRun: boolean;
}

/** End of the work of a key, as appended to the log. */
export interface KeyEnd {
  readonly keyHash: string;
  readonly requestId: string;
  readonly outcome: KeyOutcome;
}

/** Claims and ends of keys that wait for the next batched record. */
export interface KeyBatch {
  readonly claims: PersistentList<KeyClaim>;
  readonly ends: PersistentList<KeyEnd>;
  /** Records by id that were appended but not read back yet. */
  readonly inFlight: PersistentOrderedMap<string, LogRecord>;
  readonly timerSet: boolean;
  readonly lastFlushAt: Date | null;
}

/** A slot that this gateway holds for an attempt. */
export interface HeldSlot {
  readonly slotRequestId: string;
  readonly pool: string;
  readonly hostId: string;
  readonly requestId: string;
  readonly startedAt: Date;
}

/** A request of another gateway that waits for the answer of one of this gateway's requests. */
export interface RemoteFollower {
  readonly processId: string;
  readonly requestId: string;
}

/** An answer that is kept for later requests with the same key. */
export interface HeldAnswerEntry {
  readonly requestId: string;
  readonly answer: HeldAnswer;
}

/** State of all requests of this gateway. */
export interface RequestsState {
  readonly byId: PersistentMap<string, RequestState>;
  readonly heldSlots: PersistentMap<string, HeldSlot>;
  /** Number of requests by service that wait for a claim or a slot. */
  readonly waitingByService: PersistentMap<string, number>;
  /** Token balance of the retry budget; each retry costs one token. */
  readonly retryTokens: number;
  readonly keyBatch: KeyBatch;
  /** Requests that ended before their claim was read back; if the claim wins later, it is ended as not run. */
  readonly abandonedClaims: PersistentOrderedSet<string>;
  readonly heldAnswers: PersistentOrderedMap<string, HeldAnswerEntry>;
  /** Requests of this gateway that wait for the answer of another of its requests, by the id of that request. */
  readonly localFollowers: PersistentMap<string, PersistentSet<string>>;
  /**
   * Requests of other gateways that wait for the answer of a request of this gateway, by the id of that
   * request.
   */
  readonly remoteFollowers: PersistentMap<string, PersistentList<RemoteFollower>>;
}

/** Returns the initial state, without requests. */
export function emptyRequestsState(retryTokens: number): RequestsState {
  return {
    byId: PersistentMap(),
    heldSlots: PersistentMap(),
    waitingByService: PersistentMap(),
    retryTokens,
    keyBatch: {
      claims: PersistentList(),
      ends: PersistentList(),
      inFlight: PersistentOrderedMap(),
      timerSet: false,
      lastFlushAt: null,
    },
    abandonedClaims: PersistentOrderedSet(),
    heldAnswers: PersistentOrderedMap(),
    localFollowers: PersistentMap(),
    remoteFollowers: PersistentMap(),
  };
}
