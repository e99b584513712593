/** Follows the register of workers while this process owns a service. */
import type { Resources, WorkerListing } from '@baobabdeck/scheduling';
import type { RegisterChange, WorkerRegister } from '../ports/index.js';
import type { SteadyClock } from './steady-clock.js';
import type { BackgroundWork } from '../unexpected-errors/background-work.js';

/** Time between two reads. */
const READ_INTERVAL_MILLISECONDS = 400;

/** Time between two checks whether the register is needed. */
const IDLE_CHECK_INTERVAL_MILLISECONDS = 100;

/** Age above which the last read is not used: a worker may have a new incarnation since. */
const MAXIMUM_AGE_MILLISECONDS = 1_000;

/** The register as last read. */
export interface RegisterFollower {
  /** The workers of one pool; null if the last successful read is too old. */
  readonly workersOf: (pool: string) => readonly WorkerListing[] | null;
  /** Increases with each change. */
  readonly revision: () => number;
  readonly close: () => void;
}

function isSameCapacity(left: Resources, right: Resources): boolean {
  return (
    left.milliCores === right.milliCores &&
    left.memoryMegabytes === right.memoryMegabytes &&
    left.accelerators === right.accelerators
  );
}

function isSameListing(left: WorkerListing | undefined, right: WorkerListing): boolean {
  return (
    left !== undefined &&
    left.incarnation === right.incarnation &&
    left.pool === right.pool &&
    left.address === right.address &&
    left.isDraining === right.isDraining &&
    left.rack === right.rack &&
    left.labels.length === right.labels.length &&
    left.labels.every((label, index) => label === right.labels[index]) &&
    isSameCapacity(left.capacity, right.capacity)
  );
}

/** Dependencies of a follower. */
export interface RegisterFollowerParts {
  readonly register: WorkerRegister;
  readonly clock: SteadyClock;
  readonly background: BackgroundWork;
  /** Whether this process needs the register; it is not read otherwise. */
  readonly isNeeded: () => boolean;
  /** Called after each successful read. */
  readonly onRead: () => void;
}

/** Starts to follow the register. */
export function followRegister({
  register,
  clock,
  background,
  isNeeded,
  onRead,
}: RegisterFollowerParts): RegisterFollower {
  const workers = new Map<string, WorkerListing>();
  let nextOffset: number | null = null;
  let readAt = -Infinity;
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

  const readOnce = async (): Promise<void> => {
    const askedAt = clock.steadyNow();
    const outcome = nextOffset === null ? await register.readNewest() : await register.read(nextOffset);
    if (outcome.kind === 'expired') nextOffset = null;
    if (outcome.kind !== 'read') return;
    if (nextOffset === null) {
      // A worker without a newest entry was removed.
      const listed = new Set(
        outcome.changes.flatMap((change) => (change.kind === 'listed' ? change.listing.workerId : [])),
      );
      const removed = [...workers.keys()].filter((workerId) => !listed.has(workerId));
      removed.forEach((workerId) => apply({ kind: 'removed', workerId }));
      revision += 1;
    }
    outcome.changes.forEach(apply);
    nextOffset = outcome.nextOffset;
    if (outcome.hasMore) {
      await readOnce();
      return;
    }
    readAt = askedAt;
    onRead();
  };

  const follow = async (): Promise<void> => {
    const isActive = isNeeded();
    if (isActive) await readOnce();
    await clock.sleep(isActive ? READ_INTERVAL_MILLISECONDS : IDLE_CHECK_INTERVAL_MILLISECONDS);
  };
  background.repeat('follow-register', () => !closed, follow);
  return {
    workersOf: (pool) =>
      clock.steadyNow() - readAt > MAXIMUM_AGE_MILLISECONDS
        ? null
        : [...workers.values()].filter((listing) => listing.pool === pool),
    revision: () => revision,
    close: () => {
      closed = true;
    },
  };
}
