/** Knows whether the store answers this process. What needs the store is refused at once while it does not. */
import type { Store } from '../ports/index.js';
import type { SteadyClock } from './steady-clock.js';

/** Time without an answer after which the store counts as lost; a process joins its group every 150 ms. */
const LOST_MILLISECONDS = 700;

const FAILURES: ReadonlySet<string> = new Set(['failed', 'refused', 'unknown']);

/** A watched store. */
export interface WatchedStore {
  /** The store, whose answers are noted. */
  readonly store: Store;
  readonly isLost: () => boolean;
}

/** Watches a store. */
export function watchStore(store: Store, clock: SteadyClock): WatchedStore {
  let answeredAt = clock.steadyNow();

  const note = <T extends { readonly kind: string }>(outcome: T): T => {
    if (!FAILURES.has(outcome.kind)) answeredAt = clock.steadyNow();
    return outcome;
  };

  return {
    store: {
      ...store,
      append: async (request) => note(await store.append(request)),
      read: async (place, fromOffset, wait) => note(await store.read(place, fromOffset, wait)),
      readNewest: async (place) => note(await store.readNewest(place)),
      join: async (group, member, topics, generation) =>
        note(await store.join(group, member, topics, generation)),
      listOwners: async (group) => note(await store.listOwners(group)),
    },
    isLost: () => clock.steadyNow() - answeredAt > LOST_MILLISECONDS,
  };
}
