/** Steps with tasks that wait, kept in order, so that finding the first takes no look at all the others. */
import sortedTree from 'sorted-btree';
import { minimumResources, type Resources } from '../model/resources.js';
import type { Instant } from './state.js';

const SortedTree = sortedTree.default;
type Tree<Key, Value> = InstanceType<typeof SortedTree<Key, Value>>;

/** What a waiting step is ordered by, and which step it is. */
export interface WaitingKey {
  readonly isLasting: boolean;
  /** 0 comes first. */
  readonly priority: number;
  /** When it must begin at the latest, if the rest of its occurrence went on without a wait. */
  readonly startBy: Instant;
  readonly jobId: string;
  readonly occurrence: number;
  readonly step: number;
}

/** What waits in one step. */
export interface WaitingLoad {
  readonly tasks: number;
  /** What one of them takes of its worker's room. */
  readonly needs: Resources;
}

/** What waits altogether. */
export interface WaitingTotal {
  readonly tasks: number;
  /** Thousandths of a core that these tasks need together. */
  readonly milliCores: number;
}

/** Every step with waiting tasks. */
export interface WaitingQueue {
  readonly steps: Tree<WaitingKey, WaitingLoad>;
  /** What waits in all of them. */
  readonly total: WaitingTotal;
  /** No task that waits needs less of anything. */
  readonly leastNeeds: Resources;
}

function compareText(left: string, right: string): number {
  if (left === right) return 0;
  return left < right ? -1 : 1;
}

/** Lasting steps first, then by priority, then by the time by which they must begin. */
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

/** A queue in which nothing waits. */
export const EMPTY_WAITING_QUEUE: WaitingQueue = {
  steps: new SortedTree<WaitingKey, WaitingLoad>(undefined, compareKeys),
  total: { tasks: 0, milliCores: 0 },
  leastNeeds: { milliCores: Infinity, memoryMegabytes: Infinity, accelerators: Infinity },
};

function addToTotal(total: WaitingTotal, load: WaitingLoad | null | undefined, sign: 1 | -1): WaitingTotal {
  if (load === null || load === undefined) return total;
  return {
    tasks: total.tasks + sign * load.tasks,
    milliCores: total.milliCores + sign * load.tasks * load.needs.milliCores,
  };
}

/** The queue with what waits in one step; null for nothing any more. */
export function setWaiting(queue: WaitingQueue, key: WaitingKey, load: WaitingLoad | null): WaitingQueue {
  const known = queue.steps.get(key);
  if (known === undefined && load === null) return queue;
  const total = addToTotal(addToTotal(queue.total, known, -1), load, 1);
  if (load !== null) {
    const leastNeeds = minimumResources(queue.leastNeeds, load.needs);
    return { steps: queue.steps.with(key, load, true), total, leastNeeds };
  }
  const steps = queue.steps.without(key);
  return steps.isEmpty ? EMPTY_WAITING_QUEUE : { ...queue, steps, total };
}

/** The least key of a kind of work and a priority from a time on. */
function firstKeyOf(isLasting: boolean, priority: number, startBy: Instant): WaitingKey {
  return { isLasting, priority, startBy, jobId: '', occurrence: -1, step: -1 };
}

/** A waiting step with what waits in it. */
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
  let next = steps.nextHigherKey(firstKeyOf(false, -Infinity, -Infinity));
  while (next !== undefined) {
    priorities.push(next.priority);
    next = steps.nextHigherKey(firstKeyOf(false, next.priority, Infinity));
  }
  return priorities;
}

/** In which order waiting steps get room: lasting work, then by priority and least slack, late work at the end. */
export function* waitingInOrder(queue: WaitingQueue, now: Instant): Generator<WaitingEntry, void, void> {
  const endOfLasting = firstKeyOf(false, -Infinity, -Infinity);
  yield* entriesBetween(queue, firstKeyOf(true, -Infinity, -Infinity), endOfLasting);
  const priorities = prioritiesOf(queue);
  for (const priority of priorities) {
    yield* entriesBetween(queue, firstKeyOf(false, priority, now), firstKeyOf(false, priority, Infinity));
  }
  for (const priority of priorities) {
    yield* entriesBetween(queue, firstKeyOf(false, priority, -Infinity), firstKeyOf(false, priority, now));
  }
}

/** The order of two waiting steps at a time, as `waitingInOrder` has it. */
export function compareWaiting(now: Instant): (left: WaitingKey, right: WaitingKey) => number {
  const isLate = ({ isLasting, startBy }: WaitingKey): number => Number(!isLasting && startBy < now);
  return (left, right) => isLate(left) - isLate(right) || compareKeys(left, right);
}

/** Whether both name the same step at the same place of the order. */
export function isSamePlaceInOrder(left: WaitingKey, right: WaitingKey): boolean {
  return compareKeys(left, right) === 0;
}

/** A waiting step as text, for maps. */
export function waitingIdOf({ jobId, occurrence, step }: WaitingKey): string {
  return `${jobId}/${occurrence}/${step}`;
}
