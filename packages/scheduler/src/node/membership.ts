/** Takes part in the group that shares the services' logs out among the processes. */
import type { WriteEvent } from '@baobabdeck/observability';
import type { LogPlace, Store } from '../ports/index.js';
import type { SteadyClock } from './steady-clock.js';

/** The group of all schedulers. */
export const SCHEDULER_GROUP = 'schedulers';

/** Time between two joins: while a place changes hands nobody schedules its service, so it is short. */
const JOIN_MILLISECONDS = 150;

/** What membership needs. */
export interface MembershipParts {
  readonly store: Store;
  readonly clock: SteadyClock;
  readonly member: string;
  readonly writeEvent: WriteEvent;
  readonly topics: () => readonly string[];
  /** Works with the places dealt; resolves once those that were taken away are given up. */
  readonly onDealt: (places: readonly LogPlace[], generation: number) => Promise<void>;
}

/** Membership of this process. */
export interface Membership {
  readonly leave: () => Promise<void>;
}

/** Joins the group and stays in it. */
export function takeMembership(parts: MembershipParts): Membership {
  const { store, clock, member, writeEvent } = parts;
  let generation = 0;
  let closed = false;
  let settling = false;
  let wake: () => void = () => undefined;

  const settle = async (places: readonly LogPlace[], dealt: number): Promise<void> => {
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
    const outcome = await store.join(SCHEDULER_GROUP, member, parts.topics(), generation);
    if (closed || settling || outcome.kind !== 'joined') return;
    if (outcome.generation !== generation) {
      writeEvent('placesDealt', {
        generation: outcome.generation,
        places: outcome.places.map(({ topic, partition }) => `${topic}/${partition}`),
      });
    }
    void settle(outcome.places, outcome.generation);
  };

  const stay = async (): Promise<void> => {
    while (!closed) {
      await joinOnce();
      await Promise.race([woken(), clock.sleep(JOIN_MILLISECONDS)]);
    }
  };
  void stay();
  return {
    leave: async () => {
      closed = true;
      await store.leave(SCHEDULER_GROUP, member);
    },
  };
}
