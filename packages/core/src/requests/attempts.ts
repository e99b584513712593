/** Attempts from their first byte to their end. */
import type { AttemptOutcome } from '@baobabdeck/types';
import type { Step } from '../effect.js';
import type { EventOf } from '../event.js';
import type { State } from '../state.js';
import { askForSlot } from './ask-slot.js';
import { holdAnswer, tellFollowers } from './follow.js';
import { recordOutcome } from './keys.js';
import { endRequest, refuse } from './refuse.js';
import { type Deliver, releaseSlot } from './release-slot.js';
import { deadlineTimer, selectRequestOf, setRequest, silenceTimer } from './request-table.js';
import type { RequestState } from './requests-state.js';
import { mayRetry, withdrawRetryToken } from './retry-budget.js';

/** Status from which an answer counts as a failure of its host. */
const FIRST_FAILURE_STATUS = 500;

/** Statuses by which a host says that it has too much to do. RFC 6585 section 4, RFC 9110 section 15.6.4. */
const BUSY_STATUSES: ReadonlySet<number> = new Set([429, 503]);

function outcomeOf(status: number): AttemptOutcome {
  if (BUSY_STATUSES.has(status)) return 'refused';
  return status >= FIRST_FAILURE_STATUS ? 'failed' : 'succeeded';
}

function selectRunning(state: State, attemptId: string): RequestState | undefined {
  const request = selectRequestOf(state, attemptId);
  return request?.phase.kind === 'running' && request.phase.attemptId === attemptId ? request : undefined;
}

/** The first bytes of an answer came: they go to the caller, unless the attempt was given up. */
export function* handleAttemptResponded(
  state: State,
  { attemptId }: EventOf<'attempt-responded'>,
): Step<State> {
  const request = selectRunning(state, attemptId);
  if (request === undefined || request.phase.kind !== 'running') return state;
  yield { kind: 'clear-timer', timerId: silenceTimer(attemptId) };
  yield { kind: 'forward-response', requestId: request.description.requestId, attemptId };
  return setRequest(state, { ...request, phase: { ...request.phase, responded: true } });
}

/** The whole answer came. */
export function* handleAttemptCompleted(
  state: State,
  { attemptId, status, answer }: EventOf<'attempt-completed'>,
  deliver: Deliver,
): Step<State> {
  const released = yield* releaseSlot(state, attemptId, outcomeOf(status), deliver);
  const request = selectRunning(released, attemptId);
  if (request === undefined) return released;
  const { requestId, keyHash } = request.description;
  yield { kind: 'clear-timer', timerId: deadlineTimer(requestId) };
  const recorded = yield* recordOutcome(released, requestId, keyHash, 'answered');
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
  return yield* askForSlot(withdrawRetryToken(state), { ...request, avoidHostId: hostId }, deliver);
}

function* giveUp(state: State, request: RequestState, reason: string, deliver: Deliver): Step<State> {
  const kind = request.mayHaveRun ? 'targetFailed' : 'targetUnreachable';
  const ran = request.mayHaveRun ? 'unknown' : 'no';
  const refused = yield* refuse(state, request, kind, reason, ran, deliver);
  return yield* tellFollowers(refused, request.description.requestId, null, deliver);
}

/** Breaks an answer off at the caller that its target did not finish. */
export function* breakOff(state: State, request: RequestState, deliver: Deliver): Step<State> {
  const { requestId } = request.description;
  yield { kind: 'break-off-response', requestId };
  const ended = yield* endRequest(state, request, 'unknown', deliver);
  return yield* tellFollowers(ended, requestId, null, deliver);
}

/** An attempt failed: the work moves on where that cannot run it twice. */
export function* handleAttemptFailed(
  state: State,
  { attemptId, stage, bodyReplayable, reason }: EventOf<'attempt-failed'>,
  deliver: Deliver,
): Step<State> {
  yield { kind: 'clear-timer', timerId: silenceTimer(attemptId) };
  const request = selectRunning(state, attemptId);
  if (request === undefined || request.phase.kind !== 'running') {
    return yield* releaseSlot(state, attemptId, 'abandoned', deliver);
  }
  const outcome: AttemptOutcome = stage === 'before-sending' ? 'failed' : 'broken';
  const released = yield* releaseSlot(state, attemptId, outcome, deliver);
  if (stage === 'after-response') return yield* breakOff(released, request, deliver);
  const { hostId } = request.phase.target;
  const mayHaveRun = request.mayHaveRun || stage === 'after-sending';
  const failed: RequestState = {
    ...request,
    mayHaveRun,
    phase: { kind: 'waiting', slotRequestId: '', askedAt: state.now },
  };
  const settled = setRequest(released, failed);
  const safe = !mayHaveRun || request.description.repeatable;
  if (safe && bodyReplayable && mayRetry(settled, failed)) {
    return yield* retry(settled, failed, hostId, reason, deliver);
  }
  return yield* giveUp(settled, failed, `Host '${hostId}': ${reason}`, deliver);
}

/** Nothing came back for long: work that may be repeated moves on, in case the connection is dead. */
export function* handleSilence(state: State, attemptId: string, deliver: Deliver): Step<State> {
  const request = selectRunning(state, attemptId);
  if (request === undefined || request.phase.kind !== 'running' || request.phase.responded) return state;
  if (!request.description.repeatable || !mayRetry(state, request)) return state;
  yield { kind: 'abort-attempt', attemptId };
  const released = yield* releaseSlot(state, attemptId, 'abandoned', deliver);
  const moved: RequestState = { ...request, mayHaveRun: true };
  return yield* retry(
    released,
    moved,
    request.phase.target.hostId,
    'no answer came on this connection',
    deliver,
  );
}
