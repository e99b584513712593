/** A request from its arrival to its answer. */
import {
  addMilliseconds,
  type AttemptOutcome,
  type PeerMessage,
  type RequestDescription,
  type ServiceSection,
  type TargetAddress,
  type WorkClass,
} from '@baobabdeck/types';
import { failureOf } from '@baobabdeck/errors';
import { selectGatewayIds } from '../dispatch/assign-dispatchers.js';
import { isRoutable } from '../dispatch/view.js';
import type { Step } from '../effect.js';
import type { EventOf } from '../event.js';
import { selectKey, type ClaimVerdict } from '../fold/keys.js';
import { yieldChecked } from '../invariants/check-effect.js';
import { isLapsed } from '../membership/contact.js';
import { canEverServe } from '../routing/can-ever-serve.js';
import { describeNeed } from '../routing/needs.js';
import type { State } from '../state.js';
import { ASK_AGAIN_MILLISECONDS, askAgain, askForSlot } from './ask-slot.js';
import { startClaim } from './claim.js';
import { followHolder, holdAnswer, tellFollowers, tickFollowers } from './follow.js';
import { recordOutcome } from './keys.js';
import { endRequest, refuse, refuseArrival, verdictOf } from './refuse.js';
import { releaseSlot, type Deliver } from './release-slot.js';
import { deadlineTimer, selectRequestOf, setRequest, silenceTimer } from './request-table.js';
import type { RequestState } from './requests-state.js';
import { mayRetry, depositRetryToken, withdrawRetryToken } from './retry-budget.js';

type SlotGranted = Extract<PeerMessage, { readonly kind: 'slot-granted' }>;

/** How many times longer work of an unknown kind may be silent. */
const UNPROVEN_PATIENCE = 4;

/** Status from which an answer counts as a failure of its host. */
const FIRST_FAILURE_STATUS = 500;

function describeNeeds(request: RequestDescription): string {
  return request.needs.map(describeNeed).join(', ') || 'anything';
}

function newRequest(state: State, description: RequestDescription, service: ServiceSection): RequestState {
  const milliseconds = description.deadlineMilliseconds ?? service.defaultDeadlineMilliseconds;
  return {
    description,
    pool: service.pool,
    longWorkThresholdMilliseconds: service.longWorkThresholdMilliseconds,
    silenceTimeoutMilliseconds: service.silenceTimeoutMilliseconds,
    arrivedAt: state.now,
    deadlineAt: addMilliseconds(state.now, milliseconds),
    phase: { kind: 'claiming', giveUpAt: state.now },
    slotRequests: 0,
    attempts: 0,
    avoidHostId: null,
    mayHaveRun: false,
  };
}

function findArrivalObstacle(state: State, description: RequestDescription) {
  const { fleet } = state.fold;
  const service = fleet.configuration.services.get(description.service);
  if (fleet.configuration.version === 0) {
    return failureOf('noConfiguration', 'Publish one with baobabdeck config publish');
  }
  if (service === undefined) {
    return failureOf('unknownService', `Expected a configured service, found '${description.service}'`);
  }
  if (!canEverServe(fleet, service.pool, description.needs)) {
    return failureOf(
      'noTargetCanServe',
      `No host of pool '${service.pool}' has ${describeNeeds(description)}`,
    );
  }
  const waiting = state.requests.waitingByService.get(description.service) ?? 0;
  if (waiting >= service.maximumWaiting) {
    return failureOf(
      'tooManyWaiting',
      `${waiting} requests wait for service '${description.service}' at this gateway`,
    );
  }
  return null;
}

function* begin(state: State, request: RequestState, deliver: Deliver): Step<State> {
  const { keyHash } = request.description;
  if (keyHash === null) return yield* askForSlot(state, request, deliver);
  const holder = selectKey(state.fold.keys, keyHash);
  return holder === undefined
    ? yield* startClaim(state, request)
    : yield* followHolder(state, request, holder, deliver);
}

/** A request came in. */
export function* handleRequestArrived(
  state: State,
  { request: description }: EventOf<'request-arrived'>,
  deliver: Deliver,
): Step<State> {
  const obstacle = findArrivalObstacle(state, description);
  if (obstacle !== null) return yield* refuseArrival(state, description.requestId, obstacle);
  const service = state.fold.fleet.configuration.services.get(description.service) as ServiceSection;
  const request = newRequest(state, description, service);
  yield { kind: 'set-timer', timerId: deadlineTimer(description.requestId), at: request.deadlineAt };
  return yield* begin(depositRetryToken(state), request, deliver);
}

