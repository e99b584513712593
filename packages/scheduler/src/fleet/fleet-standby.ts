/**
 * Leaves the fleet with the process that serves it, whomever the store deals it to: every change of its owner keeps
 * hosts from orders for a while. A process that is dealt the fleet claims it only once the last claimant does not
 * answer that it serves it.
 */
import type { SteadyClock } from '../node/steady-clock.js';
import { parseMember, type MemberName } from '../node/member-name.js';
import { decodeRecord } from '../owner/record-codec.js';
import type { PeerAnswer, PeerQuestion } from '../peers/messages.js';
import type { LogPlace, Store } from '../ports/index.js';

/** Time between two questions to the process that serves the fleet. */
const LOOK_MILLISECONDS = 300;

/** What the standby needs. */
export interface FleetStandbyParts {
  readonly store: Store;
  readonly clock: SteadyClock;
  /** This process. */
  readonly member: string;
  readonly ask: (member: MemberName, question: PeerQuestion) => Promise<PeerAnswer | null>;
}

/** Waits for its turn to serve the fleet. */
export interface FleetStandby {
  /** The process that serves the fleet in this one's place; null for none. */
  readonly holder: () => MemberName | null;
  /** Looks whether nobody serves the fleet; without effect while a look is under way or was a moment ago. */
  readonly look: (place: LogPlace, onVacant: () => void) => void;
}

type Claimant =
  | { readonly kind: 'none' }
  | { readonly kind: 'other'; readonly member: MemberName }
  | { readonly kind: 'unreadable' };

/** Creates a standby that has not looked yet. */
export function createFleetStandby({ store, clock, member, ask }: FleetStandbyParts): FleetStandby {
  let holder: MemberName | null = null;
  let isLooking = false;
  let lookedAt = -Infinity;

  const readClaimant = async (place: LogPlace): Promise<Claimant> => {
    const page = await store.readNewest(place);
    if (page.kind !== 'read') return { kind: 'unreadable' };
    const claims = page.records.flatMap((stored) => {
      const decoded = decodeRecord(stored);
      const record = decoded.kind === 'record' ? decoded.stored.record : null;
      return record?.kind === 'ownership-claimed' ? [record.owner] : [];
    });
    const newest = claims.at(-1);
    const name = newest === undefined || newest === member ? null : parseMember(newest);
    return name === null ? { kind: 'none' } : { kind: 'other', member: name };
  };

  const lookOnce = async (place: LogPlace, onVacant: () => void): Promise<void> => {
    const claimant = await readClaimant(place);
    if (claimant.kind === 'unreadable') return;
    const answer = claimant.kind === 'other' ? await ask(claimant.member, { kind: 'fleet-held' }) : null;
    const isHeld = claimant.kind === 'other' && answer?.kind === 'fleet-held';
    holder = isHeld ? claimant.member : null;
    if (!isHeld) onVacant();
  };

  return {
    holder: () => holder,
    look: (place, onVacant) => {
      if (isLooking || clock.steadyNow() - lookedAt < LOOK_MILLISECONDS) return;
      isLooking = true;
      lookedAt = clock.steadyNow();
      void lookOnce(place, onVacant).finally(() => {
        isLooking = false;
      });
    },
  };
}
