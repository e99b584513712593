/** Checks that a host has no more work than slots, wherever a slot is taken. */
import type { PoolDispatch } from '../dispatch/dispatch-state.js';
import type { InvariantFault } from './fault.js';

/** Faults of the hosts whose slots were just taken. */
export function findSlotFaults(
  dispatch: PoolDispatch,
  hostIds: Iterable<string>,
  slotsPerHost: number,
): readonly InvariantFault[] {
  const faults: InvariantFault[] = [];
  for (const hostId of hostIds) {
    const busy = dispatch.hosts.get(hostId)?.busySlots ?? 0;
    if (busy > slotsPerHost) {
      faults.push({
        invariant: 'slots-within-limit',
        detail: `${hostId}: ${busy} in use of ${slotsPerHost}`,
      });
    }
  }
  return faults;
}
