/**
 * Reserves free capacity for tasks that are stopped to drain their workers. Each task that still has to be placed takes
 * its share first, so that no more tasks are stopped than other workers can take.
 */
import { taskIdOf, type StepRequest, type TaskKey } from '../../model/job.js';
import { stepRequestOf } from '../../model/step-needs.js';
import type { ServiceState, StepState, TaskState, WorkerState } from '../../state/service-state.js';
import { isTaskWaiting, runsOnWorker } from '../../state/tasks.js';
import { chooseWorker, countRunsByWorker, incrementCount, type RunCounts } from './choose-worker.js';
import {
  allEligibleWorkers,
  narrowEligibleWorkers,
  reserveForStep,
  type EligibleWorkers,
} from './eligible-workers.js';
import { findWaitingStep, orderWaitingSteps, taskKeyOf } from '../order/waiting-order.js';

/** Capacity of workers that are not being drained, less what is reserved. */
export interface Relocation {
  readonly eligible: EligibleWorkers;
  /** Runs by worker of each step that has a reservation, by job, occurrence and step. */
  readonly countsByStep: Map<string, RunCounts>;
}

/** Returns whether a task that is stopped on one worker should be started on another one at once. */
export function isRelocatable({ isGang, isLasting, savesCheckpoints }: StepRequest): boolean {
  return !isGang && (isLasting || savesCheckpoints);
}

function countsOf(relocation: Relocation, key: TaskKey, request: StepRequest, step: StepState): RunCounts {
  const stepId = `${key.jobId}/${key.occurrence}/${key.step}`;
  const known = relocation.countsByStep.get(stepId);
  if (known !== undefined) return known;
  const counts = countRunsByWorker(request, step);
  relocation.countsByStep.set(stepId, counts);
  return counts;
}

/** Reserves capacity for a task and returns its worker; null if no worker has enough left. */
export function reserveForTask(
  relocation: Relocation,
  key: TaskKey,
  request: StepRequest,
  step: StepState,
  task: TaskState,
): WorkerState | null {
  const counts = countsOf(relocation, key, request, step);
  const chosen = chooseWorker(request, task, relocation.eligible, counts);
  if (chosen === null) return null;
  incrementCount(counts, chosen);
  reserveForStep(relocation.eligible, chosen, request);
  return chosen;
}

/** Reserves capacity for the lasting tasks that wait. They are placed before all others. */
function reserveForWaitingTasks(state: ServiceState, relocation: Relocation): void {
  for (const [waitingKey] of orderWaitingSteps(state)) {
    if (!waitingKey.isLasting) return;
    const waiting = findWaitingStep(state, waitingKey);
    if (waiting !== null && isRelocatable(waiting.request)) {
      for (const [index, task] of waiting.step.tasks.entries()) {
        if (isTaskWaiting(task) && !task.isQuarantined) {
          reserveForTask(relocation, taskKeyOf(waiting, index), waiting.request, waiting.step, task);
        }
      }
    }
  }
}

/** Reserves capacity for the tasks on a worker whose runs are being stopped. */
function reserveForStoppingTasks(state: ServiceState, relocation: Relocation, worker: WorkerState): void {
  for (const [key, run] of runsOnWorker(state, worker)) {
    const job = run.phase === 'stopping' ? state.jobs.get(key.jobId) : undefined;
    const step = job?.occurrences.get(key.occurrence)?.steps[key.step];
    const task = step?.tasks[key.index];
    if (job?.phase === 'active' && step !== undefined && task !== undefined && !task.isDone) {
      const request = stepRequestOf(job.request, key.step);
      const isReserved = state.reservations.has(taskIdOf(key));
      if (isRelocatable(request) && !isReserved) reserveForTask(relocation, key, request, step, task);
    }
  }
}

/** Returns the capacity that is left for tasks on the given workers, which are being drained. */
export function createRelocation(state: ServiceState, drainedWorkers: readonly WorkerState[]): Relocation {
  const eligible = narrowEligibleWorkers(
    allEligibleWorkers(state),
    ({ drainState }) => drainState.kind === 'none',
  );
  const relocation: Relocation = { eligible, countsByStep: new Map() };
  reserveForWaitingTasks(state, relocation);
  for (const worker of drainedWorkers) reserveForStoppingTasks(state, relocation, worker);
  return relocation;
}
