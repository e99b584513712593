/** Keeps the indexes over all workers up to date with each worker that changes. */
import type { ServiceState, WorkerState } from './service-state.js';
import { isRefillDue } from './start-limits.js';
import { updateService } from './update.js';

function mayTakeTasks({
  isListed,
  hasAcknowledgedEpoch: isHeld,
  isTerminated: isGone,
  silentSince,
  drainState,
  listing,
}: WorkerState): boolean {
  const isLeaving = drainState.kind === 'leaving' || listing.isDraining;
  return isListed && isHeld && !isGone && silentSince === null && !isLeaving;
}

/** Returns whether a worker may now have capacity for tasks that it could not take before. */
function mayHaveMoreCapacity(before: WorkerState | undefined, after: WorkerState): boolean {
  if (!mayTakeTasks(after)) return false;
  if (before === undefined || !mayTakeTasks(before)) return true;
  return (
    before.tasks.size > after.tasks.size ||
    before.listing.capacity !== after.listing.capacity ||
    before.cooldownUntil > after.cooldownUntil ||
    isRefillDue(before.startingTasks.size, after.startingTasks.size)
  );
}

function hasUnstoredEnds({ processedEnd, storedEnd }: WorkerState): boolean {
  return processedEnd > storedEnd;
}

function trackEnds(state: ServiceState, before: WorkerState | undefined, after: WorkerState): ServiceState {
  const isUnstored = hasUnstoredEnds(after);
  if (before !== undefined && hasUnstoredEnds(before) === isUnstored) return state;
  const { workerId } = after.listing;
  const { unstoredEndWorkerIds } = state;
  return updateService(state, {
    unstoredEndWorkerIds: isUnstored
      ? unstoredEndWorkerIds.add(workerId)
      : unstoredEndWorkerIds.remove(workerId),
  });
}

/** Marks a worker to be considered when tasks are placed next. */
export function considerWorker(state: ServiceState, workerId: string): ServiceState {
  const { placementChanges } = state;
  return updateService(state, {
    placementChanges: { ...placementChanges, freedWorkerIds: placementChanges.freedWorkerIds.add(workerId) },
  });
}

/** Sets a worker in the state and updates the indexes. */
export function setWorker(state: ServiceState, worker: WorkerState): ServiceState {
  const { workerId } = worker.listing;
  const before = state.workers.get(workerId);
  const tracked = trackEnds(state, before, worker);
  const set = updateService(tracked, { workers: tracked.workers.set(workerId, worker) });
  return mayHaveMoreCapacity(before, worker) ? considerWorker(set, workerId) : set;
}

/** Removes a worker from the state and the indexes. */
export function removeWorker(state: ServiceState, workerId: string): ServiceState {
  return updateService(state, {
    workers: state.workers.remove(workerId),
    unstoredEndWorkerIds: state.unstoredEndWorkerIds.remove(workerId),
  });
}
