/** Keeps what is known of all jobs together in step with each job that changes, so that no event looks at all of them. */
import type { StepRequest } from '../model/job.js';
import { reservedResourcesOf, stepRequestOf } from '../model/step-needs.js';
import type { JobState, OccurrenceState, ServiceState } from './state.js';
import {
  isSamePlaceInOrder,
  setWaiting,
  waitingIdOf,
  type WaitingKey,
  type WaitingLoad,
} from './waiting-queue.js';
import { updateService } from './update.js';

interface Entry {
  readonly key: WaitingKey;
  readonly load: WaitingLoad;
}

function objectiveOf(job: JobState, occurrence: OccurrenceState): number {
  return job.request.repetition === null
    ? job.objectiveAt
    : occurrence.dueAt + (job.objectiveAt - job.arrivedAt);
}

function entryOf(
  job: JobState | undefined,
  occurrence: OccurrenceState | undefined,
  index: number,
): Entry | null {
  const step = occurrence?.steps[index];
  if (job?.phase !== 'active' || occurrence === undefined || step === undefined) return null;
  if (step.readySince === null || step.waitingCount === 0) return null;
  const request = stepRequestOf(job.request, index);
  const key: WaitingKey = {
    isLasting: request.isLasting,
    priority: job.request.priority,
    startBy: objectiveOf(job, occurrence) - occurrence.restMilliseconds,
    jobId: job.request.jobId,
    occurrence: occurrence.occurrence,
    step: index,
  };
  return { key, load: { tasks: step.waitingCount, needs: reservedResourcesOf(request) } };
}

function replaceEntry(state: ServiceState, before: Entry | null, after: Entry | null): ServiceState {
  const isMoved = before !== null && (after === null || !isSamePlaceInOrder(before.key, after.key));
  const left = isMoved ? setWaiting(state.waiting, before.key, null) : state.waiting;
  if (after === null) return updateService(state, { waiting: left });
  const waiting = setWaiting(left, after.key, after.load);
  if (after.load.tasks <= (before?.load.tasks ?? 0)) return updateService(state, { waiting });
  const freshSteps = state.placement.freshSteps.set(waitingIdOf(after.key), after.key);
  return updateService(state, { waiting, placement: { ...state.placement, freshSteps } });
}

function isSameEntry(before: Entry | null, after: Entry | null): boolean {
  if (before === null || after === null) return before === after;
  return before.load.tasks === after.load.tasks && isSamePlaceInOrder(before.key, after.key);
}

function trackOccurrence(
  state: ServiceState,
  before: JobState | undefined,
  after: JobState | undefined,
  occurrence: number,
): ServiceState {
  const former = before?.occurrences.get(occurrence);
  const current = after?.occurrences.get(occurrence);
  if (former === current && before?.phase === after?.phase) return state;
  let next = state;
  const steps = Math.max(former?.steps.length ?? 0, current?.steps.length ?? 0);
  for (let index = 0; index < steps; index += 1) {
    const leaving = entryOf(before, former, index);
    const entering = entryOf(after, current, index);
    if (!isSameEntry(leaving, entering)) next = replaceEntry(next, leaving, entering);
  }
  return next;
}

function trackWaiting(
  state: ServiceState,
  before: JobState | undefined,
  after: JobState | undefined,
): ServiceState {
  if (before?.occurrences === after?.occurrences && before?.phase === after?.phase) return state;
  let next = state;
  for (const occurrence of after?.occurrences.keys() ?? []) {
    next = trackOccurrence(next, before, after, occurrence);
  }
  for (const occurrence of before?.occurrences.keys() ?? []) {
    const isKept = after?.occurrences.has(occurrence) === true;
    if (!isKept) next = trackOccurrence(next, before, after, occurrence);
  }
  return next;
}

function needsAllAtOnce({ isLasting, isGang }: StepRequest): boolean {
  return isLasting || isGang;
}

/** Notes the kinds of a job that begins to be active, and forgets them with its end. */
function trackKinds(state: ServiceState, before: JobState | undefined, after: JobState): ServiceState {
  if (before?.phase === after.phase) return state;
  const { jobId, repetition, steps } = after.request;
  const isActive = after.phase === 'active';
  const repeats = isActive && repetition !== null;
  const isWhole = isActive && steps.some(needsAllAtOnce);
  return updateService(state, {
    repeatingJobIds: repeats ? state.repeatingJobIds.add(jobId) : state.repeatingJobIds.remove(jobId),
    wholeJobIds: isWhole ? state.wholeJobIds.add(jobId) : state.wholeJobIds.remove(jobId),
    overJobIds: isActive ? state.overJobIds : state.overJobIds.add(jobId),
  });
}

/** Sets a job. */
export function setJob(state: ServiceState, job: JobState): ServiceState {
  const before = state.jobs.get(job.request.jobId);
  const tracked = trackKinds(trackWaiting(state, before, job), before, job);
  return updateService(tracked, { jobs: tracked.jobs.set(job.request.jobId, job) });
}