/** The caller closed its connection. */
export function* handleCallerLeft(state: State, requestId: string, deliver: Deliver): Step<State> {
  const request = state.requests.byId.get(requestId);
  if (request === undefined) return state;
  const ran = verdictOf(request);
  const ended = yield* endRequest(state, request, ran, deliver);
  return yield* tellFollowers(ended, requestId, null, deliver);
}

function* handleClaimVerdict(state: State, verdict: ClaimVerdict, deliver: Deliver): Step<State> {
  const request = state.requests.byId.get(verdict.requestId);
  if (request === undefined || request.phase.kind !== 'claiming') {
    const abandoned = verdict.kind === 'won' && state.requests.abandonedClaims.has(verdict.requestId);
    return abandoned ? yield* recordOutcome(state, verdict.requestId, verdict.keyHash, 'not-run') : state;
  }
  if (verdict.kind === 'won') return yield* askForSlot(state, request, deliver);
  if (verdict.kind === 'held') return yield* followHolder(state, request, verdict.holder, deliver);
  if (verdict.kind === 'too-old') {
    return yield* refuse(
      state,
      request,
      'keyTooOld',
      'Nobody can tell whether its work ran; ask before you use a new key',
      'unknown',
      deliver,
    );
  }
  return yield* refuse(
    state,
    request,
    'keysExhausted',
    'Use keys that carry their time, such as UUID version 7',
    'no',
    deliver,
  );
}

/** The log decided on claims; only this gateway's own matter here. */
export function* handleClaimVerdicts(
  state: State,
  verdicts: readonly ClaimVerdict[],
  deliver: Deliver,
): Step<State> {
  let current = state;
  for (const verdict of verdicts) {
    current = yield* handleClaimVerdict(current, verdict, deliver);
  }
  return current;
}

function connectionLimit(state: State, pool: string): number {
  const connections = state.fold.fleet.configuration.pools.get(pool)?.connectionsPerHost ?? 1;
  const gateways = Math.max(1, selectGatewayIds(state.fold.fleet).length);
  return Math.max(1, Math.floor(connections / gateways));
}

function mayStart(state: State, request: RequestState, target: TargetAddress): boolean {
  const host = state.fold.fleet.hosts.get(target.hostId);
  return (
    host !== undefined &&
    host.pool === request.pool &&
    isRoutable(host) &&
    !isLapsed(state) &&
    request.deadlineAt > state.now
  );
}

function holdSlot(state: State, request: RequestState, slotRequestId: string, target: TargetAddress): State {
  const slot = {
    slotRequestId,
    pool: request.pool,
    hostId: target.hostId,
    requestId: request.description.requestId,
    startedAt: state.now,
  };
  return {
    ...state,
    requests: { ...state.requests, heldSlots: state.requests.heldSlots.set(slotRequestId, slot) },
  };
}

/** Time of silence after which the connection is suspected; null for work that may well take as long. */
function silenceMilliseconds(request: RequestState, workClass: WorkClass): number | null {
  if (!request.description.repeatable || workClass === 'long') return null;
  const short = Math.max(request.silenceTimeoutMilliseconds, request.longWorkThresholdMilliseconds);
  return workClass === 'short' ? short : short * UNPROVEN_PATIENCE;
}

function* startAttempt(state: State, request: RequestState, granted: SlotGranted): Step<State> {
  const { requestId } = request.description;
  const { slotRequestId, target } = granted;
  const phase = {
    kind: 'running',
    attemptId: slotRequestId,
    target,
    startedAt: state.now,
    responded: false,
  } as const;
  const limit = connectionLimit(state, request.pool);
  yield* yieldChecked(state, {
    kind: 'start-attempt',
    requestId,
    attemptId: slotRequestId,
    target,
    connectionLimit: limit,
  });
  const silence = silenceMilliseconds(request, granted.workClass);
  if (silence !== null) {
    yield {
      kind: 'set-timer',
      timerId: silenceTimer(slotRequestId),
      at: addMilliseconds(state.now, silence),
    };
  }
  return setRequest(state, { ...request, phase, attempts: request.attempts + 1 });
}

