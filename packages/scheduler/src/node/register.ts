/** Follows the register of workers while anyone needs it. */
import type { WorkerListing } from '@baobabdeck/scheduling';
import type { RegisterChange, WorkerRegister } from '../ports/index.js';
import type { SteadyClock } from './steady-clock.js';

/** Time between two looks. */
const LOOK_MILLISECONDS = 400;

/** The register as last read. */
export interface RegisterFollower {
  /** The workers of one pool; null before the first look. */
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
    onLooked();
  };

  const follow = async (): Promise<void> => {
    while (!closed) {
      if (isNeeded()) await lookOnce();
      await clock.sleep(LOOK_MILLISECONDS);
    }
  };
  void follow();
  return {
    workersOf: (pool) =>
      nextOffset === null ? null : [...workers.values()].filter((listing) => listing.pool === pool),
    revision: () => revision,
    close: () => {
      closed = true;
    },
  };
}
