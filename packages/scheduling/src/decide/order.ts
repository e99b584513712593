/** In which order waiting tasks get room. */
import type { StepRequest, TaskKey } from '../model/job.js';
import type { JobState, OccurrenceState, ServiceState, StepState } from '../service/state.js';
import { stepRequestOf } from '../model/step-needs.js';
import {
  compareWaiting,
  waitingInOrder,
  type WaitingEntry,
  type WaitingKey,
} from '../service/waiting-queue.js';

/** A step with tasks that wait for a worker. */
export interface WaitingStep {
  readonly job: JobState;
  readonly occurrence: OccurrenceState;
  readonly stepIndex: number;
  readonly step: StepState;
  readonly request: StepRequest;
  /** Time to spare if the rest of the occurrence went on without a wait; negative when it is late. */
  readonly slackMilliseconds: number;
}

/** The step behind a key, if tasks of it wait still. */
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

/** Steps with waiting tasks: lasting work, then by priority and least slack, late work at the end. */
export function orderWaitingSteps(state: ServiceState): Generator<WaitingEntry, void, void> {
  return waitingInOrder(state.waiting, state.now);
}

/** Steps that began to wait since tasks were last placed, in the same order. */
export function orderFreshSteps(state: ServiceState): readonly WaitingKey[] {
  return [...state.placementChanges.newlyWaitingSteps.values()].sort(compareWaiting(state.now));
}

/** The key of a task of a waiting step. */
export function keyOf({ job, occurrence, stepIndex }: WaitingStep, index: number): TaskKey {
  return { jobId: job.request.jobId, occurrence: occurrence.occurrence, step: stepIndex, index };
}
