/** Handles the progress and the end of attempts, and retries failed ones. */
import type { AttemptOutcome } from '@baobabdeck/types';
import type { Step } from '../effect.js';
import type { EventOf } from '../event.js';
import type { State } from '../state.js';
import { requestSlot } from './request-slot.js';
import { holdAnswer, notifyFollowers } from './followers.js';
import { recordKeyOutcome } from './keys.js';
import { endRequest, refuse } from './refuse.js';
import { type Deliver, releaseSlot } from './release-slot.js';
import { deadlineTimerId, selectRequestBySlot, setRequest, silenceTimerId } from './request-table.js';
import type { RequestState } from './requests-state.js';
import { mayRetry, withdrawRetryToken } from './retry-budget.js';

/** Lowest status code that counts as a failure of the host. */
const FIRST_FAILURE_STATUS = 500;

/** Status codes with which an overloaded host refuses work. RFC 6585 section 4, RFC 9110 section 15.6.4. */
const BUSY_STATUSES: ReadonlySet<number> = new Set([429, 503]);

function outcomeOf(status: number): AttemptOutcome {
  if (BUSY_STATUSES.has(status)) return 'refused';
  return status >= FIRST_FAILURE_STATUS ? 'failed' : 'succeeded';
}

function selectRunningRequest(state: State, attemptId: string): RequestState | undefined {
  const request = selectRequestBySlot(state, attemptId);
  return request?.phase.kind === 'running' && request.phase.attemptId === attemptId ? request : undefined;
}

/** Forwards the answer to the caller once its first bytes have arrived, unless the attempt was abandoned. */
export function* handleAttemptResponded(
  state: State,
  { attemptId }: EventOf<'attempt-responded'>,
): Step<State> {
  const request = selectRunningRequest(state, attemptId);
  if (request === undefined || request.phase.kind !== 'running') return state;
  yield { kind: 'clear-timer', timerId: silenceTimerId(attemptId) };
  yield { kind: 'forward-response', requestId: request.description.requestId, attemptId };
  return setRequest(state, { ...request, phase: { ...request.phase, responded: true } });
}

/** Releases the slot, records the outcome of the key and holds the answer of a completed attempt. */
export function* handleAttemptCompleted(
  state: State,
  { attemptId, status, answer }: EventOf<'attempt-completed'>,
  deliver: Deliver,
): Step<State> {
  const released = yield* releaseSlot(state, attemptId, outcomeOf(status), deliver);
  const request = selectRunningRequest(released, attemptId);
  if (request === undefined) return released;
  const { requestId, keyHash } = request.description;
  yield { kind: 'clear-timer', timerId: deadlineTimerId(requestId) };
  const recorded = yield* recordKeyOutcome(released, requestId, keyHash, 'answered');
  const { byId } = recorded.requests;
  const removed = { ...recorded, requests: { ...recorded.requests, byId: byId.remove(requestId) } };
  return yield* holdAnswer(removed, request, answer, deliver);
}

function* retry(
  state: State,
  request: RequestState,
  hostId: string,
  reason: string,
  deliver: Deliver,
): Step<State> {
  const { requestId } = request.description;
  yield { kind: 'log', decision: 'attemptRetried', fields: { requestId, host: hostId, reason } };
  return yield* requestSlot(withdrawRetryToken(state), { ...request, avoidHostId: hostId }, deliver);
}

function* giveUp(state: State, request: RequestState, reason: string, deliver: Deliver): Step<State> {
  const kind = request.mayHaveRun ? 'targetFailed' : 'targetUnreachable';
  const ran = request.mayHaveRun ? 'unknown' : 'no';
  const refused = yield* refuse(state, request, kind, reason, ran, deliver);
  return yield* notifyFollowers(refused, request.description.requestId, null, deliver);
}

/** Aborts the response to the caller because the target did not complete it. */
export function* breakOffResponse(state: State, request: RequestState, deliver: Deliver): Step<State> {
  const { requestId } = request.description;
  yield { kind: 'break-off-response', requestId };
  const ended = yield* endRequest(state, request, 'unknown', deliver);
  return yield* notifyFollowers(ended, requestId, null, deliver);
}

/** Retries a failed attempt unless that could run non-repeatable work twice; refuses the request otherwise. */
export function* handleAttemptFailed(
  state: State,
  { attemptId, stage, bodyReplayable, reason }: EventOf<'attempt-failed'>,
  deliver: Deliver,
): Step<State> {
  yield { kind: 'clear-timer', timerId: silenceTimerId(attemptId) };
  const request = selectRunningRequest(state, attemptId);
  if (request === undefined || request.phase.kind !== 'running') {
    return yield* releaseSlot(state, attemptId, 'abandoned', deliver);
  }
  const outcome: AttemptOutcome = stage === 'before-sending' ? 'failed' : 'broken';
  const released = yield* releaseSlot(state, attemptId, outcome, deliver);
  if (stage === 'after-response') return yield* breakOffResponse(released, request, deliver);
  const { hostId } = request.phase.target;
  const mayHaveRun = request.mayHaveRun || stage === 'after-sending';
  const failed: RequestState = {
    ...request,
    mayHaveRun,
    phase: { kind: 'waiting', slotRequestId: '', askedAt: state.now },
  };
  const settled = setRequest(released, failed);
  const mayRepeat = !mayHaveRun || request.description.repeatable;
  if (mayRepeat && bodyReplayable && mayRetry(settled, failed)) {
    return yield* retry(settled, failed, hostId, reason, deliver);
  }
  return yield* giveUp(settled, failed, `Host '${hostId}': ${reason}`, deliver);
}

/**
 * Abandons and retries an attempt of repeatable work that got no answer within the silence timeout, as its
 * connection may be dead.
 */
export function* handleSilence(state: State, attemptId: string, deliver: Deliver): Step<State> {
  const request = selectRunningRequest(state, attemptId);
  if (request === undefined || request.phase.kind !== 'running' || request.phase.responded) return state;
  if (!request.description.repeatable || !mayRetry(state, request)) return state;
  yield { kind: 'abort-attempt', attemptId };
  const released = yield* releaseSlot(state, attemptId, 'abandoned', deliver);
  const suspected: RequestState = { ...request, mayHaveRun: true };
  return yield* retry(
    released,
    suspected,
    request.phase.target.hostId,
    'no answer came on this connection',
    deliver,
  );
}
