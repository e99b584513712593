/** Records of unsettled slots that a process keeps for the next dispatcher of their pool. */
import { addMilliseconds } from '@baobabdeck/types';
import type { HeldSlot } from '../requests/requests-state.js';
import type { State } from '../state.js';
import type { PoolDispatch, UnsettledRecord } from './dispatch-state.js';
import { UNSETTLED_TIMEOUT_MILLISECONDS } from './grants.js';

/** Returns the records of a pool that have not expired. */
export function selectUnsettledRecords(state: State, pool: string): readonly UnsettledRecord[] {
  return (state.unsettledSlots.get(pool) ?? []).filter((record) => record.settleBy > state.now);
}

/** Adds records of a pool, replacing older records of the same slots. */
export function addUnsettledRecords(state: State, pool: string, records: readonly UnsettledRecord[]): State {
  if (records.length === 0) return state;
  const newIds = new Set(records.map((record) => record.slotRequestId));
  const kept = selectUnsettledRecords(state, pool).filter((record) => !newIds.has(record.slotRequestId));
  return { ...state, unsettledSlots: state.unsettledSlots.set(pool, [...kept, ...records]) };
}

/** Returns the record of a slot whose attempt this gateway abandoned. */
export function recordOfHeldSlot(state: State, slot: HeldSlot): UnsettledRecord {
  const settleBy = addMilliseconds(state.now, UNSETTLED_TIMEOUT_MILLISECONDS);
  return { slotRequestId: slot.slotRequestId, hostId: slot.hostId, settleBy };
}

/** Returns the records of all unsettled slots of a pool that this process stops dispatching. */
export function unsettledRecordsOf(dispatch: PoolDispatch): readonly UnsettledRecord[] {
  return [...dispatch.grants.values()].flatMap(({ slotRequestId, hostId, settleBy }) =>
    settleBy === null ? [] : [{ slotRequestId, hostId, settleBy }],
  );
}
