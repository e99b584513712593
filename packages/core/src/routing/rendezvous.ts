/** Rendezvous (highest random weight) hashing: every process selects the same member without communication. */
import { createHash } from 'node:crypto';

function weigh(text: string): number {
  return createHash('sha256').update(text).digest().readUInt32BE();
}

/** Returns the member that a key is assigned to, or null if there are no members. */
export function pickByRendezvous(key: string, members: Iterable<string>): string | null {
  let best: string | null = null;
  let bestWeight = -1;
  for (const member of members) {
    const weight = weigh(`${key}|${member}`);
    if (weight > bestWeight || (weight === bestWeight && best !== null && member < best)) {
      best = member;
      bestWeight = weight;
    }
  }
  return best;
}
