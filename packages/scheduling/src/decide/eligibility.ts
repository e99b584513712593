/** Determines which workers may get tasks, and the free capacity of each. */
import type { StepRequest } from '../model/job.js';
import { fits, subtractResources, type Resources } from '../model/resources.js';
import type { ServiceState, WorkerState } from '../service/state.js';
import { reservedResourcesOf } from '../model/step-needs.js';

/** A worker that may get tasks, with its free capacity. */
export interface Candidate {
  readonly worker: WorkerState;
  readonly freeCapacity: Resources;
}

/** Returns whether a worker shuts down or its host is requested for a move or maintenance: it gets no new tasks. */
export function isLeaving(state: ServiceState, { listing, drainState }: WorkerState): boolean {
  const isReleased = state.releasedWorkers.get(listing.workerId) === listing.incarnation;
  return drainState.kind === 'leaving' || listing.isDraining || isReleased;
}

/** Returns whether a worker may get new tasks now, were it not isolated. */
export function mayTakeTasks(state: ServiceState, worker: WorkerState): boolean {
  return (
    worker.isListed &&
    worker.hasAcknowledgedEpoch &&
    !worker.isTerminated &&
    worker.silentSince === null &&
    worker.cooldownUntil <= state.now &&
    !isLeaving(state, worker)
  );
}

/** Returns whether a worker may get new tasks now. Isolated workers get only the quarantined tasks that isolate them. */
export function isEligible(state: ServiceState, worker: WorkerState): boolean {
  const { workers: isolated } = state.quarantine;
  return mayTakeTasks(state, worker) && (isolated.size === 0 || !isolated.has(worker.listing.workerId));
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

/** Returns whether a task of a step fits into the free capacity of a worker. */
export function fitsOnCandidate(request: StepRequest, candidate: Candidate): boolean {
  return fits(reservedResourcesOf(request), candidate.freeCapacity);
}
