/** Slots in unknown use that a process remembers for the next dispatcher of their pool. */
import { addMilliseconds } from '@baobabdeck/types';
import type { HeldSlot } from '../requests/requests-state.js';
import type { State } from '../state.js';
import type { PoolDispatch, UnsettledRecord } from './dispatch-state.js';
import { UNSETTLED_MILLISECONDS } from './grants.js';

/** The records of a pool whose time is not over. */
export function selectUnsettledRecords(state: State, pool: string): readonly UnsettledRecord[] {
  return (state.unsettledSlots.get(pool) ?? []).filter((record) => record.settleBy > state.now);
}

/** The state with further records of a pool. */
export function rememberUnsettled(state: State, pool: string, records: readonly UnsettledRecord[]): State {
  if (records.length === 0) return state;
  const newer = new Set(records.map((record) => record.slotRequestId));
  const kept = selectUnsettledRecords(state, pool).filter((record) => !newer.has(record.slotRequestId));
  return { ...state, unsettledSlots: state.unsettledSlots.set(pool, [...kept, ...records]) };
}

/** The record of a slot whose work its gateway gave up. */
export function recordOfHeldSlot(state: State, slot: HeldSlot): UnsettledRecord {
  const settleBy = addMilliseconds(state.now, UNSETTLED_MILLISECONDS);
  return { slotRequestId: slot.slotRequestId, hostId: slot.hostId, settleBy };
}

/** The records of the slots that a dispatcher leaves in unknown use. */
export function recordsOfDispatch(dispatch: PoolDispatch): readonly UnsettledRecord[] {
  return [...dispatch.grants.values()].flatMap(({ slotRequestId, hostId, settleBy }) =>
    settleBy === null ? [] : [{ slotRequestId, hostId, settleBy }],
  );
}
