/** Sorted queue of the steps with waiting tasks, so that the first ones are found without a scan. */
import sortedTree from 'sorted-btree';
import { minimumResources, type Resources } from '../model/resources.js';
import type { Instant } from '../model/instant.js';

const SortedTree = sortedTree.default;
type Tree<Key, Value> = InstanceType<typeof SortedTree<Key, Value>>;

/** Sort key of a waiting step, which also identifies it. */
export interface WaitingKey {
  readonly isLasting: boolean;
  /** Lower values come first; 0 is the first. */
  readonly priority: number;
  /** Latest start that still meets the deadline if the rest of the occurrence runs without waiting. */
  readonly startBy: Instant;
  readonly jobId: string;
  readonly occurrence: number;
  readonly step: number;
}

/** Waiting tasks of one step. */
export interface WaitingLoad {
  readonly tasks: number;
  /** Workspace of the job; null for none. */
  readonly workspace: string | null;
  /** Need of one task, with the cores also if it uses spare capacity. */
  readonly taskNeeds: Resources;
  /** What has to start at once: one task, or all tasks of a gang. */
  readonly startNeeds: Resources;
  /** Capacity that one of these tasks takes on its worker. */
  readonly needs: Resources;
}

/** Total of all waiting tasks. */
export interface WaitingTotal {
  readonly tasks: number;
  /** Total need of these tasks, in thousandths of a core. */
  readonly milliCores: number;
}

/** All steps with waiting tasks. */
export interface WaitingQueue {
  readonly steps: Tree<WaitingKey, WaitingLoad>;
  /** Total over all steps. */
  readonly total: WaitingTotal;
  /** Lower bound of the needs of every waiting task, for each resource. */
  readonly minimumNeeds: Resources;
}

function compareText(left: string, right: string): number {
  if (left === right) return 0;
  return left < right ? -1 : 1;
}

/** Compares two keys: lasting steps first, then by priority, then by latest start. */
function compareKeys(left: WaitingKey, right: WaitingKey): number {
  return (
    Number(right.isLasting) - Number(left.isLasting) ||
    left.priority - right.priority ||
    left.startBy - right.startBy ||
    compareText(left.jobId, right.jobId) ||
    left.occurrence - right.occurrence ||
    left.step - right.step
  );
}

/** Queue without waiting steps. */
export const EMPTY_WAITING_QUEUE: WaitingQueue = {
  steps: new SortedTree<WaitingKey, WaitingLoad>(undefined, compareKeys),
  total: { tasks: 0, milliCores: 0 },
  minimumNeeds: { milliCores: Infinity, memoryMegabytes: Infinity, accelerators: Infinity },
};

function addToTotal(total: WaitingTotal, load: WaitingLoad | null | undefined, sign: 1 | -1): WaitingTotal {
  if (load === null || load === undefined) return total;
  return {
    tasks: total.tasks + sign * load.tasks,
    milliCores: total.milliCores + sign * load.tasks * load.needs.milliCores,
  };
}

/** Sets the waiting tasks of one step; null removes the step. */
export function setWaitingStep(queue: WaitingQueue, key: WaitingKey, load: WaitingLoad | null): WaitingQueue {
  const known = queue.steps.get(key);
  if (known === undefined && load === null) return queue;
  const total = addToTotal(addToTotal(queue.total, known, -1), load, 1);
  if (load !== null) {
    const minimumNeeds = minimumResources(queue.minimumNeeds, load.needs);
    return { steps: queue.steps.with(key, load, true), total, minimumNeeds };
  }
  const steps = queue.steps.without(key);
  return steps.isEmpty ? EMPTY_WAITING_QUEUE : { ...queue, steps, total };
}

/** Returns a key that sorts before all steps of a kind and priority with this latest start or a later one. */
function firstKeyFrom(isLasting: boolean, priority: number, startBy: Instant): WaitingKey {
  return { isLasting, priority, startBy, jobId: '', occurrence: -1, step: -1 };
}

/** Waiting step with its waiting tasks. */
export type WaitingEntry = readonly [key: WaitingKey, load: WaitingLoad];

function* entriesBetween(
  { steps }: WaitingQueue,
  from: WaitingKey,
  until: WaitingKey,
): Generator<WaitingEntry, void, void> {
  for (const entry of steps.entries(from)) {
    if (compareKeys(entry[0], until) >= 0) return;
    yield entry;
  }
}

function prioritiesOf({ steps }: WaitingQueue): readonly number[] {
  const priorities: number[] = [];
  let next = steps.nextHigherKey(firstKeyFrom(false, -Infinity, -Infinity));
  while (next !== undefined) {
    priorities.push(next.priority);
    next = steps.nextHigherKey(firstKeyFrom(false, next.priority, Infinity));
  }
  return priorities;
}

/** Yields waiting steps in the order of placement: lasting work, then by priority and least slack, late work last. */
export function* waitingInOrder(queue: WaitingQueue, now: Instant): Generator<WaitingEntry, void, void> {
  const endOfLasting = firstKeyFrom(false, -Infinity, -Infinity);
  yield* entriesBetween(queue, firstKeyFrom(true, -Infinity, -Infinity), endOfLasting);
  const priorities = prioritiesOf(queue);
  for (const priority of priorities) {
    yield* entriesBetween(queue, firstKeyFrom(false, priority, now), firstKeyFrom(false, priority, Infinity));
  }
  for (const priority of priorities) {
    yield* entriesBetween(
      queue,
      firstKeyFrom(false, priority, -Infinity),
      firstKeyFrom(false, priority, now),
    );
  }
}

/** Returns a comparison of two waiting steps at a time, in the order of `waitingInOrder`. */
export function compareWaiting(now: Instant): (left: WaitingKey, right: WaitingKey) => number {
  const isLate = ({ isLasting, startBy }: WaitingKey): number => Number(!isLasting && startBy < now);
  return (left, right) => isLate(left) - isLate(right) || compareKeys(left, right);
}

/** Returns whether both keys name the same step at the same position of the queue. */
export function isSameQueuePosition(left: WaitingKey, right: WaitingKey): boolean {
  return compareKeys(left, right) === 0;
}

/** Returns the id of a waiting step, for use as a map key. */
export function waitingIdOf({ jobId, occurrence, step }: WaitingKey): string {
  return `${jobId}/${occurrence}/${step}`;
}
