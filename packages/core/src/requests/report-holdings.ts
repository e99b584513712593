/** Tells a dispatcher which of its pool's slots this gateway uses. */
import { millisecondsBetween, type SlotHolding, type UnsettledSlot } from '@baobabdeck/types';
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
    remainingMilliseconds:
      request === undefined ? 0 : Math.max(0, millisecondsBetween(state.now, request.deadlineAt)),
  };
}

function selectUnsettled(state: State, pool: string): readonly UnsettledSlot[] {
  const former = state.formerUnsettled.get(pool) ?? [];
  return former
    .filter((grant) => grant.settleBy > state.now)
    .map((grant) => ({
      slotRequestId: grant.slotRequestId,
      hostId: grant.hostId,
      settleInMilliseconds: millisecondsBetween(state.now, grant.settleBy),
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
  for (const request of state.requests.byId.values()) {
    if (request.pool === pool && request.phase.kind === 'waiting') {
      current = yield* askAgain(current, request, deliver);
    }
  }
  return current;
}
