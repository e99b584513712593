/** Which workers may take tasks at all, and how much room each has left. */
import type { StepRequest } from '../model/job.js';
import { fits, subtractResources, type Resources } from '../model/resources.js';
import type { ServiceState, WorkerState } from '../service/state.js';
import { roomOf } from '../model/step-needs.js';

/** A worker that may take tasks, with its free room. */
export interface Candidate {
  readonly worker: WorkerState;
  readonly room: Resources;
}

/** Whether a worker shuts down, or its host is wanted for something else: it gets no new task. */
export function isLeaving(state: ServiceState, { listing, drainState }: WorkerState): boolean {
  const isReleased = state.releasedWorkers.get(listing.workerId) === listing.incarnation;
  return drainState.kind === 'leaving' || listing.isDraining || isReleased;
}

/** Whether a worker may get new tasks now. */
export function isUsable(state: ServiceState, worker: WorkerState): boolean {
  return (
    worker.isListed &&
    worker.hasAcknowledgedEpoch &&
    !worker.isTerminated &&
    worker.silentSince === null &&
    worker.cooldownUntil <= state.now &&
    !isLeaving(state, worker)
  );
}

/** Room that is free on a worker. */
export function freeRoomOf(worker: WorkerState): Resources {
  return subtractResources(worker.listing.capacity, worker.committed);
}

/** A worker with its free room. */
export function candidateOf(worker: WorkerState): Candidate {
  return { worker, room: freeRoomOf(worker) };
}

/** Every worker that may get tasks. */
export function candidatesOf(state: ServiceState): readonly Candidate[] {
  return [...state.workers.values()].filter((worker) => isUsable(state, worker)).map(candidateOf);
}

/** Whether a worker has what a step asks of every worker, room aside. */
export function isSuitable(request: StepRequest, worker: WorkerState): boolean {
  return request.requiredLabel === null || worker.listing.labels.includes(request.requiredLabel);
}

/** Whether a task of a step fits beside what runs there. */
export function hasRoom(request: StepRequest, candidate: Candidate): boolean {
  return fits(roomOf(request), candidate.room);
}
