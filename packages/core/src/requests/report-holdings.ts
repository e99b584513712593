/** Tells a dispatcher which of its pool's slots this gateway uses. */
import { millisecondsBetween, type SlotHolding, type UnsettledSlot } from '@baobabdeck/types';
import { selectUnsettledRecords } from '../dispatch/unsettled-records.js';
import type { Step } from '../effect.js';
import type { State } from '../state.js';
import { askAgain } from './ask-slot.js';
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

/** Answers a dispatcher that this gateway, too, takes for the pool's, and asks it for what still waits. */
export function* reportHoldings(
  state: State,
  dispatcher: string,
  pool: string,
  viewOffset: number,
  deliver: Deliver,
): Step<State> {
  const own = state.fold.fleet.gatewayViewOffset;
  if (state.dispatchers.get(pool) !== dispatcher || own < viewOffset) return state;
  const holdings = [...state.requests.heldSlots.values()]
    .filter((slot) => slot.pool === pool)
    .map((slot) => holdingOf(state, slot));
  let current = yield* deliver(state, dispatcher, {
    kind: 'holdings-reported',
    pool,
    viewOffset: own,
    holdings,
    unsettled: selectUnsettled(state, pool),
  });
  for (const requestId of state.requests.byId.keys()) {
    // An answer to one question may have changed the requests that come after it.
    const request = current.requests.byId.get(requestId);
    if (request?.pool === pool) current = yield* askAgain(current, request, deliver);
  }
  return current;
}
