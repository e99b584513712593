/** Requests that came in at this gateway, and the claims and answers of their keys. */
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

/** How far a request has come. */
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
  /** Waits for the answer of another request with the same key. */
  | {
      readonly kind: 'following';
      readonly holderRequestId: string;
      readonly holderProcessId: string;
      readonly askedAt: Date;
      /** Since when the holder is known to be gone without word of how its work ended. */
      readonly goneSince: Date | null;
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
  /** Slots asked for so far; numbers the attempts. */
  readonly slotRequests: number;
  readonly attempts: number;
  readonly avoidHostId: string | null;
  /** An attempt of it ended so that its work may have run. */
  readonly mayHaveRun: boolean;
}

/** A key whose work ended, to be recorded. */
export interface KeyEnd {
  readonly keyHash: string;
  readonly requestId: string;
  readonly outcome: KeyOutcome;
}

/** Keys that wait to be recorded, gathered into few records. */
export interface KeyBatch {
  readonly claims: PersistentList<KeyClaim>;
  readonly ends: PersistentList<KeyEnd>;
  /** Records that were sent and not yet read back, by id. */
  readonly inFlight: PersistentOrderedMap<string, LogRecord>;
  readonly timerSet: boolean;
  readonly lastFlushAt: Date | null;
}

/** A slot that a gateway uses, as it reports it to the dispatcher. */
export interface HeldSlot {
  readonly slotRequestId: string;
  readonly pool: string;
  readonly hostId: string;
  readonly requestId: string;
  readonly startedAt: Date;
}

/** Another gateway that waits for an answer of ours. */
export interface RemoteFollower {
  readonly processId: string;
  readonly requestId: string;
}

/** An answer that is held for repeats. */
export interface HeldAnswerEntry {
  readonly requestId: string;
  readonly answer: HeldAnswer;
}

/** All requests of one gateway. */
export interface RequestsState {
  readonly byId: PersistentMap<string, RequestState>;
  readonly heldSlots: PersistentMap<string, HeldSlot>;
  /** Requests that wait, by service. */
  readonly waitingByService: PersistentMap<string, number>;
  /** Second attempts that may still be made. */
  readonly retryTokens: number;
  readonly keyBatch: KeyBatch;
  /** Requests whose caller has an answer already but whose claim may still be read: their keys are given back then. */
  readonly abandonedClaims: PersistentOrderedSet<string>;
  readonly heldAnswers: PersistentOrderedMap<string, HeldAnswerEntry>;
  /** Requests of this gateway that follow one of its own, by the followed request. */
  readonly localFollowers: PersistentMap<string, PersistentSet<string>>;
  readonly remoteFollowers: PersistentMap<string, PersistentList<RemoteFollower>>;
}

/** No requests. */
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
