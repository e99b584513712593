/**
 * Handles requests whose key another request, the holder, has claimed. Such a follower waits for the answer
 * of the holder, gets its held answer, or is refused.
 */
import { millisecondsBetween, type HeldAnswer } from '@baobabdeck/types';
import type { Step } from '../effect.js';
import type { KeyState } from '../fold/fold-state.js';
import { selectKey, type EndedKey } from '../fold/keys.js';
import { PersistentList, PersistentSet } from '../persistent.js';
import type { State } from '../state.js';
import { startClaim } from './claim.js';
import { addHeldAnswer, selectSuccessor } from './successors.js';
import { endRequest, refuse } from './refuse.js';
import type { Deliver } from './release-slot.js';
import { setRequest } from './request-table.js';
import type { RemoteFollower, RequestPhase, RequestState } from './requests-state.js';

/** Time for which the record of the end of a key is awaited after its holder was lost. */
const END_RECORD_TIMEOUT_MILLISECONDS = 3_000;

function* replayAnswer(
  state: State,
  request: RequestState,
  answer: HeldAnswer,
  deliver: Deliver,
): Step<State> {
  yield { kind: 'replay-answer', requestId: request.description.requestId, answer };
  return yield* endRequest(state, request, 'yes', deliver);
}

function selectHeldAnswer(state: State, keyHash: string, requestId: string): HeldAnswer | null {
  const held = state.requests.heldAnswers.get(keyHash);
  return held !== undefined && held.requestId === requestId ? held.answer : null;
}

function* refuseEndedKey(
  state: State,
  request: RequestState,
  holder: KeyState,
  deliver: Deliver,
): Step<State> {
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
  holderLostSince: Date | null,
): RequestPhase {
  return {
    kind: 'following',
    holderRequestId: holder.requestId,
    holderProcessId,
    askedAt: state.now,
    holderLostSince,
  };
}

function isHolderLost(state: State, holder: KeyState): boolean {
  const member = state.fold.fleet.members.get(holder.processId);
  return member === undefined || member.identity.incarnation !== holder.incarnation;
}

function* requestAnswer(
  state: State,
  request: RequestState,
  holder: KeyState,
  processId: string,
): Step<State> {
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
 * Waits for the record of how the work of a lost holder ended. The record may not have been read yet, as the two
 * streams of the log are read independently.
 */
function* awaitEndRecord(
  state: State,
  request: RequestState,
  holder: KeyState,
  deliver: Deliver,
): Step<State> {
  const holderLostSince =
    request.phase.kind === 'following' ? (request.phase.holderLostSince ?? state.now) : state.now;
  if (millisecondsBetween(holderLostSince, state.now) >= END_RECORD_TIMEOUT_MILLISECONDS) {
    return yield* refuseEndedKey(state, request, holder, deliver);
  }
  const phase = followingPhase(state, holder, holder.processId, holderLostSince);
  return setRequest(state, { ...request, phase });
}

/** Gets the answer of a lost holder, which may have handed its answers over, from its successor. */
function* followLostHolder(
  state: State,
  request: RequestState,
  holder: KeyState,
  deliver: Deliver,
): Step<State> {
  if (holder.outcome === null) return yield* awaitEndRecord(state, request, holder, deliver);
  const successor = selectSuccessor(state, holder.processId);
  if (successor === null) return yield* refuseEndedKey(state, request, holder, deliver);
  if (successor !== state.identity.processId) return yield* requestAnswer(state, request, holder, successor);
  const answer = selectHeldAnswer(state, request.description.keyHash ?? '', holder.requestId);
  if (answer !== null) return yield* replayAnswer(state, request, answer, deliver);
  return yield* refuseEndedKey(state, request, holder, deliver);
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

/** Replays the answer of the holder of a key, waits for it, claims the key anew or refuses the request. */
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
    if (answer !== null) return yield* replayAnswer(state, request, answer, deliver);
    // Without an outcome the holder is still running, or the record of its end has not been read yet.
    const isInProgress = holder.outcome === null || state.requests.byId.has(holder.requestId);
    if (isInProgress) return followLocally(state, request, holder);
    return yield* refuseEndedKey(state, request, holder, deliver);
  }
  if (holder.outcome === 'unknown') return yield* refuseEndedKey(state, request, holder, deliver);
  if (isHolderLost(state, holder)) return yield* followLostHolder(state, request, holder, deliver);
  return yield* requestAnswer(state, request, holder, holder.processId);
}

