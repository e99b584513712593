/** Selects a host for a request. The cost depends on the number of hardware kinds, not on the number of hosts. */
import type { CapabilityNeed, HardwareSection } from '@baobabdeck/types';
import type { PersistentMap } from '../persistent.js';
import { meetsAll } from '../routing/needs.js';
import type { FreeBuckets, PoolDispatch } from './dispatch-state.js';

function compareCapability(left: HardwareSection, right: HardwareSection): number {
  return (
    left.accelerators - right.accelerators ||
    Object.keys(left.features).length - Object.keys(right.features).length ||
    left.memoryGigabytes - right.memoryGigabytes
  );
}

/** Returns the host with the most free slots, preferring any other host to `avoidHostId`. */
function chooseFromBuckets(buckets: FreeBuckets, avoidHostId: string | null): string | null {
  let fallback: string | null = null;
  for (let slots = buckets.size - 1; slots > 0; slots -= 1) {
    for (const hostId of buckets.get(slots) ?? []) {
      if (hostId !== avoidHostId) return hostId;
      fallback = hostId;
    }
  }
  return fallback;
}

/**
 * Selects the host for a request, or returns null if no suitable host has a free slot. Among the suitable hardware
 * kinds the least capable comes first, so that scarce capabilities stay free for work that needs them.
 */
export function chooseTarget(
  dispatch: PoolDispatch,
  hardware: PersistentMap<string, HardwareSection>,
  needs: readonly CapabilityNeed[],
  avoidHostId: string | null,
): string | null {
  const suitable = [...dispatch.freeHostsByHardware.keys()]
    .flatMap((name) => {
      const section = hardware.get(name);
      return section !== undefined && meetsAll(section, needs) ? [{ name, section }] : [];
    })
    .sort((left, right) => compareCapability(left.section, right.section));
  let fallback: string | null = null;
  for (const { name } of suitable) {
    const buckets = dispatch.freeHostsByHardware.get(name);
    const chosen = buckets === undefined ? null : chooseFromBuckets(buckets, avoidHostId);
    if (chosen !== null && chosen !== avoidHostId) return chosen;
    fallback = chosen ?? fallback;
  }
  return fallback;
}
