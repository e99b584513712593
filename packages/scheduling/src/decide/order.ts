/** In which order waiting tasks get room. */
import type { StepRequest, TaskKey } from '../model/job.js';
import type { Instant, JobState, OccurrenceState, ServiceState, StepState } from '../service/state.js';
import { stepRequestOf } from '../service/tasks.js';

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

function isWaiting(step: StepState): boolean {
  return step.readySince !== null && step.waitingCount > 0;
}

function objectiveOf(job: JobState, occurrence: OccurrenceState): Instant {
  return job.request.repetition === null
    ? job.objectiveAt
    : occurrence.dueAt + (job.objectiveAt - job.arrivedAt);
}

function slackOf(job: JobState, occurrence: OccurrenceState, now: Instant): number {
  return objectiveOf(job, occurrence) - now - occurrence.restMilliseconds;
}

/** Every step with waiting tasks, in no order. */
export function* waitingSteps(state: ServiceState): Generator<WaitingStep, void, void> {
  for (const jobId of state.activeJobIds) {
    const job = state.jobs.get(jobId);
    if (job?.phase === 'active') {
      for (const occurrence of job.occurrences.values()) {
        for (const [stepIndex, step] of occurrence.steps.entries()) {
          if (isWaiting(step)) {
            const request = stepRequestOf(job.request, stepIndex);
            const slackMilliseconds = slackOf(job, occurrence, state.now);
            yield { job, occurrence, stepIndex, step, request, slackMilliseconds };
          }
        }
      }
    }
  }
}

function rankOf({ request, slackMilliseconds }: WaitingStep): number {
  const LASTING = 0;
  const IN_TIME = 1;
  const LATE = 2;
  if (request.isLasting) return LASTING;
  return slackMilliseconds >= 0 ? IN_TIME : LATE;
}

function compareSteps(left: WaitingStep, right: WaitingStep): number {
  return (
    rankOf(left) - rankOf(right) ||
    left.job.request.priority - right.job.request.priority ||
    left.slackMilliseconds - right.slackMilliseconds
  );
}

/** Steps with waiting tasks: lasting work, then by priority and least slack, late work at the end. */
export function orderWaitingSteps(state: ServiceState): readonly WaitingStep[] {
  return [...waitingSteps(state)].sort(compareSteps);
}

/** The key of a task of a waiting step. */
export function keyOf({ job, occurrence, stepIndex }: WaitingStep, index: number): TaskKey {
  return { jobId: job.request.jobId, occurrence: occurrence.occurrence, step: stepIndex, index };
}
