/** Asks the dispatcher of a pool for a slot. */
import { millisecondsBetween, type SlotRequest } from '@baobabdeck/types';
import type { Step } from '../effect.js';
import type { State } from '../state.js';
import type { Deliver } from './release-slot.js';
import { setRequest } from './request-table.js';
import type { RequestState } from './requests-state.js';

/** Time after which a slot that neither came nor was refused is asked for again; a repeat costs nothing. */
export const ASK_AGAIN_MILLISECONDS = 1_000;

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

function* send(state: State, request: RequestState, slotRequestId: string, deliver: Deliver): Step<State> {
  const dispatcher = state.dispatchers.get(request.pool);
  if (dispatcher === undefined) return state;
  const message = { kind: 'slot-requested', request: slotRequestOf(state, request, slotRequestId) } as const;
  return yield* deliver(state, dispatcher, message);
}

/** The request, waiting for a slot that was not asked for yet. */
export function waitForNewSlot(state: State, request: RequestState): RequestState {
  const slotRequests = request.slotRequests + 1;
  const slotRequestId = `${request.description.requestId}#${slotRequests}`;
  return { ...request, phase: { kind: 'waiting', slotRequestId, askedAt: state.now }, slotRequests };
}

/** Asks for a first slot, or for another one after an attempt. */
export function* askForSlot(state: State, request: RequestState, deliver: Deliver): Step<State> {
  const waiting = waitForNewSlot(state, request);
  return yield* askAgain(state, waiting, deliver);
}

/** Asks again for the slot that a request waits for: the question or its answer may be lost. */
export function* askAgain(state: State, request: RequestState, deliver: Deliver): Step<State> {
  if (request.phase.kind !== 'waiting') return state;
  const phase = { ...request.phase, askedAt: state.now };
  const asked = { ...request, phase };
  return yield* send(setRequest(state, asked), asked, phase.slotRequestId, deliver);
}
