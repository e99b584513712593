/** Follows the register of workers while anyone needs it. */
import type { WorkerListing } from '@baobabdeck/scheduling';
import type { RegisterChange, WorkerRegister } from '../ports/index.js';
import type { SteadyClock } from './steady-clock.js';

/** Time between two looks. */
const LOOK_MILLISECONDS = 400;

/** Time between two questions whether anyone needs the register. */
const IDLE_MILLISECONDS = 100;

/** Age from which on what was read is told to nobody: a worker may live its next life meanwhile. */
const OLD_MILLISECONDS = 1_000;

/** The register as last read. */
export interface RegisterFollower {
  /** The workers of one pool; null where no look was answered lately. */
  readonly workersOf: (pool: string) => readonly WorkerListing[] | null;
  /** Rises with each change. */
  readonly revision: () => number;
  readonly close: () => void;
}

function isSameListing(left: WorkerListing | undefined, right: WorkerListing): boolean {
  return (
    left !== undefined &&
    left.incarnation === right.incarnation &&
    left.pool === right.pool &&
    left.address === right.address &&
    left.isDraining === right.isDraining
  );
}

/** Begins to follow. `onLooked` is called after each look. */
export function followRegister(
  register: WorkerRegister,
  clock: SteadyClock,
  isNeeded: () => boolean,
  onLooked: () => void,
): RegisterFollower {
  const workers = new Map<string, WorkerListing>();
  let nextOffset: number | null = null;
  let lookedAt = -Infinity;
  let revision = 0;
  let closed = false;

  const apply = (change: RegisterChange): void => {
    if (change.kind === 'removed') {
      if (workers.delete(change.workerId)) revision += 1;
      return;
    }
    const { listing } = change;
    if (!isSameListing(workers.get(listing.workerId), listing)) revision += 1;
    workers.set(listing.workerId, listing);
  };

  const lookOnce = async (): Promise<void> => {
    const askedAt = clock.steadyNow();
    const outcome = nextOffset === null ? await register.readNewest() : await register.read(nextOffset);
    if (outcome.kind === 'expired') nextOffset = null;
    if (outcome.kind !== 'read') return;
    if (nextOffset === null) {
      // What the newest entries do not hold is gone.
      const listed = new Set(
        outcome.changes.flatMap((one) => (one.kind === 'listed' ? one.listing.workerId : [])),
      );
      const removed = [...workers.keys()].filter((workerId) => !listed.has(workerId));
      removed.forEach((workerId) => apply({ kind: 'removed', workerId }));
      revision += 1;
    }
    outcome.changes.forEach(apply);
    nextOffset = outcome.nextOffset;
    lookedAt = askedAt;
    onLooked();
  };

  const follow = async (): Promise<void> => {
    while (!closed) {
      const isWanted = isNeeded();
      if (isWanted) await lookOnce();
      await clock.sleep(isWanted ? LOOK_MILLISECONDS : IDLE_MILLISECONDS);
    }
  };
  void follow();
  return {
    workersOf: (pool) =>
      clock.steadyNow() - lookedAt > OLD_MILLISECONDS
        ? null
        : [...workers.values()].filter((listing) => listing.pool === pool),
    revision: () => revision,
    close: () => {
      closed = true;
    },
  };
}
