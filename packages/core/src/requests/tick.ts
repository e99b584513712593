/** Handles request deadlines and the periodic work of requests: claim timeouts and repeated messages. */
import { addMilliseconds } from '@baobabdeck/types';
import type { Step } from '../effect.js';
import type { State } from '../state.js';
import { requestSlot, RESEND_INTERVAL_MILLISECONDS, sendSlotRequest } from './request-slot.js';
import { breakOffResponse } from './attempts.js';
import { notifyFollowers, tickFollowers } from './followers.js';
import { ranVerdictOf, refuse } from './refuse.js';
import type { Deliver } from './release-slot.js';
import type { RequestState } from './requests-state.js';

/** Ends a request whose deadline has passed. */
export function* handleDeadline(state: State, requestId: string, deliver: Deliver): Step<State> {
  const request = state.requests.byId.get(requestId);
  if (request === undefined) return state;
  if (request.phase.kind === 'running' && request.phase.responded) {
    return yield* breakOffResponse(state, request, deliver);
  }
  if (request.phase.kind === 'following') {
    const detail = 'The first request with this key has no answer yet';
    return yield* refuse(state, request, 'deadlineAfterStart', detail, 'unknown', deliver);
  }
  const ran = ranVerdictOf(request);
  const kind = ran === 'no' ? 'deadlineBeforeStart' : 'deadlineAfterStart';
  const refused = yield* refuse(
    state,
    request,
    kind,
    `Nothing came within ${request.deadlineAt.getTime() - request.arrivedAt.getTime()} ms`,
    ran,
    deliver,
  );
  return yield* notifyFollowers(refused, requestId, null, deliver);
}

function* handleClaimTimeout(state: State, request: RequestState, deliver: Deliver): Step<State> {
  // Repeatable work is safe to run without a claim.
  if (request.description.repeatable) return yield* requestSlot(state, request, deliver);
  const detail = 'The log did not take the claim of the key; repeat it later';
  return yield* refuse(state, request, 'keyClaimUnavailable', detail, 'no', deliver);
}

function isDue(state: State, askedAt: Date): boolean {
  return addMilliseconds(askedAt, RESEND_INTERVAL_MILLISECONDS) <= state.now;
}

/** Times out late claims, and resends slot requests and answer requests that may have been lost. */
export function* tickRequests(state: State, deliver: Deliver): Step<State> {
  let current = state;
  const followers: RequestState[] = [];
  for (const requestId of state.requests.byId.keys()) {
    // Processing an earlier request may have changed or ended this one.
    const request = current.requests.byId.get(requestId);
    if (request === undefined) continue;
    const { phase } = request;
    if (phase.kind === 'claiming' && phase.giveUpAt <= state.now) {
      current = yield* handleClaimTimeout(current, request, deliver);
    } else if (phase.kind === 'waiting' && isDue(state, phase.askedAt)) {
      current = yield* sendSlotRequest(current, request, deliver);
    } else if (phase.kind === 'following' && isDue(state, phase.askedAt)) {
      followers.push(request);
    }
  }
  return yield* tickFollowers(current, followers, deliver);
}
