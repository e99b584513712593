/** Routes messages between processes: sends them to peers, or handles them directly if addressed to this process. */
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

/** Sends a message to a peer, or handles it directly if it is addressed to this process. */
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

function isMember(state: State, from: string, incarnation: string): boolean {
  return state.fold.fleet.members.get(from)?.identity.incarnation === incarnation;
}

/** Handles a message of a peer. From an incarnation that is not a member, only heartbeats are processed. */
export function* handlePeerMessage(
  state: State,
  from: string,
  incarnation: string,
  message: PeerMessage,
): Step<State> {
  if (message.kind === 'heartbeat') return yield* handleHeartbeat(state, from, incarnation, message);
  return isMember(state, from, incarnation) ? yield* handleMessage(state, from, message) : state;
}

/** Handles a new link to a peer. Messages on the old link may be lost, so a gateway's holdings are awaited again. */
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
