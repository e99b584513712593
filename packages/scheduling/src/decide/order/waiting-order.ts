/** Determines the order in which waiting steps are placed. */
import type { StepRequest, TaskKey } from '../../model/job.js';
import type { JobState, OccurrenceState, ServiceState, StepState } from '../../state/service-state.js';
import { stepRequestOf } from '../../model/step-needs.js';
import { isTaskWaiting } from '../../state/tasks.js';
import {
  compareWaiting,
  waitingInOrder,
  type WaitingEntry,
  type WaitingKey,
} from '../../state/waiting-queue.js';

/** A ready step with tasks that wait for a worker. */
export interface WaitingStep {
  readonly job: JobState;
  readonly occurrence: OccurrenceState;
  readonly stepIndex: number;
  readonly step: StepState;
  readonly request: StepRequest;
  /** Time left until the step must start for its occurrence to meet its objective; negative if it is late. */
  readonly slackMilliseconds: number;
}

/** Returns the step of a queue key; null if none of its tasks waits any more. */
export function findWaitingStep(state: ServiceState, key: WaitingKey): WaitingStep | null {
  const job = state.jobs.get(key.jobId);
  const occurrence = job?.occurrences.get(key.occurrence);
  const step = occurrence?.steps[key.step];
  if (job === undefined || occurrence === undefined || step === undefined) return null;
  const isWaiting = job.phase === 'active' && step.readySince !== null && step.waitingCount > 0;
  if (!isWaiting) return null;
  const request = stepRequestOf(job.request, key.step);
  return {
    job,
    occurrence,
    stepIndex: key.step,
    step,
    request,
    slackMilliseconds: key.startBy - state.now,
  };
}

/** Returns for how long the longest waiting task of a step has waited. */
export function longestWaitMilliseconds(state: ServiceState, { step }: WaitingStep): number {
  const since = step.tasks.filter(isTaskWaiting).map((task) => task.waitingSince);
  return state.now - Math.max(Math.min(...since), step.readySince ?? state.now);
}

/** Yields the waiting steps: lasting steps first, then by priority and least slack, late steps last. */
export function orderWaitingSteps(state: ServiceState): Generator<WaitingEntry, void, void> {
  return waitingInOrder(state.waiting, state.now);
}

/** Returns the steps that began to wait since tasks were last placed, in the same order. */
export function orderNewlyWaitingSteps(state: ServiceState): readonly WaitingKey[] {
  return [...state.placementChanges.newlyWaitingSteps.values()].sort(compareWaiting(state.now));
}

/** Returns the key of a task of a waiting step. */
export function taskKeyOf({ job, occurrence, stepIndex }: WaitingStep, index: number): TaskKey {
  return { jobId: job.request.jobId, occurrence: occurrence.occurrence, step: stepIndex, index };
}
