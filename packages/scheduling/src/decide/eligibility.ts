/** Determines which workers may get tasks, and the free capacity of each. */
import type { StepRequest } from '../model/job.js';
import { subtractResources, type Resources } from '../model/resources.js';
import type { ServiceState, WorkerState } from '../service/state.js';

/** A worker that may get tasks, with its free capacity. */
export interface Candidate {
  readonly worker: WorkerState;
  readonly freeCapacity: Resources;
}

/** Time without progress after which the drain of a worker with lasting tasks is stalled. */
const DRAIN_STALL_MILLISECONDS = 1_500;

/**
 * Returns whether the drain of a requested host makes no progress, since its lasting tasks can neither be stopped nor
 * run elsewhere now. Its worker takes tasks meanwhile: it stays until capacity for the lasting tasks is found.
 */
export function isDrainStalled(state: ServiceState, { drainState, lastingCount }: WorkerState): boolean {
  if (drainState.kind !== 'leaving' || lastingCount === 0) return false;
  return state.now - drainState.lastProgressAt >= DRAIN_STALL_MILLISECONDS;
}

/** Returns whether a worker shuts down or is drained for a move or maintenance of its host: it gets no new tasks. */
export function isLeaving(state: ServiceState, worker: WorkerState): boolean {
  const { listing, drainState } = worker;
  const isReleased = state.releasedWorkers.get(listing.workerId) === listing.incarnation;
  const isDrained = drainState.kind === 'leaving' && !isDrainStalled(state, worker);
  return isDrained || listing.isDraining || isReleased;
}

/** Returns whether a worker may get new tasks now. */
export function isEligible(state: ServiceState, worker: WorkerState): boolean {
  return (
    worker.isListed &&
    worker.hasAcknowledgedEpoch &&
    !worker.isTerminated &&
    worker.silentSince === null &&
    worker.cooldownUntil <= state.now &&
    !isLeaving(state, worker)
  );
}

/** Returns the free capacity of a worker. */
export function freeCapacityOf(worker: WorkerState): Resources {
  return subtractResources(worker.listing.capacity, worker.committed);
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
