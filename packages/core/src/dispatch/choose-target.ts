/** Picks the host for a piece of work. The cost depends on kinds of hardware, not on the number of hosts. */
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

/** The host with the most free slots, other than `avoid` where there is another. */
function chooseFromBuckets(buckets: FreeBuckets, avoid: string | null): string | null {
  let lastChoice: string | null = null;
  for (let slots = buckets.size - 1; slots > 0; slots -= 1) {
    for (const hostId of buckets.get(slots) ?? []) {
      if (hostId !== avoid) return hostId;
      lastChoice = hostId;
    }
  }
  return lastChoice;
}

/**
 * The host that gets the work, or null where none has a free slot. Among the kinds of hardware that
 * have what is needed the plainest comes first, so that scarce capabilities stay free for work that needs them.
 */
export function chooseTarget(
  dispatch: PoolDispatch,
  hardware: PersistentMap<string, HardwareSection>,
  needs: readonly CapabilityNeed[],
  avoid: string | null,
): string | null {
  const suitable = [...dispatch.free.keys()]
    .flatMap((name) => {
      const section = hardware.get(name);
      return section !== undefined && meetsAll(section, needs) ? [{ name, section }] : [];
    })
    .sort((left, right) => compareCapability(left.section, right.section));
  let lastChoice: string | null = null;
  for (const { name } of suitable) {
    const buckets = dispatch.free.get(name);
    const chosen = buckets === undefined ? null : chooseFromBuckets(buckets, avoid);
    if (chosen !== null && chosen !== avoid) return chosen;
    lastChoice = chosen ?? lastChoice;
  }
  return lastChoice;
}
