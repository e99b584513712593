/**
 * Keeps the fleet with the process that serves it, even when the store assigns its partition to another process, because
 * no host gets orders for a while after each change of owner. A process that is assigned the fleet claims it only if the
 * last claimant does not confirm that it still serves it. A fleet owner that also owns a service hands the fleet over to
 * a process that owns no service.
 */
import type { SteadyClock } from '../node/steady-clock.js';
import type { BackgroundWork } from '../unexpected-errors/background-work.js';
import { formatMember, parseMember, type GroupMember } from '../node/group-member.js';
import { decodeRecord } from '../owner/record-codec.js';
import type { PeerResponse, PeerRequest } from '../peers/messages.js';
import type { LogPartition, Store } from '../ports/index.js';

/** Minimum time between two checks of the process that serves the fleet. */
const CHECK_INTERVAL_MILLISECONDS = 300;

/** Time for which the fleet must be assigned to this process before it takes over; assignments change often at start-up. */
const STABLE_ASSIGNMENT_MILLISECONDS = 3_000;

/** Time without a check after which the assignment of the fleet counts as new. */
const REASSIGNMENT_GAP_MILLISECONDS = 1_000;

/** Dependencies of the standby. */
export interface FleetStandbyParts {
  readonly store: Store;
  readonly clock: SteadyClock;
  readonly background: BackgroundWork;
  /** Member name of this process. */
  readonly self: GroupMember;
  readonly ownsService: () => boolean;
  readonly requestFrom: (member: GroupMember, request: PeerRequest) => Promise<PeerResponse | null>;
}

/** Standby that waits until the fleet has no owner. */
export interface FleetStandby {
  /** Returns the other process that served the fleet at the last check; null for none. */
  readonly currentOwner: () => GroupMember | null;
  /**
   * Calls `onVacant` if no other process serves the fleet. Does nothing while a check is in progress or if the last one
   * was less than `CHECK_INTERVAL_MILLISECONDS` ago. Called repeatedly while the fleet is assigned to this process.
   */
  readonly check: (inbox: LogPartition, onVacant: () => void) => void;
}

type Claimant =
  | { readonly kind: 'none' }
  | { readonly kind: 'other'; readonly member: GroupMember }
  | { readonly kind: 'unreadable' };

/** Creates the standby; it makes no check on its own. */
export function createFleetStandby(parts: FleetStandbyParts): FleetStandby {
  const { store, clock, background, self, requestFrom } = parts;
  const member = formatMember(self);
  let currentOwner: GroupMember | null = null;
  let isChecking = false;
  let checkedAt = -Infinity;
  let assignedSince = -Infinity;

  const readClaimant = async (inbox: LogPartition): Promise<Claimant> => {
    const page = await store.readNewest(inbox);
    if (page.kind !== 'read') return { kind: 'unreadable' };
    const claimants = page.records.flatMap((stored) => {
      const decoded = decodeRecord(stored);
      const record = decoded.kind === 'record' ? decoded.record.record : null;
      return record?.kind === 'ownership-claimed' ? [record.owner] : [];
    });
    const newestClaim = claimants.at(-1);
    const otherMember = newestClaim === undefined || newestClaim === member ? null : parseMember(newestClaim);
    return otherMember === null ? { kind: 'none' } : { kind: 'other', member: otherMember };
  };

  const canTakeOverFrom = (claimant: GroupMember): boolean =>
    !parts.ownsService() &&
    self.milliCores >= claimant.milliCores &&
    clock.steadyNow() - assignedSince >= STABLE_ASSIGNMENT_MILLISECONDS;

  const isServedBy = async (claimant: GroupMember): Promise<boolean> => {
    const answer = await requestFrom(claimant, { kind: 'fleet-held', isFree: canTakeOverFrom(claimant) });
    return answer?.kind === 'fleet-held';
  };

  const checkOnce = async (inbox: LogPartition, onVacant: () => void): Promise<void> => {
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
      background.start('check-fleet-owner', () =>
        checkOnce(inbox, onVacant).finally(() => {
          isChecking = false;
        }),
      );
    },
  };
}
