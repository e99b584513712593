/** Takes part in the group that shares the services' logs out among the processes. */
import type { WriteEvent } from '@baobabdeck/observability';
import type { LogPartition, Store } from '../ports/index.js';
import { LAYOUT_PARTITION } from './layout.js';
import type { SteadyClock } from './steady-clock.js';

/** The group of the schedulers that services are dealt to. */
export const SCHEDULER_GROUP = 'schedulers';

/** The group of all others. What it deals is of no use: a join is the cheapest call that tells whether the store answers. */
const RESERVE_GROUP = 'schedulers.reserve';

/** Time between two joins: while a place changes hands nobody schedules its service, so it is short. */
const JOIN_MILLISECONDS = 150;

/** Time between two joins of the reserve: short enough for a store that does not answer to be noticed as by others. */
const RESERVE_JOIN_MILLISECONDS = 200;

/** What membership needs. */
export interface MembershipParts {
  readonly store: Store;
  readonly clock: SteadyClock;
  readonly member: string;
  readonly writeEvent: WriteEvent;
  /** Whether this process belongs in the group. */
  readonly isCandidate: () => boolean;
  readonly topics: () => readonly string[];
  /** Works with the places dealt; resolves once those that were taken away are given up. */
  readonly onDealt: (places: readonly LogPartition[], generation: number) => Promise<void>;
  /** Gives up all that this process owns. */
  readonly onSteppingOut: () => Promise<void>;
}

/** Membership of this process. */
export interface Membership {
  /** Whether it is in the group and was dealt nothing. */
  readonly isWithoutPlace: () => boolean;
  readonly leave: () => Promise<void>;
}

/** Joins the group while this process belongs in it, and stays in it. */
export function takeMembership(parts: MembershipParts): Membership {
  const { store, clock, member, writeEvent } = parts;
  let generation = 0;
  let isMember = false;
  let placeCount = 0;
  let closed = false;
  let settling = false;
  let wake: () => void = () => undefined;

  const settle = async (places: readonly LogPartition[], dealt: number): Promise<void> => {
    settling = true;
    await parts.onDealt(places, dealt);
    settling = false;
    if (generation === dealt) return;
    // The store gives places that were taken away to others once it hears this generation.
    generation = dealt;
    wake();
  };

  const woken = (): Promise<void> =>
    new Promise((resolve) => {
      wake = resolve;
    });

  const joinOnce = async (): Promise<void> => {
    isMember = true;
    const outcome = await store.join(SCHEDULER_GROUP, member, parts.topics(), generation);
    if (closed || settling || outcome.kind !== 'joined') return;
    placeCount = outcome.partitions.length;
    if (outcome.generation !== generation) {
      writeEvent('placesDealt', {
        generation: outcome.generation,
        places: outcome.partitions.map(({ topic, partition }) => `${topic}/${partition}`),
      });
    }
    void settle(outcome.partitions, outcome.generation);
  };

  /** Gives up what it was dealt before the store may deal it to others. */
  const stepOut = async (): Promise<void> => {
    await parts.onSteppingOut();
    await store.leave(SCHEDULER_GROUP, member);
    isMember = false;
    generation = 0;
    placeCount = 0;
  };

  const stayOnce = async (): Promise<number> => {
    if (parts.isCandidate() || settling) {
      await joinOnce();
      return JOIN_MILLISECONDS;
    }
    if (isMember) await stepOut();
    else await store.join(RESERVE_GROUP, member, [LAYOUT_PARTITION.topic], 0);
    return RESERVE_JOIN_MILLISECONDS;
  };

  const stay = async (): Promise<void> => {
    while (!closed) {
      const pause = await stayOnce();
      await Promise.race([woken(), clock.sleep(pause)]);
    }
  };
  void stay();
  return {
    isWithoutPlace: () => isMember && placeCount === 0,
    leave: async () => {
      closed = true;
      await store.leave(isMember ? SCHEDULER_GROUP : RESERVE_GROUP, member);
    },
  };
}
