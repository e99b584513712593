/** Repeats of work that another request has claimed: they wait for its answer. */
import { millisecondsBetween, type HeldAnswer } from '@baobabdeck/types';
import type { Step } from '../effect.js';
import type { KeyState } from '../fold/fold-state.js';
import { selectKey, type EndedKey } from '../fold/keys.js';
import { PersistentList, PersistentSet } from '../persistent.js';
import type { State } from '../state.js';
import { startClaim } from './claim.js';
import { addHeldAnswer, selectHeir } from './heirs.js';
import { endRequest, refuse } from './refuse.js';
import type { Deliver } from './release-slot.js';
import { setRequest } from './request-table.js';
import type { RemoteFollower, RequestPhase, RequestState } from './requests-state.js';

/** Time after which nobody expects word of work whose holder is gone. */
const LAST_WORD_MILLISECONDS = 3_000;

function* replay(state: State, request: RequestState, answer: HeldAnswer, deliver: Deliver): Step<State> {
  yield { kind: 'replay-answer', requestId: request.description.requestId, answer };
  return yield* endRequest(state, request, 'yes', deliver);
}

function selectHeldAnswer(state: State, keyHash: string, requestId: string): HeldAnswer | null {
  const held = state.requests.heldAnswers.get(keyHash);
  return held !== undefined && held.requestId === requestId ? held.answer : null;
}

function* refuseEnded(state: State, request: RequestState, holder: KeyState, deliver: Deliver): Step<State> {
  if (holder.outcome === 'answered') {
    return yield* refuse(
      state,
      request,
      'keyAlreadyRan',
      'Its work was done and answered; the answer is held no more',
      'yes',
      deliver,
    );
  }
  return yield* refuse(
    state,
    request,
    'keyOutcomeUnknown',
    'Its work was started and nobody can tell how it ended',
    'unknown',
    deliver,
  );
}

function followingPhase(
  state: State,
  holder: KeyState,
  holderProcessId: string,
  goneSince: Date | null,
): RequestPhase {
  return {
    kind: 'following',
    holderRequestId: holder.requestId,
    holderProcessId,
    askedAt: state.now,
    goneSince,
  };
}

function isHolderGone(state: State, holder: KeyState): boolean {
  const member = state.fold.fleet.members.get(holder.processId);
  return member === undefined || member.identity.incarnation !== holder.incarnation;
}

function* askProcess(state: State, request: RequestState, holder: KeyState, processId: string): Step<State> {
  const { requestId, keyHash } = request.description;
  const phase = followingPhase(state, holder, processId, null);
  yield {
    kind: 'send',
    to: processId,
    message: { kind: 'answer-requested', keyHash: keyHash ?? '', requestId },
  };
  return setRequest(state, { ...request, phase });
}

/**
 * Waits for the end of work whose holder is gone. The record of the end may be on its way: the two streams
 * of the log are read apart from one another.
 */
function* awaitLastWord(
  state: State,
  request: RequestState,
  holder: KeyState,
  deliver: Deliver,
): Step<State> {
  const goneSince = request.phase.kind === 'following' ? (request.phase.goneSince ?? state.now) : state.now;
  if (millisecondsBetween(goneSince, state.now) >= LAST_WORD_MILLISECONDS) {
    return yield* refuseEnded(state, request, holder, deliver);
  }
  const phase = followingPhase(state, holder, holder.processId, goneSince);
  return setRequest(state, { ...request, phase });
}

/** A holder that is gone may have handed its answers over. */
function* followGone(state: State, request: RequestState, holder: KeyState, deliver: Deliver): Step<State> {
  if (holder.outcome === null) return yield* awaitLastWord(state, request, holder, deliver);
  const heir = selectHeir(state, holder.processId);
  if (heir === null) return yield* refuseEnded(state, request, holder, deliver);
  if (heir !== state.identity.processId) return yield* askProcess(state, request, holder, heir);
  const answer = selectHeldAnswer(state, request.description.keyHash ?? '', holder.requestId);
  if (answer !== null) return yield* replay(state, request, answer, deliver);
  return yield* refuseEnded(state, request, holder, deliver);
}

function followLocally(state: State, request: RequestState, holder: KeyState): State {
  const phase = followingPhase(state, holder, holder.processId, null);
  const followers = state.requests.localFollowers.get(holder.requestId) ?? PersistentSet<string>();
  const localFollowers = state.requests.localFollowers.set(
    holder.requestId,
    followers.add(request.description.requestId),
  );
  return setRequest({ ...state, requests: { ...state.requests, localFollowers } }, { ...request, phase });
}

/** Decides what a request does whose key another request holds. */
export function* followHolder(
  state: State,
  request: RequestState,
  holder: KeyState,
  deliver: Deliver,
): Step<State> {
  const { fingerprint, keyHash } = request.description;
  if (holder.fingerprint !== fingerprint) {
    const detail =
      'Expected the method, path and body of the first request with this key, found others; use a new key';
    return yield* refuse(state, request, 'keyReusedForOtherWork', detail, 'no', deliver);
  }
  if (holder.outcome === 'not-run') return yield* startClaim(state, request);
  const isOwn =
    holder.processId === state.identity.processId && holder.incarnation === state.identity.incarnation;
  if (isOwn) {
    const answer = selectHeldAnswer(state, keyHash ?? '', holder.requestId);
    if (answer !== null) return yield* replay(state, request, answer, deliver);
    // Without an outcome the holder is at work, or the record of its end is on its way.
    const isUnderWay = holder.outcome === null || state.requests.byId.has(holder.requestId);
    if (isUnderWay) return followLocally(state, request, holder);
    return yield* refuseEnded(state, request, holder, deliver);
  }
  if (holder.outcome === 'unknown') return yield* refuseEnded(state, request, holder, deliver);
  if (isHolderGone(state, holder)) return yield* followGone(state, request, holder, deliver);
  return yield* askProcess(state, request, holder, holder.processId);
}

