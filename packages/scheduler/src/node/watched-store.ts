/** Detects that the store does not answer this process; operations that need the store then fail at once. */
import type { Store } from '../ports/index.js';
import type { SteadyClock } from './steady-clock.js';

/** Time without an answer after which the store counts as lost; a process joins its group every 150 ms. */
const LOST_AFTER_MILLISECONDS = 700;

const FAILURE_KINDS: ReadonlySet<string> = new Set(['failed', 'refused', 'unknown']);

/** A store whose answers are watched. */
export interface WatchedStore {
  /** The store; records the time of each answer. */
  readonly store: Store;
  /** Whether the store has not answered for 700 ms. */
  readonly isLost: () => boolean;
}

/** Wraps a store to record the time of its last answer. */
export function watchStore(store: Store, clock: SteadyClock): WatchedStore {
  let answeredAt = clock.steadyNow();

  const recordOutcome = <T extends { readonly kind: string }>(outcome: T): T => {
    if (!FAILURE_KINDS.has(outcome.kind)) answeredAt = clock.steadyNow();
    return outcome;
  };

  return {
    store: {
      ...store,
      append: async (request) => recordOutcome(await store.append(request)),
      read: async (partition, fromOffset, wait) =>
        recordOutcome(await store.read(partition, fromOffset, wait)),
      readNewest: async (partition) => recordOutcome(await store.readNewest(partition)),
      join: async (group, member, topics, generation) =>
        recordOutcome(await store.join(group, member, topics, generation)),
      listOwners: async (group) => recordOutcome(await store.listOwners(group)),
    },
    isLost: () => clock.steadyNow() - answeredAt > LOST_AFTER_MILLISECONDS,
  };
}
