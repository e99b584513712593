/** Root reducer: takes one event, yields effects and returns the next state. */
import { handleHostList, handleUsage } from './control/hosts.js';
import { tickControl } from './control/index.js';
import { handleTasks } from './control/jobs.js';
import { deliver, handlePeerLinked, handlePeerMessage } from './deliver.js';
import { tickDispatch } from './dispatch/index.js';
import { addUsageReports } from './dispatch/usage-reports.js';
import type { Step } from './effect.js';
import type { Event } from './event.js';
import { findTransitionFaults } from './invariants/check-state.js';
import { reportFaults } from './invariants/fault.js';
import { appendFleetRecord, isRegistered, tickMembership } from './membership/index.js';
import { handleRecordsRead } from './records.js';
import { handleCallerLeft, handleRequestArrived } from './requests/arrival.js';
import {
  handleAttemptCompleted,
  handleAttemptFailed,
  handleAttemptResponded,
  handleSilence,
} from './requests/attempts.js';
import { handleDeadline, tickRequests } from './requests/tick.js';
import { handOverAnswers } from './requests/successors.js';
import { flushKeys, handleAppendSettled, KEY_BATCH_TIMER } from './requests/keys.js';
import type { State } from './state.js';

function* handleTick(state: State): Step<State> {
  const alive = yield* tickMembership(state);
  const served = yield* tickDispatch(alive, deliver);
  const asked = yield* tickRequests(served, deliver);
  return yield* tickControl(asked);
}

function* handleTimer(state: State, timerId: string): Step<State> {
  if (timerId === KEY_BATCH_TIMER) return yield* flushKeys(state);
  const slash = timerId.indexOf('/');
  const subject = timerId.slice(slash + 1);
  return timerId.startsWith('silence/')
    ? yield* handleSilence(state, subject, deliver)
    : yield* handleDeadline(state, subject, deliver);
}

/** Hands over the held answers and proposes the removal of this process from the members. */
function* leave(state: State): Step<State> {
  if (!isRegistered(state)) return state;
  yield* handOverAnswers(state);
  const { processId, incarnation } = state.identity;
  return yield* appendFleetRecord(state, { kind: 'process-removed', processId, incarnation });
}

function* handle(state: State, event: Event): Step<State> {
  switch (event.kind) {
    case 'ticked':
      return yield* handleTick(state);
    case 'timer-fired':
      return yield* handleTimer(state, event.timerId);
    case 'records-read':
      return yield* handleRecordsRead(state, event);
    case 'append-settled':
      return yield* handleAppendSettled(state, event.recordId, event.outcome === 'stored');
    case 'request-arrived':
      return yield* handleRequestArrived(state, event, deliver);
    case 'caller-left':
      return yield* handleCallerLeft(state, event.requestId, deliver);
    case 'attempt-responded':
      return yield* handleAttemptResponded(state, event);
    case 'attempt-completed':
      return yield* handleAttemptCompleted(state, event, deliver);
    case 'attempt-failed':
      return yield* handleAttemptFailed(state, event, deliver);
    case 'peer-linked':
      return handlePeerLinked(state, event.processId);
    case 'peer-message-received':
      if (event.message.kind === 'records-pushed') {
        const { stream, records } = event.message;
        return yield* handleRecordsRead(state, {
          kind: 'records-read',
          at: event.at,
          stream,
          records,
          readStartedAt: null,
        });
      }
      return yield* handlePeerMessage(state, event.from, event.incarnation, event.message);
    case 'host-list-read':
      return handleHostList(state, event);
    case 'usage-read':
      return addUsageReports(handleUsage(state, event), event.asOf, event.usage);
    case 'tasks-read':
      return yield* handleTasks(state, event);
    case 'stop-requested':
      return { ...state, stopping: true };
    case 'leave-requested':
      return yield* leave(state);
    default:
      return state;
  }
}

/**
 * Reduces one event. Pure: equal states and events give equal effects and states. Invariants are checked on
 * the whole step; each violation is yielded as a logged decision.
 */
export function* reduce(before: State, event: Event): Step<State> {
  const after = yield* handle({ ...before, now: event.at }, event);
  yield* reportFaults(findTransitionFaults(before, after));
  return after;
}
