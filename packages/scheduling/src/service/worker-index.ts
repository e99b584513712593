/** Keeps what is known of all workers together in step with each worker that changes. */
import type { ServiceState, WorkerState } from './state.js';
import { updateService } from './update.js';

function isOpen({ isListed, isHeld, isGone, silentSince, hold, listing }: WorkerState): boolean {
  const isLeaving = hold.kind === 'leaving' || listing.isDraining;
  return isListed && isHeld && !isGone && silentSince === null && !isLeaving;
}

/** Whether a worker may have room now for what it could not take before. */
function mayTakeMore(before: WorkerState | undefined, after: WorkerState): boolean {
  if (!isOpen(after)) return false;
  if (before === undefined || !isOpen(before)) return true;
  return (
    before.tasks.size > after.tasks.size ||
    before.listing.capacity !== after.listing.capacity ||
    before.restUntil > after.restUntil
  );
}

function hasUnstoredEnds({ processedEnd, storedEnd }: WorkerState): boolean {
  return processedEnd > storedEnd;
}

function trackEnds(state: ServiceState, before: WorkerState | undefined, after: WorkerState): ServiceState {
  const isUnstored = hasUnstoredEnds(after);
  if (before !== undefined && hasUnstoredEnds(before) === isUnstored) return state;
  const { workerId } = after.listing;
  const { unstoredWorkerIds } = state;
  return updateService(state, {
    unstoredWorkerIds: isUnstored ? unstoredWorkerIds.add(workerId) : unstoredWorkerIds.remove(workerId),
  });
}

/** Sees to it that a worker is considered when tasks are placed next. */
export function offerWorker(state: ServiceState, workerId: string): ServiceState {
  const { placement } = state;
  return updateService(state, {
    placement: { ...placement, freedWorkerIds: placement.freedWorkerIds.add(workerId) },
  });
}

/** Sets a worker. */
export function setWorker(state: ServiceState, worker: WorkerState): ServiceState {
  const { workerId } = worker.listing;
  const before = state.workers.get(workerId);
  const tracked = trackEnds(state, before, worker);
  const set = updateService(tracked, { workers: tracked.workers.set(workerId, worker) });
  return mayTakeMore(before, worker) ? offerWorker(set, workerId) : set;
}

/** Takes a worker away. */
export function removeWorker(state: ServiceState, workerId: string): ServiceState {
  return updateService(state, {
    workers: state.workers.remove(workerId),
    unstoredWorkerIds: state.unstoredWorkerIds.remove(workerId),
  });
}
