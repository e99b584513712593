/** Keeps this process in the store group that assigns the services' inboxes to processes. */
import type { WriteEvent } from '@baobabdeck/observability';
import type { LogPartition, Store } from '../ports/index.js';
import { LAYOUT_PARTITION } from './layout.js';
import type { SteadyClock } from './steady-clock.js';
import type { BackgroundWork } from '../unexpected-errors/background-work.js';

/** The group of the processes to which services are assigned. */
export const SCHEDULER_GROUP = 'schedulers';

/** The group of all others. Its assignment is unused: a join is the cheapest call that shows if the store answers. */
const RESERVE_GROUP = 'schedulers.reserve';

/** Time between two joins; short, since a service is not scheduled while its inbox passes to another process. */
const JOIN_INTERVAL_MILLISECONDS = 150;

/** Time between two joins of the reserve group; short enough to notice a lost store as soon as other members do. */
const RESERVE_JOIN_INTERVAL_MILLISECONDS = 200;

/** Dependencies of the membership. */
export interface MembershipParts {
  readonly store: Store;
  readonly clock: SteadyClock;
  readonly background: BackgroundWork;
  readonly member: string;
  readonly writeEvent: WriteEvent;
  /** Whether this process should be in the group. */
  readonly isCandidate: () => boolean;
  readonly topics: () => readonly string[];
  /** Applies an assignment; resolves once other processes may be assigned the revoked partitions. */
  readonly onAssigned: (partitions: readonly LogPartition[], generation: number) => Promise<void>;
  /** Hands over everything that this process owns. */
  readonly onLeavingGroup: () => Promise<void>;
}

/** The membership of this process. */
export interface Membership {
  /** Whether this process is in the group and has no partition. */
  readonly isUnassigned: () => boolean;
  readonly leave: () => Promise<void>;
}

/** Joins the group and stays in it while this process is a candidate. */
export function startMembership(parts: MembershipParts): Membership {
  const { store, clock, background, member, writeEvent } = parts;
  let generation = 0;
  let isMember = false;
  let assignedCount = 0;
  let closed = false;
  let isApplying = false;
  let wake: () => void = () => undefined;

  const applyAssignment = async (
    partitions: readonly LogPartition[],
    assignedGeneration: number,
  ): Promise<void> => {
    isApplying = true;
    try {
      await parts.onAssigned(partitions, assignedGeneration);
    } finally {
      isApplying = false;
    }
    if (generation === assignedGeneration) return;
    // The store assigns revoked partitions to other members once this member has reported the generation.
    generation = assignedGeneration;
    wake();
  };

  const waitForWake = (): Promise<void> =>
    new Promise((resolve) => {
      wake = resolve;
    });

  const joinOnce = async (): Promise<void> => {
    isMember = true;
    const outcome = await store.join(SCHEDULER_GROUP, member, parts.topics(), generation);
    if (closed || isApplying || outcome.kind !== 'joined') return;
    assignedCount = outcome.partitions.length;
    if (outcome.generation !== generation) {
      writeEvent('partitionsAssigned', {
        generation: outcome.generation,
        partitions: outcome.partitions.map(({ topic, partition }) => `${topic}/${partition}`),
      });
    }
    background.start('apply-assignment', () => applyAssignment(outcome.partitions, outcome.generation));
  };

  const leaveGroup = async (): Promise<void> => {
    await parts.onLeavingGroup();
    await store.leave(SCHEDULER_GROUP, member);
    isMember = false;
    generation = 0;
    assignedCount = 0;
  };

  const renewMembership = async (): Promise<number> => {
    if (parts.isCandidate() || isApplying) {
      await joinOnce();
      return JOIN_INTERVAL_MILLISECONDS;
    }
    if (isMember) await leaveGroup();
    else await store.join(RESERVE_GROUP, member, [LAYOUT_PARTITION.topic], 0);
    return RESERVE_JOIN_INTERVAL_MILLISECONDS;
  };

  const maintainMembership = async (): Promise<void> => {
    const pause = await renewMembership();
    await Promise.race([waitForWake(), clock.sleep(pause)]);
  };
  background.repeat('maintain-membership', () => !closed, maintainMembership);
  return {
    isUnassigned: () => isMember && assignedCount === 0,
    leave: async () => {
      closed = true;
      await store.leave(isMember ? SCHEDULER_GROUP : RESERVE_GROUP, member);
    },
  };
}
