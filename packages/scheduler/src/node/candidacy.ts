/**
 * Decides whether this process should be a member of the group to which services are assigned. It stays out if the group
 * has enough members with more processor capacity, since services run better there. Candidacy, like the assignment, only
 * expresses a preference; claims ensure that a service has one owner.
 */
import type { WriteEvent } from '@baobabdeck/observability';
import type { PeerResponse, PeerRequest } from '../peers/messages.js';
import { formatMember, type GroupMember } from './group-member.js';
import type { SteadyClock } from './steady-clock.js';
import type { BackgroundWork } from '../unexpected-errors/background-work.js';

/** Time between two checks. */
const CHECK_INTERVAL_MILLISECONDS = 300;

/** Age at which the member list is read again, while stronger members answer. */
const LIST_MAXIMUM_AGE_MILLISECONDS = 2_000;

/** Age at which the member list is read again if stronger members do not answer; limits how often it is read. */
const DOUBTED_LIST_MAXIMUM_AGE_MILLISECONDS = 300;

/** Number of stronger members needed to stay out: if all but one fail, the one left takes over at once. */
const MINIMUM_STRONGER_MEMBERS = 3;

/** Delay before joining too few stronger members: others may be starting, and one can hold all inboxes until then. */
const JOIN_DELAY_MILLISECONDS = 1_500;

/** Time for which stronger members must suffice before a member leaves, so that a flapping one moves no inbox. */
const LEAVE_DELAY_MILLISECONDS = 2_500;

/** Time after a store outage during which stronger processes that are alive may join again first. */
const REJOIN_GRACE_MILLISECONDS = 1_500;

/** Time for which a stronger process counts as known after it was last listed. */
const RECENT_MEMBER_MILLISECONDS = 15_000;

/** Time for which a member without partitions, which the list omits, counts after its last notice. */
const UNLISTED_MEMBER_MILLISECONDS = 2_000;

/** Whether the stronger members suffice without this process: three or more, with its capacity for each inbox. */
export function areStrongerMembersSufficient(
  milliCores: number,
  stronger: readonly GroupMember[],
  inboxCount: number,
): boolean {
  const total = stronger.reduce((sum, member) => sum + member.milliCores, 0);
  return stronger.length >= MINIMUM_STRONGER_MEMBERS && total >= milliCores * inboxCount;
}

/** Whether stronger members that reach the store suffice to stay out, are too few, or absent; `unknown` without the store. */
type StrongerMemberStatus = 'enough' | 'few' | 'none' | 'unknown';

/** Whether a process reaches the store, as far as it responds. */
type MemberStoreStatus = 'reachable' | 'unreachable' | 'no-response';

/** Dependencies of the candidacy. */
export interface CandidacyParts {
  readonly clock: SteadyClock;
  readonly background: BackgroundWork;
  readonly writeEvent: WriteEvent;
  readonly self: GroupMember;
  /** The number of inboxes of all services and the fleet. */
  readonly inboxCount: () => number;
  /** Reads the member list if it is older than an age; false if the store does not answer. */
  readonly refreshMembers: (ageMilliseconds: number) => Promise<boolean>;
  /** The members that hold partitions, as last read. */
  readonly members: () => readonly GroupMember[];
  readonly request: (member: GroupMember, request: PeerRequest) => Promise<PeerResponse | null>;
  /** Whether the store has stopped answering this process. */
  readonly isStoreLost: () => boolean;
  /** Whether this process is a member without partitions, which the member list omits. */
  readonly isUnlisted: () => boolean;
}

/** Whether this process should be a member of the group. */
export interface Candidacy {
  readonly isCandidate: () => boolean;
  /** Records the notice of another process that it is a member. */
  readonly recordMember: (member: GroupMember) => void;
  readonly close: () => void;
}

