/** Determines which workers may get tasks, and the free capacity of each. */
import type { StepRequest } from '../../model/job.js';
import { reservedResourcesOf } from '../../model/step-needs.js';
import { subtractResources, type Resources } from '../../model/resources.js';
import type { ServiceState, WorkerState } from '../../state/service-state.js';

/** A worker that may get tasks, with its free capacity. */
export interface Candidate {
  readonly worker: WorkerState;
  readonly freeCapacity: Resources;
}

/** Time without progress after which the drain of a worker with lasting tasks is stalled. */
const DRAIN_STALL_MILLISECONDS = 1_500;

function isBeingRelocated({ reservations }: ServiceState, taskIds: Iterable<string>): boolean {
  for (const taskId of taskIds) {
    if (reservations.has(taskId)) return true;
  }
  return false;
}

/**
 * Returns whether the drain of a requested host makes no progress, since its lasting tasks can neither be stopped nor
 * run elsewhere now. Its worker takes tasks meanwhile: it stays until capacity for the lasting tasks is found.
 */
export function isDrainStalled(
  state: ServiceState,
  { drainState, lastingCount, tasks }: WorkerState,
): boolean {
  if (drainState.kind !== 'leaving' || lastingCount === 0) return false;
  const isOverdue = state.now - drainState.lastProgressAt >= DRAIN_STALL_MILLISECONDS;
  return isOverdue && (state.reservations.isEmpty() || !isBeingRelocated(state, tasks.keys()));
}

/** Returns whether a worker shuts down or is drained for a move or maintenance of its host: it gets no new tasks. */
export function isLeaving(state: ServiceState, worker: WorkerState): boolean {
  const isDrained = worker.drainState.kind === 'leaving' && !isDrainStalled(state, worker);
  return isDrained || isGoing(state, worker);
}

/** Returns whether a worker shuts down or its host was released: nothing may start on it any more. */
export function isGoing(state: ServiceState, { listing }: WorkerState): boolean {
  return listing.isDraining || state.releasedWorkers.get(listing.workerId) === listing.incarnation;
}

/** Returns whether a task must not start on a worker. A lasting task may start while its host is being drained. */
export function refusesTask(state: ServiceState, worker: WorkerState, { isLasting }: StepRequest): boolean {
  return isLasting ? isGoing(state, worker) : isLeaving(state, worker);
}

function isReachable(worker: WorkerState): boolean {
  return (
    worker.isListed && worker.hasAcknowledgedEpoch && !worker.isTerminated && worker.silentSince === null
  );
}

/** Returns whether a worker is isolated for quarantined tasks and gets no others. */
function isIsolated({ quarantine }: ServiceState, { listing }: WorkerState): boolean {
  return !quarantine.workers.isEmpty() && quarantine.workers.has(listing.workerId);
}

/** Returns whether a worker may get a lasting task that found no other worker for long: also while it is ejected. */
export function isEligibleForOverdueTask(state: ServiceState, worker: WorkerState): boolean {
  return isReachable(worker) && !isGoing(state, worker) && !isIsolated(state, worker);
}

/** Returns whether a worker may get new tasks now, were it not isolated. */
export function mayTakeTasks(state: ServiceState, worker: WorkerState): boolean {
  return isReachable(worker) && worker.cooldownUntil <= state.now && !isLeaving(state, worker);
}

/** Returns whether a worker may get new tasks now. Isolated workers get only the quarantined tasks that isolate them. */
export function isEligible(state: ServiceState, worker: WorkerState): boolean {
  return mayTakeTasks(state, worker) && !isIsolated(state, worker);
}

/** Returns the free capacity of a worker. */
export function freeCapacityOf(worker: WorkerState): Resources {
  return subtractResources(worker.listing.capacity, worker.committed);
}

/** Returns whether a worker has the capacity that a placed task of a step needs; its capacity may have shrunk since. */
export function hasCapacityForPlaced(request: StepRequest, { listing, committed }: WorkerState): boolean {
  const needs = reservedResourcesOf(request);
  const { capacity } = listing;
  return (
    (needs.milliCores <= 0 || committed.milliCores <= capacity.milliCores) &&
    (needs.memoryMegabytes <= 0 || committed.memoryMegabytes <= capacity.memoryMegabytes) &&
    (needs.accelerators <= 0 || committed.accelerators <= capacity.accelerators)
  );
}

/** Returns a worker with its free capacity. */
export function candidateOf(worker: WorkerState): Candidate {
  return { worker, freeCapacity: freeCapacityOf(worker) };
}

/** Returns every worker that may get tasks, with its free capacity. */
export function candidatesOf(state: ServiceState): readonly Candidate[] {
  return [...state.workers.values()].filter((worker) => isEligible(state, worker)).map(candidateOf);
}

/** Returns whether a worker has the label that a step requires, if any. */
export function hasRequiredLabel(request: StepRequest, worker: WorkerState): boolean {
  return request.requiredLabel === null || worker.listing.labels.includes(request.requiredLabel);
}