/** A slot was granted: the attempt starts, or the slot goes back unused. */
export function* handleSlotGranted(
  state: State,
  from: string,
  granted: SlotGranted,
  deliver: Deliver,
): Step<State> {
  const { pool, slotRequestId, target } = granted;
  if (state.dispatchers.get(pool) !== from) return state;
  if (state.requests.heldSlots.has(slotRequestId)) return state;
  const request = selectRequestOf(state, slotRequestId);
  const wanted =
    request !== undefined &&
    request.phase.kind === 'waiting' &&
    request.phase.slotRequestId === slotRequestId;
  if (wanted && mayStart(state, request, target)) {
    const held = holdSlot(state, request, slotRequestId, target);
    return yield* startAttempt(held, request, granted);
  }
  const message = {
    kind: 'slot-released',
    pool,
    slotRequestId,
    outcome: 'unused',
    runMilliseconds: 0,
  } as const;
  const returned = yield* deliver(state, from, message);
  // The request is asked for again by the clock, so that a lapse or a lagging view does not spin.
  const again = returned.requests.byId.get(request?.description.requestId ?? '');
  return wanted && again !== undefined ? renewSlotRequest(returned, again) : returned;
}

function renewSlotRequest(state: State, request: RequestState): State {
  const slotRequestId = `${request.description.requestId}#${request.slotRequests + 1}`;
  const phase = { kind: 'waiting', slotRequestId, askedAt: state.now } as const;
  return setRequest(state, { ...request, phase, slotRequests: request.slotRequests + 1 });
}

/** The dispatcher has no room for one more request. */
export function* handleSlotRefused(state: State, slotRequestId: string, deliver: Deliver): Step<State> {
  const request = selectRequestOf(state, slotRequestId);
  if (
    request === undefined ||
    request.phase.kind !== 'waiting' ||
    request.phase.slotRequestId !== slotRequestId
  ) {
    return state;
  }
  return yield* refuse(
    state,
    request,
    'tooManyWaiting',
    `The queue of pool '${request.pool}' is full`,
    verdictOf(request),
    deliver,
  );
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
  const outcome: AttemptOutcome = status >= FIRST_FAILURE_STATUS ? 'failed' : 'succeeded';
  const released = yield* releaseSlot(state, attemptId, outcome, deliver);
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

function* breakOff(state: State, request: RequestState, deliver: Deliver): Step<State> {
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

/** The caller's time is over. */
export function* handleDeadline(state: State, requestId: string, deliver: Deliver): Step<State> {
  const request = state.requests.byId.get(requestId);
  if (request === undefined) return state;
  if (request.phase.kind === 'running' && request.phase.responded) {
    return yield* breakOff(state, request, deliver);
  }
  if (request.phase.kind === 'following') {
    const detail = 'The first request with this key has no answer yet';
    return yield* refuse(state, request, 'deadlineAfterStart', detail, 'unknown', deliver);
  }
  const ran = verdictOf(request);
  const kind = ran === 'no' ? 'deadlineBeforeStart' : 'deadlineAfterStart';
  const refused = yield* refuse(
    state,
    request,
    kind,
    `Nothing came within ${request.deadlineAt.getTime() - request.arrivedAt.getTime()} ms`,
    ran,
    deliver,
  );
  return yield* tellFollowers(refused, requestId, null, deliver);
}

function* giveUpClaim(state: State, request: RequestState, deliver: Deliver): Step<State> {
  // Work that may run more than once needs no claim to be safe.
  if (request.description.repeatable) return yield* askForSlot(state, request, deliver);
  const detail = 'The log did not take the claim of the key; repeat it later';
  return yield* refuse(state, request, 'keyClaimUnavailable', detail, 'no', deliver);
}

function isDue(state: State, askedAt: Date): boolean {
  return addMilliseconds(askedAt, ASK_AGAIN_MILLISECONDS) <= state.now;
}

/** Lets time pass over every request: late claims are given up, lost questions are asked again. */
export function* tickRequests(state: State, deliver: Deliver): Step<State> {
  let current = state;
  const followers: RequestState[] = [];
  for (const requestId of state.requests.byId.keys()) {
    // What was done for one request may have changed those that come after it.
    const request = current.requests.byId.get(requestId);
    if (request === undefined) continue;
    const { phase } = request;
    if (phase.kind === 'claiming' && phase.giveUpAt <= state.now) {
      current = yield* giveUpClaim(current, request, deliver);
    } else if (phase.kind === 'waiting' && isDue(state, phase.askedAt)) {
      current = yield* askAgain(current, request, deliver);
    } else if (phase.kind === 'following' && isDue(state, phase.askedAt)) {
      followers.push(request);
    }
  }
  return yield* tickFollowers(current, followers, deliver);
}
