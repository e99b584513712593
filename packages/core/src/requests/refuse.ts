/** Ends requests, and refuses them with a failure that says whether their work ran. */
import { failureOf, type Failure, type ResultName } from '@baobabdeck/errors';
import type { RanVerdict } from '@baobabdeck/types';
import type { Step } from '../effect.js';
import { yieldChecked } from '../invariants/check-effect.js';
import type { State } from '../state.js';
import { recordKeyOutcome } from './keys.js';
import { releaseSlot, type Deliver } from './release-slot.js';
import { deadlineTimerId, removeRequest, silenceTimerId } from './request-table.js';
import type { RequestState } from './requests-state.js';

/** Failures after which the caller should retry, with the delay in seconds. */
const RETRY_AFTER_SECONDS: Partial<Record<ResultName, number>> = {
  tooManyWaiting: 1,
  keyClaimUnavailable: 5,
  gatewayStopping: 1,
  noConfiguration: 1,
  targetUnreachable: 1,
  deadlineBeforeStart: 1,
};

/** Maximum number of abandoned claims that are kept until they are read back. */
const MAXIMUM_ABANDONED_CLAIMS = 10_000;

/** Refuses a request that was not admitted. */
export function* refuseArrival(state: State, requestId: string, failure: Failure): Step<State> {
  yield {
    kind: 'refuse',
    requestId,
    failure,
    ran: 'no',
    retryAfterSeconds: RETRY_AFTER_SECONDS[failure.kind] ?? null,
  };
  return state;
}

function* cancelPhase(state: State, request: RequestState, deliver: Deliver): Step<State> {
  const { phase } = request;
  if (phase.kind === 'running') {
    yield { kind: 'abort-attempt', attemptId: phase.attemptId };
    yield { kind: 'clear-timer', timerId: silenceTimerId(phase.attemptId) };
    return yield* releaseSlot(state, phase.attemptId, 'abandoned', deliver);
  }
  if (phase.kind === 'waiting') {
    const dispatcher = state.dispatchers.get(request.pool);
    const message = {
      kind: 'slot-cancelled',
      pool: request.pool,
      slotRequestId: phase.slotRequestId,
    } as const;
    return dispatcher === undefined ? state : yield* deliver(state, dispatcher, message);
  }
  return state;
}

/** Records that a claim was abandoned. It may still be read back as won and is then ended as not run. */
function recordAbandonedClaim(state: State, requestId: string): State {
  const abandoned = state.requests.abandonedClaims.add(requestId);
  const abandonedClaims = abandoned.size > MAXIMUM_ABANDONED_CLAIMS ? abandoned.rest() : abandoned;
  return { ...state, requests: { ...state.requests, abandonedClaims: abandonedClaims.toOrderedSet() } };
}

function* settleKeyClaim(state: State, request: RequestState, ran: RanVerdict): Step<State> {
  const { requestId, keyHash } = request.description;
  if (keyHash === null || request.phase.kind === 'following') return state;
  if (request.phase.kind === 'claiming') {
    return recordAbandonedClaim(state, requestId);
  }
  return yield* recordKeyOutcome(state, requestId, keyHash, ran === 'no' ? 'not-run' : 'unknown');
}

/** Returns whether a request's work may have run: `unknown` if it may have, `no` if it has not. */
export function ranVerdictOf(request: RequestState): RanVerdict {
  return request.mayHaveRun || request.phase.kind === 'running' ? 'unknown' : 'no';
}

/** Removes a request: clears its timers, releases or cancels its slot and settles its key. */
export function* endRequest(
  state: State,
  request: RequestState,
  ran: RanVerdict,
  deliver: Deliver,
): Step<State> {
  const { requestId } = request.description;
  yield { kind: 'clear-timer', timerId: deadlineTimerId(requestId) };
  const cancelled = yield* cancelPhase(state, request, deliver);
  const settled = yield* settleKeyClaim(cancelled, request, ran);
  return removeRequest(settled, requestId);
}

/** Ends a request with a refusal. */
export function* refuse(
  state: State,
  request: RequestState,
  kind: ResultName,
  detail: string,
  ran: RanVerdict,
  deliver: Deliver,
): Step<State> {
  const { requestId } = request.description;
  const failure = failureOf(kind, detail);
  const retryAfterSeconds = RETRY_AFTER_SECONDS[kind] ?? null;
  yield* yieldChecked(state, { kind: 'refuse', requestId, failure, ran, retryAfterSeconds });
  const { service } = request.description;
  yield { kind: 'log', decision: 'requestRefused', fields: { requestId, service, code: failure.code, ran } };
  return yield* endRequest(state, request, ran, deliver);
}