/**
 * Sends the answer of one of this gateway's requests to another gateway, or adds a follower while the request
 * runs.
 */
export function* handleAnswerRequested(
  state: State,
  from: string,
  keyHash: string,
  requestId: string,
): Step<State> {
  const holder = selectKey(state.fold.keys, keyHash);
  const isRunning = holder !== undefined && state.requests.byId.has(holder.requestId);
  if (isRunning && holder !== undefined) {
    const follower: RemoteFollower = { processId: from, requestId };
    const followers =
      state.requests.remoteFollowers.get(holder.requestId) ?? PersistentList<RemoteFollower>();
    const isKnown = followers.some((other) => other.requestId === requestId);
    if (isKnown) return state;
    const remoteFollowers = state.requests.remoteFollowers.set(holder.requestId, followers.push(follower));
    return { ...state, requests: { ...state.requests, remoteFollowers } };
  }
  const answer = holder === undefined ? null : selectHeldAnswer(state, keyHash, holder.requestId);
  yield { kind: 'send', to: from, message: { kind: 'answer-found', requestId, answer } };
  return state;
}

/**
 * Replays an answer of another gateway; without one, refuses the follower or claims the key, as its outcome
 * allows.
 */
export function* handleAnswerFound(
  state: State,
  requestId: string,
  answer: HeldAnswer | null,
  deliver: Deliver,
): Step<State> {
  const request = state.requests.byId.get(requestId);
  if (request === undefined || request.phase.kind !== 'following') return state;
  if (answer !== null) return yield* replayAnswer(state, request, answer, deliver);
  const holder = selectKey(state.fold.keys, request.description.keyHash ?? '');
  if (holder === undefined || holder.outcome === null) return state;
  return yield* resolveEndedKey(state, request, holder, deliver);
}

function* resolveEndedKey(
  state: State,
  request: RequestState,
  holder: KeyState,
  deliver: Deliver,
): Step<State> {
  if (holder.outcome === 'not-run') return yield* startClaim(state, request);
  return yield* refuseEndedKey(state, request, holder, deliver);
}

/** Holds a complete answer for repeated requests and sends it to the followers. */
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
  return yield* notifyFollowers(held, requestId, answer, deliver);
}

/** Sends the answer of an ended request to its followers; null means that it ended without an answer. */
export function* notifyFollowers(
  state: State,
  requestId: string,
  answer: HeldAnswer | null,
  deliver: Deliver,
): Step<State> {
  const localFollowerIds = state.requests.localFollowers.get(requestId) ?? PersistentSet<string>();
  const remoteFollowers = state.requests.remoteFollowers.get(requestId) ?? PersistentList<RemoteFollower>();
  if (localFollowerIds.isEmpty() && remoteFollowers.isEmpty()) return state;
  for (const follower of remoteFollowers) {
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
  for (const followerId of localFollowerIds) {
    const follower = current.requests.byId.get(followerId);
    if (follower !== undefined) current = yield* replayAnswer(current, follower, answer, deliver);
  }
  return current;
}

function isFollowing(request: RequestState, keyHash: string): boolean {
  return request.phase.kind === 'following' && request.description.keyHash === keyHash;
}

/** Resolves the followers on this gateway of keys whose work has ended. */
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

/** Resends the answer requests of followers, and ends the followers of lost holders. */
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
