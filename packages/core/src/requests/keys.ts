/** Appends claims and ends of idempotency keys to the log in batched records. */
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

/** Maximum number of key records per second that all gateways together append. */
const KEY_RECORDS_PER_SECOND = 280;

const MILLISECONDS_PER_SECOND = 1_000;

/** Maximum number of claims or ends in one record. */
const KEYS_PER_RECORD = 200;

/** Id of the timer that triggers the next record. */
export const KEY_BATCH_TIMER = 'key-batch';

function setBatch(state: State, keyBatch: KeyBatch): State {
  return { ...state, requests: { ...state.requests, keyBatch } };
}

/** Returns the minimum interval between two records of this gateway, which grows with the number of gateways. */
function batchIntervalMilliseconds(state: State): number {
  const gateways = Math.max(1, selectGatewayIds(state.fold.fleet).length);
  return Math.ceil((gateways * MILLISECONDS_PER_SECOND) / KEY_RECORDS_PER_SECOND);
}

/** Schedules the next record: now, or as soon as the limit on records per second allows. */
function* armBatchTimer(state: State): Step<State> {
  const { timerSet, lastFlushAt } = state.requests.keyBatch;
  if (timerSet) return state;
  const earliest =
    lastFlushAt === null ? state.now : addMilliseconds(lastFlushAt, batchIntervalMilliseconds(state));
  const at = earliest > state.now ? earliest : state.now;
  yield { kind: 'set-timer', timerId: KEY_BATCH_TIMER, at };
  return setBatch(state, { ...state.requests.keyBatch, timerSet: true });
}

/** Adds a claim to the next record. */
export function* addClaim(state: State, claim: KeyClaim): Step<State> {
  const batch = state.requests.keyBatch;
  return yield* armBatchTimer(setBatch(state, { ...batch, claims: batch.claims.push(claim) }));
}

/** Adds the end of a key's work to the next record. */
export function* addKeyEnd(state: State, end: KeyEnd): Step<State> {
  const batch = state.requests.keyBatch;
  return yield* armBatchTimer(setBatch(state, { ...batch, ends: batch.ends.push(end) }));
}

/** Records the outcome of a request's work if the request has a key. */
export function* recordKeyOutcome(
  state: State,
  requestId: string,
  keyHash: string | null,
  outcome: KeyOutcome,
): Step<State> {
  return keyHash === null ? state : yield* addKeyEnd(state, { keyHash, requestId, outcome });
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

/** Appends one record of claims and one of ends, and schedules the next records if any are left. */
export function* flushKeys(state: State): Step<State> {
  const flushing = setBatch(state, { ...state.requests.keyBatch, timerSet: false, lastFlushAt: state.now });
  const claimed = yield* flushClaims(flushing);
  const ended = yield* flushEnds(claimed);
  const remaining = ended.requests.keyBatch;
  return remaining.claims.isEmpty() && remaining.ends.isEmpty() ? ended : yield* armBatchTimer(ended);
}

/** Repeats an append under the same record id if the log may not have stored it. */
export function* handleAppendSettled(state: State, recordId: string, stored: boolean): Step<State> {
  const record = state.requests.keyBatch.inFlight.get(recordId);
  if (stored || record === undefined) return state;
  yield { kind: 'append', stream: 'keys', record };
  return state;
}

/** Removes a record that was read back from the log from the appends in flight. */
export function removeInFlightRecord(state: State, { record }: StoredRecord): State {
  const batch = state.requests.keyBatch;
  if (record === null || !batch.inFlight.has(record.id)) return state;
  return setBatch(state, { ...batch, inFlight: batch.inFlight.remove(record.id) });
}
