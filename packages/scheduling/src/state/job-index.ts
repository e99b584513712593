/** Keeps the indexes over all jobs up to date with each job that changes, so that no event has to scan all jobs. */
import type { StepRequest } from '../model/job.js';
import { reservedResourcesOf, stepRequestOf } from '../model/step-needs.js';
import type { JobState, OccurrenceState, ServiceState } from './service-state.js';
import {
  isSameQueuePosition,
  setWaitingStep,
  waitingIdOf,
  type WaitingKey,
  type WaitingLoad,
} from './waiting-queue.js';
import { updateService } from './update.js';
import { replaceWaitingShare, startNeedsOf } from './workspaces.js';

interface QueueEntry {
  readonly key: WaitingKey;
  readonly load: WaitingLoad;
}

function softDeadlineOfOccurrence(job: JobState, occurrence: OccurrenceState): number {
  return job.request.repetition === null
    ? job.softDeadlineAt
    : occurrence.dueAt + (job.softDeadlineAt - job.arrivedAt);
}

function entryOf(
  job: JobState | undefined,
  occurrence: OccurrenceState | undefined,
  index: number,
): QueueEntry | null {
  const step = occurrence?.steps[index];
  if (job?.phase !== 'active' || occurrence === undefined || step === undefined) return null;
  if (step.readySince === null || step.waitingCount === 0) return null;
  const request = stepRequestOf(job.request, index);
  const key: WaitingKey = {
    isLasting: request.isLasting,
    priority: job.request.priority,
    startBy: softDeadlineOfOccurrence(job, occurrence) - occurrence.remainingMilliseconds,
    jobId: job.request.jobId,
    occurrence: occurrence.occurrence,
    step: index,
  };
  const load: WaitingLoad = {
    tasks: step.waitingCount,
    workspace: job.request.workspace,
    taskNeeds: request.needs,
    startNeeds: startNeedsOf(request),
    needs: reservedResourcesOf(request),
  };
  return { key, load };
}

function replaceEntry(
  state: ServiceState,
  before: QueueEntry | null,
  after: QueueEntry | null,
): ServiceState {
  const hasLeftPosition = before !== null && (after === null || !isSameQueuePosition(before.key, after.key));
  const withoutOld = hasLeftPosition ? setWaitingStep(state.waiting, before.key, null) : state.waiting;
  const shared = replaceWaitingShare(state, before?.load ?? null, after?.load ?? null);
  if (after === null) return updateService(shared, { waiting: withoutOld });
  const waiting = setWaitingStep(withoutOld, after.key, after.load);
  if (after.load.tasks <= (before?.load.tasks ?? 0)) return updateService(shared, { waiting });
  const newlyWaitingSteps = state.placementChanges.newlyWaitingSteps.set(waitingIdOf(after.key), after.key);
  return updateService(shared, {
    waiting,
    placementChanges: { ...state.placementChanges, newlyWaitingSteps },
  });
}

function isSameEntry(before: QueueEntry | null, after: QueueEntry | null): boolean {
  if (before === null || after === null) return before === after;
  return before.load.tasks === after.load.tasks && isSameQueuePosition(before.key, after.key);
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
    const oldEntry = entryOf(before, former, index);
    const newEntry = entryOf(after, current, index);
    if (!isSameEntry(oldEntry, newEntry)) next = replaceEntry(next, oldEntry, newEntry);
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

function needsCoscheduling({ isLasting, isGang }: StepRequest): boolean {
  return isLasting || isGang;
}

/** Adds a job to the sets of jobs when it becomes active, and moves it to the ending jobs when it ends. */
function trackJobSets(state: ServiceState, before: JobState | undefined, after: JobState): ServiceState {
  if (before?.phase === after.phase) return state;
  const { jobId, repetition, steps } = after.request;
  const isActive = after.phase === 'active';
  const repeats = isActive && repetition !== null;
  const isCoscheduled = isActive && steps.some(needsCoscheduling);
  return updateService(state, {
    repeatingJobIds: repeats ? state.repeatingJobIds.add(jobId) : state.repeatingJobIds.remove(jobId),
    coscheduledJobIds: isCoscheduled
      ? state.coscheduledJobIds.add(jobId)
      : state.coscheduledJobIds.remove(jobId),
    endingJobIds: isActive ? state.endingJobIds : state.endingJobIds.add(jobId),
  });
}

/** Sets a job in the state and updates the indexes. */
export function setJob(state: ServiceState, job: JobState): ServiceState {
  const before = state.jobs.get(job.request.jobId);
  const tracked = trackJobSets(trackWaiting(state, before, job), before, job);
  return updateService(tracked, { jobs: tracked.jobs.set(job.request.jobId, job) });
}
