/**
 * Bounds the starts in progress on each worker, from placement until the worker has answered. Without a bound a step of
 * thousands of tasks queues more orders than the owner can send before their timeout, and holds up every other job.
 */
import type { TaskKey } from '../../model/job.js';
import type { WorkerState } from '../../state/service-state.js';
import { STARTS_OF_STEP_PER_WORKER, STARTS_PER_WORKER } from '../../state/start-limits.js';

/** Starts that may begin on each worker while tasks are placed one after the other. */
export interface StartSlots {
  /** Returns whether one more task of a step may be placed on a worker. */
  readonly hasSlot: (worker: WorkerState, step: Omit<TaskKey, 'index'>) => boolean;
  /** Takes a slot of a worker for a task. */
  readonly take: (worker: WorkerState, key: TaskKey) => void;
}

function isOfStep(key: TaskKey, step: Omit<TaskKey, 'index'>): boolean {
  return key.jobId === step.jobId && key.step === step.step && key.occurrence === step.occurrence;
}

/** Returns the slots that the starts in progress leave. */
export function createStartSlots(): StartSlots {
  const taken = new Map<string, TaskKey[]>();
  return {
    hasSlot: ({ listing, startingTasks }, step) => {
      const added = taken.get(listing.workerId) ?? [];
      if (startingTasks.size + added.length >= STARTS_PER_WORKER) return false;
      if (startingTasks.size + added.length < STARTS_OF_STEP_PER_WORKER) return true;
      const ofStep = [...startingTasks.values(), ...added].filter((key) => isOfStep(key, step));
      return ofStep.length < STARTS_OF_STEP_PER_WORKER;
    },
    take: ({ listing }, key) => {
      const added = taken.get(listing.workerId);
      if (added === undefined) taken.set(listing.workerId, [key]);
      else added.push(key);
    },
  };
}
