/** Messages between processes: to another one they are sent, to this one they are handled at once. */
import type { PeerMessage } from '@baobabdeck/types';
import {
  awaitHoldings,
  handleHoldingsReported,
  handleSlotCancelled,
  handleSlotReleased,
  handleSlotRequested,
} from './dispatch/index.js';
import type { Step } from './effect.js';
import { handleHeartbeat, selectLastHeard } from './membership/index.js';
import { handleAnswerFound, handleAnswerRequested } from './requests/followers.js';
import { takeOverAnswers } from './requests/successors.js';
import { handleSlotGranted, handleSlotRefused } from './requests/start-attempt.js';
import { reportHoldings } from './requests/report-holdings.js';
import type { State } from './state.js';

/** Sends a message, or handles it where it is meant for this process. */
export function* deliver(state: State, to: string, message: PeerMessage): Step<State> {
  if (to === state.identity.processId) return yield* handleMessage(state, to, message);
  yield { kind: 'send', to, message };
  return state;
}

function* handleMessage(state: State, from: string, message: PeerMessage): Step<State> {
  switch (message.kind) {
    case 'slot-requested':
      return yield* handleSlotRequested(state, from, message.request, deliver);
    case 'slot-cancelled':
      return handleSlotCancelled(state, message.pool, message.slotRequestId);
    case 'slot-granted':
      return yield* handleSlotGranted(state, from, message, deliver);
    case 'slot-refused':
      return yield* handleSlotRefused(state, message.slotRequestId, deliver);
    case 'slot-released':
      return yield* handleSlotReleased(state, from, message, deliver);
    case 'holdings-requested':
      return yield* reportHoldings(state, from, message.pool, message.viewOffset, deliver);
    case 'holdings-reported':
      return yield* handleHoldingsReported(state, from, message, deliver);
    case 'answers-handed-over':
      return takeOverAnswers(state, message.answers);
    case 'answer-requested':
      return yield* handleAnswerRequested(state, from, message.keyHash, message.requestId);
    case 'answer-found':
      return yield* handleAnswerFound(state, message.requestId, message.answer, deliver);
    default:
      return state;
  }
}

function takesPart(state: State, from: string, incarnation: string): boolean {
  return state.fold.fleet.members.get(from)?.identity.incarnation === incarnation;
}

/** A message of a peer. Only heartbeats count from a run of a process that does not take part. */
export function* handlePeerMessage(
  state: State,
  from: string,
  incarnation: string,
  message: PeerMessage,
): Step<State> {
  if (message.kind === 'heartbeat') return yield* handleHeartbeat(state, from, incarnation, message);
  return takesPart(state, from, incarnation) ? yield* handleMessage(state, from, message) : state;
}

/** A new link to a peer: what the old one carried may be lost. */
export function handlePeerLinked(state: State, processId: string): State {
  const member = state.fold.fleet.members.get(processId);
  if (
    member === undefined ||
    processId === state.identity.processId ||
    member.identity.role !== 'gateway' ||
    selectLastHeard(state, member) === null
  ) {
    return state;
  }
  return awaitHoldings(state, processId);
}
