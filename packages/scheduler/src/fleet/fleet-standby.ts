/**
 * Leaves the fleet with the process that serves it, whomever the store deals it to: every change of its owner keeps
 * hosts from orders for a while. A process that is dealt the fleet claims it only once the last claimant does not
 * answer that it serves it. One that owns a service beside the fleet leaves the fleet to one that would own nothing else.
 */
import type { SteadyClock } from '../node/steady-clock.js';
import { formatMember, parseMember, type GroupMember } from '../node/group-member.js';
import { decodeRecord } from '../owner/record-codec.js';
import type { PeerResponse, PeerRequest } from '../peers/messages.js';
import type { LogPartition, Store } from '../ports/index.js';

/** Time between two questions to the process that serves the fleet. */
const LOOK_MILLISECONDS = 300;

/** Time for which the fleet must be dealt to this process before it asks for it: at a start the deal changes often. */
const STEADY_MILLISECONDS = 3_000;

/** Pause between two looks after which the fleet counts as dealt anew. */
const DEALT_ANEW_MILLISECONDS = 1_000;

/** What the standby needs. */
export interface FleetStandbyParts {
  readonly store: Store;
  readonly clock: SteadyClock;
  /** This process. */
  readonly self: GroupMember;
  readonly ownsService: () => boolean;
  readonly ask: (member: GroupMember, question: PeerRequest) => Promise<PeerResponse | null>;
}

/** Waits for its turn to serve the fleet. */
export interface FleetStandby {
  /** The process that serves the fleet in this one's place; null for none. */
  readonly holder: () => GroupMember | null;
  /** Looks whether nobody serves the fleet; without effect while a look is under way or was a moment ago. */
  readonly look: (place: LogPartition, onVacant: () => void) => void;
}

type Claimant =
  | { readonly kind: 'none' }
  | { readonly kind: 'other'; readonly member: GroupMember }
  | { readonly kind: 'unreadable' };

/** Creates a standby that has not looked yet. */
export function createFleetStandby(parts: FleetStandbyParts): FleetStandby {
  const { store, clock, self, ask } = parts;
  const member = formatMember(self);
  let holder: GroupMember | null = null;
  let isLooking = false;
  let lookedAt = -Infinity;
  let dealtSince = -Infinity;

  const readClaimant = async (place: LogPartition): Promise<Claimant> => {
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

  const isFreeFor = (claimant: GroupMember): boolean =>
    !parts.ownsService() &&
    self.milliCores >= claimant.milliCores &&
    clock.steadyNow() - dealtSince >= STEADY_MILLISECONDS;

  const isHeldBy = async (claimant: GroupMember): Promise<boolean> => {
    const answer = await ask(claimant, { kind: 'fleet-held', isFree: isFreeFor(claimant) });
    return answer?.kind === 'fleet-held';
  };

  const lookOnce = async (place: LogPartition, onVacant: () => void): Promise<void> => {
    const claimant = await readClaimant(place);
    if (claimant.kind === 'unreadable') return;
    holder = claimant.kind === 'other' && (await isHeldBy(claimant.member)) ? claimant.member : null;
    if (holder === null) onVacant();
  };

  return {
    holder: () => holder,
    look: (place, onVacant) => {
      const now = clock.steadyNow();
      if (isLooking || now - lookedAt < LOOK_MILLISECONDS) return;
      isLooking = true;
      if (now - lookedAt > DEALT_ANEW_MILLISECONDS) dealtSince = now;
      lookedAt = now;
      void lookOnce(place, onVacant).finally(() => {
        isLooking = false;
      });
    },
  };
}
