/** The processes that have offered to relay orders. Offers are soft state: they expire unless they are repeated. */
import { parseMember, type GroupMember } from '../node/group-member.js';

/** Age at which an offer expires. */
export const OFFER_LIFETIME_MILLISECONDS = 3_000;

/** An offer of a process. */
export interface RelayOffer {
  readonly member: GroupMember;
  /** Processor that is idle, in thousandths of a core. */
  readonly idleMilliCores: number;
  /** Link of the process in Mbit/s; null if unknown. */
  readonly linkMegabits: number | null;
}

/** The offers of other processes. */
export interface RelayOffers {
  /** Records an offer, which replaces an earlier one of the same address; malformed member names are ignored. */
  readonly record: (member: string, idleMilliCores: number, linkMegabits: number | null, now: number) => void;
  /** The offers that have not expired. */
  readonly current: (now: number) => readonly RelayOffer[];
}

/** Creates an empty list of offers. */
export function createRelayOffers(): RelayOffers {
  const offers = new Map<string, { readonly offer: RelayOffer; readonly at: number }>();
  return {
    record: (name, idleMilliCores, linkMegabits, now) => {
      const member = parseMember(name);
      if (member === null || idleMilliCores <= 0) return;
      offers.set(member.peerAddress, { offer: { member, idleMilliCores, linkMegabits }, at: now });
    },
    current: (now) => {
      [...offers].forEach(([address, { at }]) => {
        if (now - at > OFFER_LIFETIME_MILLISECONDS) offers.delete(address);
      });
      return [...offers.values()].map(({ offer }) => offer);
    },
  };
}
