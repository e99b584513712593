/** Selects the worker for one task among eligible workers. */
import type { StepRequest } from '../../model/job.js';
import { reservedResourcesOf } from '../../model/step-needs.js';
import type { StepState, TaskState, WorkerState } from '../../state/service-state.js';
import { interferenceWith } from '../interference/avoidance.js';
import { hasRequiredLabel } from './eligibility.js';
import { fitsOn, freeMilliCoresOn, type EligibleWorkers } from './eligible-workers.js';

/** Number of runs of one step by worker id. */
export type RunCounts = Map<string, number>;

/** Counts the runs of a step on each worker; empty if their number is not limited. */
export function countRunsByWorker({ maximumPerWorker }: StepRequest, { tasks }: StepState): RunCounts {
  const counts: RunCounts = new Map();
  if (maximumPerWorker === null) return counts;
  for (const { runs } of tasks) {
    for (const { workerId } of runs) counts.set(workerId, (counts.get(workerId) ?? 0) + 1);
  }
  return counts;
}

/** Counts one more run on a worker. */
export function incrementCount(counts: RunCounts, { listing }: WorkerState): void {
  counts.set(listing.workerId, (counts.get(listing.workerId) ?? 0) + 1);
}

function isNearData(request: StepRequest, { listing }: WorkerState): boolean {
  return request.rackOfData === null || listing.rack === request.rackOfData;
}

/**
 * Orders workers by preference for a task: workers on which it has not failed first, then workers that are not being
 * drained, then workers near its data, then workers without tasks that it would slow down or that would slow it down,
 * then workers with the fewest free cores.
 */
function compareWorkers(
  request: StepRequest,
  task: TaskState,
  eligible: EligibleWorkers,
): (left: WorkerState, right: WorkerState) => number {
  const isAvoided = ({ listing }: WorkerState): number =>
    Number(task.avoidedWorkers.includes(listing.workerId));
  const isDrained = ({ drainState }: WorkerState): number => Number(drainState.kind === 'leaving');
  const interferenceOn = interferenceWith(request, eligible);
  return (left, right) =>
    isAvoided(left) - isAvoided(right) ||
    isDrained(left) - isDrained(right) ||
    Number(isNearData(request, right)) - Number(isNearData(request, left)) ||
    interferenceOn(left) - interferenceOn(right) ||
    freeMilliCoresOn(eligible, left) - freeMilliCoresOn(eligible, right);
}

/** Returns the preferred worker that may take a task of a step; null if none has enough free capacity or a slot. */
export function chooseWorker(
  request: StepRequest,
  task: TaskState,
  eligible: EligibleWorkers,
  counts: ReadonlyMap<string, number>,
  hasSlot: (worker: WorkerState) => boolean = () => true,
): WorkerState | null {
  const limit = request.maximumPerWorker ?? Infinity;
  const needs = reservedResourcesOf(request);
  const compare = compareWorkers(request, task, eligible);
  let best: WorkerState | null = null;
  for (const worker of eligible.workers) {
    const isAllowed =
      fitsOn(eligible, worker, needs) &&
      hasRequiredLabel(request, worker) &&
      (counts.get(worker.listing.workerId) ?? 0) < limit &&
      hasSlot(worker);
    if (isAllowed && (best === null || compare(worker, best) < 0)) best = worker;
  }
  return best;
}
