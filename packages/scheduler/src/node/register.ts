/** Follows the register of workers while anyone needs it. */
import { setTimeout as sleep } from 'node:timers/promises';
import type { WorkerListing } from '@baobabdeck/scheduling';
import type { RegisterChange, WorkerRegister } from '../ports/index.js';

/** Time between two looks. */
const LOOK_MILLISECONDS = 400;

/** The register as last read. */
export interface RegisterFollower {
  /** The workers of one pool; null before the first look. */
  readonly workersOf: (pool: string) => readonly WorkerListing[] | null;
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

/** Begins to follow. `onChanged` tells the pools whose workers changed. */
export function followRegister(
  register: WorkerRegister,
  isNeeded: () => boolean,
  onChanged: (pools: ReadonlySet<string>) => void,
): RegisterFollower {
  const workers = new Map<string, WorkerListing>();
  let nextOffset: number | null = null;
  let closed = false;

  const apply = (change: RegisterChange): string | null => {
    if (change.kind === 'removed') {
      const former = workers.get(change.workerId);
      workers.delete(change.workerId);
      return former?.pool ?? null;
    }
    const { listing } = change;
    const former = workers.get(listing.workerId);
    workers.set(listing.workerId, listing);
    return isSameListing(former, listing) ? null : listing.pool;
  };

  const applyAll = (changes: readonly RegisterChange[]): void => {
    const changed = new Set(changes.map(apply).filter((pool) => pool !== null));
    if (changed.size > 0) onChanged(changed);
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
      applyAll(removed.map((workerId) => ({ kind: 'removed', workerId })));
    }
    applyAll(outcome.changes);
    nextOffset = outcome.nextOffset;
  };

  const follow = async (): Promise<void> => {
    while (!closed) {
      if (isNeeded()) await lookOnce();
      await sleep(LOOK_MILLISECONDS);
    }
  };
  void follow();
  return {
    workersOf: (pool) =>
      nextOffset === null ? null : [...workers.values()].filter((listing) => listing.pool === pool),
    close: () => {
      closed = true;
    },
  };
}
