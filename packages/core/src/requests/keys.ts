/** Claims idempotency keys through the log before their work may run, and records how it ended. */
import {
  addMilliseconds,
  type KeyClaim,
  type KeyOutcome,
  type RecordBody,
  type StoredRecord,
} from '@baobabdeck/types';
import { selectGatewayIds } from '../dispatch/assign-dispatchers.js';
import type { Effect, Step } from '../effect.js';
import { makeRecord, type State } from '../state.js';
import type { KeyBatch, KeyEnd } from './requests-state.js';

/** Records of keys that all gateways together append in a second, at most. */
const KEY_RECORDS_PER_SECOND = 280;

const MILLISECONDS_PER_SECOND = 1_000;

/** Claims or ends in one record. */
const KEYS_PER_RECORD = 200;

/** The timer of the next record. */
export const KEY_BATCH_TIMER = 'key-batch';

function setBatch(state: State, keyBatch: KeyBatch): State {
  return { ...state, requests: { ...state.requests, keyBatch } };
}

/** Time between two records of one gateway: the more gateways take part, the longer. */
function batchMilliseconds(state: State): number {
  const gateways = Math.max(1, selectGatewayIds(state.fold.fleet).length);
  return Math.ceil((gateways * MILLISECONDS_PER_SECOND) / KEY_RECORDS_PER_SECOND);
}

/** The next record leaves at once, or as long after the last one as the bound on appends asks for. */
function* armTimer(state: State): Step<State> {
  const { timerSet, lastFlushAt } = state.requests.keyBatch;
  if (timerSet) return state;
  const earliest = lastFlushAt === null ? state.now : addMilliseconds(lastFlushAt, batchMilliseconds(state));
  const at = earliest > state.now ? earliest : state.now;
  yield { kind: 'set-timer', timerId: KEY_BATCH_TIMER, at };
  return setBatch(state, { ...state.requests.keyBatch, timerSet: true });
}

/** Adds a claim to the next record. */
export function* addClaim(state: State, claim: KeyClaim): Step<State> {
  const batch = state.requests.keyBatch;
  return yield* armTimer(setBatch(state, { ...batch, claims: batch.claims.push(claim) }));
}

/** Adds the end of claimed work to the next record. */
export function* addEnd(state: State, end: KeyEnd): Step<State> {
  const batch = state.requests.keyBatch;
  return yield* armTimer(setBatch(state, { ...batch, ends: batch.ends.push(end) }));
}

/** Records how a request's work ended, where it holds a key. */
export function* recordOutcome(
  state: State,
  requestId: string,
  keyHash: string | null,
  outcome: KeyOutcome,
): Step<State> {
  return keyHash === null ? state : yield* addEnd(state, { keyHash, requestId, outcome });
}

function* appendKeys(state: State, body: RecordBody): Step<State> {
  const [next, record] = makeRecord(state, body, state.fold.keys.nextOffset);
  const effect: Effect = { kind: 'append', stream: 'keys', record };
  yield effect;
  const batch = next.requests.keyBatch;
  return setBatch(next, { ...batch, inFlight: batch.inFlight.set(record.id, record) });
}

function* flushClaims(state: State): Step<State> {
  const batch = state.requests.keyBatch;
  const claims = batch.claims.take(KEYS_PER_RECORD).toArray();
  if (claims.length === 0) return state;
  const { processId, incarnation } = state.identity;
  const body: RecordBody = {
    kind: 'keys-claimed',
    processId,
    incarnation,
    claims,
    memoryMilliseconds: state.parameters.keyMemoryMilliseconds,
    untimedLimit: state.parameters.untimedKeyLimit,
  };
  return yield* appendKeys(setBatch(state, { ...batch, claims: batch.claims.skip(KEYS_PER_RECORD) }), body);
}

function* flushEnds(state: State): Step<State> {
  const batch = state.requests.keyBatch;
  const ends = batch.ends.take(KEYS_PER_RECORD).toArray();
  if (ends.length === 0) return state;
  return yield* appendKeys(setBatch(state, { ...batch, ends: batch.ends.skip(KEYS_PER_RECORD) }), {
    kind: 'keys-ended',
    ends,
  });
}

/** Sends what was gathered. */
export function* flushKeys(state: State): Step<State> {
  const idle = setBatch(state, { ...state.requests.keyBatch, timerSet: false, lastFlushAt: state.now });
  const claimed = yield* flushClaims(idle);
  const ended = yield* flushEnds(claimed);
  const left = ended.requests.keyBatch;
  return left.claims.isEmpty() && left.ends.isEmpty() ? ended : yield* armTimer(ended);
}

/** An append ended: what the log did not certainly take is sent again under the same id. */
export function* handleAppendSettled(state: State, recordId: string, stored: boolean): Step<State> {
  const record = state.requests.keyBatch.inFlight.get(recordId);
  if (stored || record === undefined) return state;
  yield { kind: 'append', stream: 'keys', record };
  return state;
}

/** A record was read back: it need not be sent again. */
export function forgetRecord(state: State, { record }: StoredRecord): State {
  const batch = state.requests.keyBatch;
  if (record === null || !batch.inFlight.has(record.id)) return state;
  return setBatch(state, { ...batch, inFlight: batch.inFlight.remove(record.id) });
}