/** Another gateway asks for the answer of work that this one did. */
export function* handleAnswerRequested(
  state: State,
  from: string,
  keyHash: string,
  requestId: string,
): Step<State> {
  const holder = selectKey(state.fold.keys, keyHash);
  const running = holder !== undefined && state.requests.byId.has(holder.requestId);
  if (running && holder !== undefined) {
    const follower: RemoteFollower = { processId: from, requestId };
    const followers =
      state.requests.remoteFollowers.get(holder.requestId) ?? PersistentList<RemoteFollower>();
    const known = followers.some((other) => other.requestId === requestId);
    if (known) return state;
    const remoteFollowers = state.requests.remoteFollowers.set(holder.requestId, followers.push(follower));
    return { ...state, requests: { ...state.requests, remoteFollowers } };
  }
  const answer = holder === undefined ? null : selectHeldAnswer(state, keyHash, holder.requestId);
  yield { kind: 'send', to: from, message: { kind: 'answer-found', requestId, answer } };
  return state;
}

/** The answer of another gateway's work came, or word that it is not held. */
export function* handleAnswerFound(
  state: State,
  requestId: string,
  answer: HeldAnswer | null,
  deliver: Deliver,
): Step<State> {
  const request = state.requests.byId.get(requestId);
  if (request === undefined || request.phase.kind !== 'following') return state;
  if (answer !== null) return yield* replay(state, request, answer, deliver);
  const holder = selectKey(state.fold.keys, request.description.keyHash ?? '');
  if (holder === undefined || holder.outcome === null) return state;
  return yield* followEnded(state, request, holder, deliver);
}

function* followEnded(state: State, request: RequestState, holder: KeyState, deliver: Deliver): Step<State> {
  if (holder.outcome === 'not-run') return yield* startClaim(state, request);
  return yield* refuseEnded(state, request, holder, deliver);
}

/** Holds a whole answer for repeats and gives it to those that wait for it. */
export function* holdAnswer(
  state: State,
  request: RequestState,
  answer: HeldAnswer | null,
  deliver: Deliver,
): Step<State> {
  const { keyHash, requestId } = request.description;
  if (keyHash === null) return state;
  const requests =
    answer === null ? state.requests : addHeldAnswer(state.requests, keyHash, { requestId, answer });
  const held: State = { ...state, requests };
  return yield* tellFollowers(held, requestId, answer, deliver);
}

/** Tells those that follow a request how it ended. */
export function* tellFollowers(
  state: State,
  requestId: string,
  answer: HeldAnswer | null,
  deliver: Deliver,
): Step<State> {
  const local = state.requests.localFollowers.get(requestId) ?? PersistentSet<string>();
  const remote = state.requests.remoteFollowers.get(requestId) ?? PersistentList<RemoteFollower>();
  if (local.isEmpty() && remote.isEmpty()) return state;
  for (const follower of remote) {
    yield {
      kind: 'send',
      to: follower.processId,
      message: { kind: 'answer-found', requestId: follower.requestId, answer },
    };
  }
  let current: State = {
    ...state,
    requests: {
      ...state.requests,
      localFollowers: state.requests.localFollowers.remove(requestId),
      remoteFollowers: state.requests.remoteFollowers.remove(requestId),
    },
  };
  if (answer === null) return current;
  for (const followerId of local) {
    const follower = current.requests.byId.get(followerId);
    if (follower !== undefined) current = yield* replay(current, follower, answer, deliver);
  }
  return current;
}

function isFollowing(request: RequestState, keyHash: string): boolean {
  return request.phase.kind === 'following' && request.description.keyHash === keyHash;
}

/** Requests here that follow keys which ended by now ask once more or give up. */
export function* handleEndedKeys(state: State, ended: readonly EndedKey[], deliver: Deliver): Step<State> {
  let current = state;
  for (const { keyHash } of ended) {
    const followers = [...current.requests.byId.values()].filter((request) => isFollowing(request, keyHash));
    for (const request of followers) {
      const holder = selectKey(current.fold.keys, keyHash);
      if (holder !== undefined) current = yield* followHolder(current, request, holder, deliver);
    }
  }
  return current;
}

/** Asks holders again whose answer did not come, and gives up on those that are gone. */
export function* tickFollowers(
  state: State,
  followers: readonly RequestState[],
  deliver: Deliver,
): Step<State> {
  let current = state;
  for (const request of followers) {
    const holder = selectKey(current.fold.keys, request.description.keyHash ?? '');
    const known = current.requests.byId.get(request.description.requestId);
    if (holder !== undefined && known !== undefined) {
      current = yield* followHolder(current, known, holder, deliver);
    }
  }
  return current;
}
