/** Releases slots to their dispatcher. */
import { millisecondsBetween, type AttemptOutcome, type PeerMessage } from '@baobabdeck/types';
import { addUnsettledRecords, recordOfHeldSlot } from '../dispatch/unsettled-records.js';
import type { Step } from '../effect.js';
import type { State } from '../state.js';

/** Sends a message to a process, or handles it at once if the process is this one. */
export type Deliver = (state: State, to: string, message: PeerMessage) => Step<State>;

/** Releases a slot; has no effect if this gateway does not hold it. */
export function* releaseSlot(
  state: State,
  slotRequestId: string,
  outcome: AttemptOutcome,
  deliver: Deliver,
): Step<State> {
  const slot = state.requests.heldSlots.get(slotRequestId);
  if (slot === undefined) return state;
  const heldSlots = state.requests.heldSlots.remove(slotRequestId);
  const mayStillRun = outcome === 'abandoned' || outcome === 'broken';
  const recorded = mayStillRun
    ? addUnsettledRecords(state, slot.pool, [recordOfHeldSlot(state, slot)])
    : state;
  const released: State = { ...recorded, requests: { ...recorded.requests, heldSlots } };
  const dispatcher = state.dispatchers.get(slot.pool);
  if (dispatcher === undefined) return released;
  const runMilliseconds = Math.max(0, millisecondsBetween(slot.startedAt, state.now));
  const message = {
    kind: 'slot-released',
    pool: slot.pool,
    slotRequestId,
    outcome,
    runMilliseconds,
  } as const;
  return yield* deliver(released, dispatcher, message);
}
