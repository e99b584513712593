/** Ends a request with an answer of the system's own, and tells whether its work ran. */
import { failureOf, type Failure, type ResultName } from '@baobabdeck/errors';
import type { RanVerdict } from '@baobabdeck/types';
import type { Step } from '../effect.js';
import { yieldChecked } from '../invariants/check-effect.js';
import type { State } from '../state.js';
import { recordOutcome } from './keys.js';
import { releaseSlot, type Deliver } from './release-slot.js';
import { deadlineTimer, removeRequest, silenceTimer } from './request-table.js';
import type { RequestState } from './requests-state.js';

/** Refusals that are worth another try soon, with the time to wait in seconds. */
const RETRY_AFTER_SECONDS: Partial<Record<ResultName, number>> = {
  tooManyWaiting: 1,
  keyClaimUnavailable: 5,
  gatewayStopping: 1,
  noConfiguration: 1,
  targetUnreachable: 1,
  deadlineBeforeStart: 1,
};

/** Claims that were given up and may still be read back. */
const ABANDONED_CLAIMS_REMEMBERED = 10_000;

/** Answers a request that was never taken in. */
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

function* leavePhase(state: State, request: RequestState, deliver: Deliver): Step<State> {
  const { phase } = request;
  if (phase.kind === 'running') {
    yield { kind: 'abort-attempt', attemptId: phase.attemptId };
    yield { kind: 'clear-timer', timerId: silenceTimer(phase.attemptId) };
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

/** Remembers that a claim was given up: it may still be read back and win, and is given back then. */
function abandonClaim(state: State, requestId: string): State {
  const abandoned = state.requests.abandonedClaims.add(requestId);
  const abandonedClaims = abandoned.size > ABANDONED_CLAIMS_REMEMBERED ? abandoned.rest() : abandoned;
  return { ...state, requests: { ...state.requests, abandonedClaims: abandonedClaims.toOrderedSet() } };
}

function* settleKey(state: State, request: RequestState, ran: RanVerdict): Step<State> {
  const { requestId, keyHash } = request.description;
  if (keyHash === null || request.phase.kind === 'following') return state;
  if (request.phase.kind === 'claiming') {
    return abandonClaim(state, requestId);
  }
  return yield* recordOutcome(state, requestId, keyHash, ran === 'no' ? 'not-run' : 'unknown');
}

/** Whether a request's work can have started. */
export function verdictOf(request: RequestState): RanVerdict {
  return request.mayHaveRun || request.phase.kind === 'running' ? 'unknown' : 'no';
}

/** Takes a request out of every table; its slot, timers and key are settled. */
export function* endRequest(
  state: State,
  request: RequestState,
  ran: RanVerdict,
  deliver: Deliver,
): Step<State> {
  const { requestId } = request.description;
  yield { kind: 'clear-timer', timerId: deadlineTimer(requestId) };
  const left = yield* leavePhase(state, request, deliver);
  const settled = yield* settleKey(left, request, ran);
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
