/** Checks that a host has no more slots in use than it offers, after slots were taken. */
import type { PoolDispatch } from '../dispatch/dispatch-state.js';
import type { InvariantFault } from './fault.js';

/** Returns the violations on hosts whose slots were just taken. */
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
