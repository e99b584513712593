/** Sends slot requests to the dispatcher of a pool. */
import { millisecondsBetween, type SlotRequest } from '@baobabdeck/types';
import type { Step } from '../effect.js';
import type { State } from '../state.js';
import type { Deliver } from './release-slot.js';
import { setRequest } from './request-table.js';
import type { RequestState } from './requests-state.js';

/** Time after which an unanswered request to a peer is sent again. The receivers handle repetitions. */
export const RESEND_INTERVAL_MILLISECONDS = 1_000;

function slotRequestOf(state: State, request: RequestState, slotRequestId: string): SlotRequest {
  const { description } = request;
  return {
    slotRequestId,
    pool: request.pool,
    caller: description.caller,
    workKind: description.workKind,
    needs: description.needs,
    hint: description.hint,
    longWorkThresholdMilliseconds: request.longWorkThresholdMilliseconds,
    remainingMilliseconds: Math.max(0, millisecondsBetween(state.now, request.deadlineAt)),
    avoidHostId: request.avoidHostId,
  };
}

function* deliverSlotRequest(
  state: State,
  request: RequestState,
  slotRequestId: string,
  deliver: Deliver,
): Step<State> {
  const dispatcher = state.dispatchers.get(request.pool);
  if (dispatcher === undefined) return state;
  const message = { kind: 'slot-requested', request: slotRequestOf(state, request, slotRequestId) } as const;
  return yield* deliver(state, dispatcher, message);
}

/** Returns the request in the waiting phase with a new slot request id, which has not been sent yet. */
export function withNewSlotRequest(state: State, request: RequestState): RequestState {
  const slotRequests = request.slotRequests + 1;
  const slotRequestId = `${request.description.requestId}#${slotRequests}`;
  return { ...request, phase: { kind: 'waiting', slotRequestId, askedAt: state.now }, slotRequests };
}

/** Requests the first slot of a request, or another one after an attempt. */
export function* requestSlot(state: State, request: RequestState, deliver: Deliver): Step<State> {
  const waiting = withNewSlotRequest(state, request);
  return yield* sendSlotRequest(state, waiting, deliver);
}

/** Sends or resends the slot request that a request waits for, as it or its answer may have been lost. */
export function* sendSlotRequest(state: State, request: RequestState, deliver: Deliver): Step<State> {
  if (request.phase.kind !== 'waiting') return state;
  const phase = { ...request.phase, askedAt: state.now };
  const requested = { ...request, phase };
  return yield* deliverSlotRequest(setRequest(state, requested), requested, phase.slotRequestId, deliver);
}
