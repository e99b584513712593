/**
 * Leaves the fleet with the process that serves it, whomever the store deals it to: every change of its owner keeps
 * hosts from orders for a while. A process that is dealt the fleet claims it only once the last claimant does not
 * answer that it serves it. One that owns a service beside the fleet leaves the fleet to one that would own nothing else.
 */
import type { SteadyClock } from '../node/steady-clock.js';
import { formatMember, parseMember, type MemberName } from '../node/member-name.js';
import { decodeRecord } from '../owner/record-codec.js';
import type { PeerAnswer, PeerQuestion } from '../peers/messages.js';
import type { LogPlace, Store } from '../ports/index.js';

/** Time between two questions to the process that serves the fleet. */
const CHECK_INTERVAL_MILLISECONDS = 300;

/** Time for which the fleet must be dealt to this process before it asks for it: at a start the deal changes often. */
const STABLE_ASSIGNMENT_MILLISECONDS = 3_000;

/** Pause between two looks after which the fleet counts as dealt anew. */
const REASSIGNMENT_GAP_MILLISECONDS = 1_000;

/** What the standby needs. */
export interface FleetStandbyParts {
  readonly store: Store;
  readonly clock: SteadyClock;
  /** This process. */
  readonly self: MemberName;
  readonly ownsService: () => boolean;
  readonly ask: (member: MemberName, question: PeerQuestion) => Promise<PeerAnswer | null>;
}

/** Waits for its turn to serve the fleet. */
export interface FleetStandby {
  /** The process that serves the fleet in this one's place; null for none. */
  readonly currentOwner: () => MemberName | null;
  /** Looks whether nobody serves the fleet; without effect while a look is under way or was a moment ago. */
  readonly check: (inbox: LogPlace, onVacant: () => void) => void;
}

type Claimant =
  | { readonly kind: 'none' }
  | { readonly kind: 'other'; readonly member: MemberName }
  | { readonly kind: 'unreadable' };

/** Creates a standby that has not looked yet. */
export function createFleetStandby(parts: FleetStandbyParts): FleetStandby {
  const { store, clock, self, ask } = parts;
  const member = formatMember(self);
  let currentOwner: MemberName | null = null;
  let isChecking = false;
  let checkedAt = -Infinity;
  let assignedSince = -Infinity;

  const readClaimant = async (inbox: LogPlace): Promise<Claimant> => {
    const page = await store.readNewest(inbox);
    if (page.kind !== 'read') return { kind: 'unreadable' };
    const claimants = page.records.flatMap((stored) => {
      const decoded = decodeRecord(stored);
      const record = decoded.kind === 'record' ? decoded.stored.record : null;
      return record?.kind === 'ownership-claimed' ? [record.owner] : [];
    });
    const newestClaim = claimants.at(-1);
    const otherMember = newestClaim === undefined || newestClaim === member ? null : parseMember(newestClaim);
    return otherMember === null ? { kind: 'none' } : { kind: 'other', member: otherMember };
  };

  const canTakeOverFrom = (claimant: MemberName): boolean =>
    !parts.ownsService() &&
    self.milliCores >= claimant.milliCores &&
    clock.steadyNow() - assignedSince >= STABLE_ASSIGNMENT_MILLISECONDS;

  const isServedBy = async (claimant: MemberName): Promise<boolean> => {
    const answer = await ask(claimant, { kind: 'fleet-held', isFree: canTakeOverFrom(claimant) });
    return answer?.kind === 'fleet-held';
  };

  const checkOnce = async (inbox: LogPlace, onVacant: () => void): Promise<void> => {
    const claimant = await readClaimant(inbox);
    if (claimant.kind === 'unreadable') return;
    currentOwner = claimant.kind === 'other' && (await isServedBy(claimant.member)) ? claimant.member : null;
    if (currentOwner === null) onVacant();
  };

  return {
    currentOwner: () => currentOwner,
    check: (inbox, onVacant) => {
      const now = clock.steadyNow();
      if (isChecking || now - checkedAt < CHECK_INTERVAL_MILLISECONDS) return;
      isChecking = true;
      if (now - checkedAt > REASSIGNMENT_GAP_MILLISECONDS) assignedSince = now;
      checkedAt = now;
      void checkOnce(inbox, onVacant).finally(() => {
        isChecking = false;
      });
    },
  };
}