/** Starts to check the other members; a process is no candidate before its first check. */
export function watchCandidacy(parts: CandidacyParts): Candidacy {
  const { clock, background, self } = parts;
  const unlistedMembers = new Map<string, { readonly member: GroupMember; readonly at: number }>();
  const recentMembers = new Map<string, { readonly member: GroupMember; readonly at: number }>();
  let storeLostAt = -Infinity;
  let isCandidate = false;
  let enoughSince: number | null = null;
  let fewSince: number | null = null;
  let sampleCount = 0;
  let closed = false;

  const selectStronger = (): readonly GroupMember[] => {
    const since = clock.steadyNow() - UNLISTED_MEMBER_MILLISECONDS;
    [...unlistedMembers].filter(([, { at }]) => at < since).forEach(([name]) => unlistedMembers.delete(name));
    const known = [...parts.members(), ...[...unlistedMembers.values()].map(({ member }) => member)];
    const distinct = new Map(known.map((member) => [formatMember(member), member]));
    return [...distinct.values()].filter(({ milliCores }) => milliCores > self.milliCores);
  };

  const areEnough = (stronger: readonly GroupMember[]): boolean =>
    areStrongerMembersSufficient(self.milliCores, stronger, parts.inboxCount());

  /** Records stronger members; returns all recent ones, since an outage of the store may have emptied the list. */
  const recordRecentMembers = (stronger: readonly GroupMember[]): readonly GroupMember[] => {
    const now = clock.steadyNow();
    stronger.forEach((member) => recentMembers.set(formatMember(member), { member, at: now }));
    [...recentMembers].forEach(([name, { at }]) => {
      if (at < now - RECENT_MEMBER_MILLISECONDS) recentMembers.delete(name);
    });
    return [...recentMembers.values()].map(({ member }) => member);
  };

  const pickNext = (members: readonly GroupMember[]): GroupMember | undefined => {
    sampleCount += 1;
    return members[sampleCount % members.length];
  };

  const requestStoreStatus = async (member: GroupMember): Promise<MemberStoreStatus> => {
    const response = await parts.request(member, { kind: 'store-contact' });
    if (response?.kind !== 'store-contact') return 'no-response';
    return response.isLost ? 'unreachable' : 'reachable';
  };

  const checkAllStronger = async (): Promise<StrongerMemberStatus> => {
    await parts.refreshMembers(DOUBTED_LIST_MAXIMUM_AGE_MILLISECONDS);
    const stronger = selectStronger();
    const recent = recordRecentMembers(stronger);
    // After an outage all processes rejoin at about the same time, and the store may have answered this one first.
    const isRejoining = clock.steadyNow() - storeLostAt < REJOIN_GRACE_MILLISECONDS;
    const statuses = await Promise.all((isRejoining ? recent : stronger).map(requestStoreStatus));
    if (parts.isStoreLost()) return 'unknown';
    if (areEnough(stronger) && statuses.includes('reachable')) return 'enough';
    if (isRejoining) return statuses.some((status) => status !== 'no-response') ? 'unknown' : 'none';
    return statuses.includes('reachable') ? 'few' : 'none';
  };

  const checkStronger = async (): Promise<StrongerMemberStatus> => {
    if (parts.isStoreLost()) {
      storeLostAt = clock.steadyNow();
      return 'unknown';
    }
    await parts.refreshMembers(LIST_MAXIMUM_AGE_MILLISECONDS);
    const known = selectStronger();
    const sample = pickNext(known);
    if (sample !== undefined && areEnough(known) && (await requestStoreStatus(sample)) === 'reachable') {
      recordRecentMembers(known);
      return 'enough';
    }
    return checkAllStronger();
  };

  const setCandidate = (candidate: boolean): void => {
    if (candidate === isCandidate) return;
    isCandidate = candidate;
    const stronger = selectStronger().length;
    parts.writeEvent(candidate ? 'groupEntered' : 'groupLeft', { milliCores: self.milliCores, stronger });
  };

  const updateCandidacy = (status: StrongerMemberStatus): void => {
    const now = clock.steadyNow();
    enoughSince = status === 'enough' ? (enoughSince ?? now) : null;
    fewSince = status === 'few' ? (fewSince ?? now) : null;
    if (status === 'none') setCandidate(true);
    if (fewSince !== null && now - fewSince >= JOIN_DELAY_MILLISECONDS) setCandidate(true);
    if (enoughSince !== null && now - enoughSince >= LEAVE_DELAY_MILLISECONDS) setCandidate(false);
  };

  /** Notifies weaker members, which may be staying only because the list omits this process. */
  const notifyWeakerMembers = (): void => {
    if (!parts.isUnlisted()) return;
    const weaker = parts.members().filter(({ milliCores }) => milliCores < self.milliCores);
    weaker.forEach((member) =>
      background.start('notify-weaker-member', async () => {
        await parts.request(member, { kind: 'member-present', member: formatMember(self) });
      }),
    );
  };

  const checkPeriodically = async (): Promise<void> => {
    updateCandidacy(await checkStronger());
    notifyWeakerMembers();
    await clock.sleep(CHECK_INTERVAL_MILLISECONDS);
  };
  background.repeat('check-candidacy', () => !closed, checkPeriodically);

  return {
    isCandidate: () => isCandidate,
    recordMember: (member) => {
      unlistedMembers.set(formatMember(member), { member, at: clock.steadyNow() });
    },
    close: () => {
      closed = true;
    },
  };
}
