/** Highest-random-weight hashing: every process picks the same member without talking. */
import { createHash } from 'node:crypto';

function weigh(text: string): number {
  return createHash('sha256').update(text).digest().readUInt32BE();
}

/** The member that a key belongs to, or null where there is none. */
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
