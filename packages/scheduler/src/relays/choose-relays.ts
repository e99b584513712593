/** Decides which processes relay the orders of an owner, and which relay serves which worker. */
import { createHash } from 'node:crypto';
import { formatMember } from '../node/group-member.js';
import type { RelayOffer } from './relay-offers.js';

/** The most relays of one owner: each needs batches of its own. */
export const MAXIMUM_RELAYS = 8;

/** The fewest relays, if as many offer: with one, a failure returns all the work to the owner at once. */
export const MINIMUM_RELAYS = 2;

/** Idle capacity that the relays should have together, as a multiple of the owner's capacity. */
const CAPACITY_FACTOR = 2;

const HASH_VALUES = 2 ** 32;

/** Hashes a text to a number between 0 and 1, both excluded. */
function hashToUnit(text: string): number {
  const HALF = 0.5;
  return (createHash('sha1').update(text).digest().readUInt32BE(0) + HALF) / HASH_VALUES;
}

/** Score of a relay for a key: the highest is chosen, with a probability in proportion to the weight. */
function scoreOf(key: string, { member, idleMilliCores }: RelayOffer): number {
  return -idleMilliCores / Math.log(hashToUnit(`${key}|${formatMember(member)}`));
}

/** Returns the relay of a key by weighted rendezvous hashing; null without relays. */
export function pickRelay(key: string, relays: readonly RelayOffer[]): RelayOffer | null {
  let best: RelayOffer | null = null;
  let bestScore = -Infinity;
  relays.forEach((relay) => {
    const score = scoreOf(key, relay);
    if (score <= bestScore) return;
    best = relay;
    bestScore = score;
  });
  return best;
}

/**
 * Returns the relays of an owner. Those chosen before stay while they offer, with the weight of their choice, so that few
 * workers change their relay. Others are added until the capacity suffices. Owners prefer different relays.
 */
export function chooseRelays(
  owner: string,
  ownMilliCores: number,
  previous: readonly RelayOffer[],
  offers: readonly RelayOffer[],
): readonly RelayOffer[] {
  const offering = new Set(offers.map(({ member }) => formatMember(member)));
  const kept = previous.filter(({ member }) => offering.has(formatMember(member)));
  const keptNames = new Set(kept.map(({ member }) => formatMember(member)));
  const others = offers
    .filter(({ member }) => !keptNames.has(formatMember(member)))
    .map((offer) => ({ offer, score: scoreOf(owner, offer) }))
    .sort((left, right) => right.score - left.score);
  const chosen = [...kept];
  let capacity = kept.reduce((sum, { idleMilliCores }) => sum + idleMilliCores, 0);
  for (const { offer } of others) {
    const suffices = capacity >= CAPACITY_FACTOR * ownMilliCores && chosen.length >= MINIMUM_RELAYS;
    if (suffices || chosen.length >= MAXIMUM_RELAYS) break;
    chosen.push(offer);
    capacity += offer.idleMilliCores;
  }
  return chosen;
}
