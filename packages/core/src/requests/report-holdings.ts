/** Reports the held slots of this gateway to a pool's dispatcher. */
import { millisecondsBetween, type SlotHolding, type UnsettledSlot } from '@baobabdeck/types';
import { selectUnsettledRecords } from '../dispatch/unsettled-records.js';
import type { Step } from '../effect.js';
import type { State } from '../state.js';
import { sendSlotRequest } from './request-slot.js';
import type { Deliver } from './release-slot.js';
import type { HeldSlot } from './requests-state.js';

function holdingOf(state: State, slot: HeldSlot): SlotHolding {
  const request = state.requests.byId.get(slot.requestId);
  return {
    slotRequestId: slot.slotRequestId,
    hostId: slot.hostId,
    caller: request?.description.caller ?? '',
    workKind: request?.description.workKind ?? '',
    longWorkThresholdMilliseconds: request?.longWorkThresholdMilliseconds ?? 0,
  };
}

function selectUnsettled(state: State, pool: string): readonly UnsettledSlot[] {
  return selectUnsettledRecords(state, pool).map(({ slotRequestId, hostId, settleBy }) => ({
    slotRequestId,
    hostId,
    settleInMilliseconds: millisecondsBetween(state.now, settleBy),
  }));
}

/**
 * Reports the held slots to the dispatcher that requested them, and resends the pool's waiting slot requests.
 * Sends nothing if this gateway knows another dispatcher or has not folded the log up to `viewOffset`.
 */
export function* reportHoldings(
  state: State,
  dispatcher: string,
  pool: string,
  viewOffset: number,
  deliver: Deliver,
): Step<State> {
  const ownViewOffset = state.fold.fleet.gatewayViewOffset;
  if (state.dispatchers.get(pool) !== dispatcher || ownViewOffset < viewOffset) return state;
  const holdings = [...state.requests.heldSlots.values()]
    .filter((slot) => slot.pool === pool)
    .map((slot) => holdingOf(state, slot));
  let current = yield* deliver(state, dispatcher, {
    kind: 'holdings-reported',
    pool,
    viewOffset: ownViewOffset,
    holdings,
    unsettled: selectUnsettled(state, pool),
  });
  for (const requestId of state.requests.byId.keys()) {
    // Delivering an earlier slot request may have changed or ended this request.
    const request = current.requests.byId.get(requestId);
    if (request?.pool === pool) current = yield* sendSlotRequest(current, request, deliver);
  }
  return current;
}
