/** What passing time does to requests. */
import { addMilliseconds } from '@baobabdeck/types';
import type { Step } from '../effect.js';
import type { State } from '../state.js';
import { ASK_AGAIN_MILLISECONDS, askAgain, askForSlot } from './ask-slot.js';
import { breakOff } from './attempts.js';
import { tellFollowers, tickFollowers } from './follow.js';
import { refuse, verdictOf } from './refuse.js';
import type { Deliver } from './release-slot.js';
import type { RequestState } from './requests-state.js';

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
