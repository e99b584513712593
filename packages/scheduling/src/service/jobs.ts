/** Life cycle of a job: acceptance, occurrences, steps that become ready, and the end. */
import { Map as PersistentMap, Set as PersistentSet } from 'immutable';
import type { JobRequest, JobStatus, TaskKey } from '../model/job.js';
import { isSameSubmission } from '../model/same-submission.js';
import type { JobPhase } from '../model/records.js';
import { trimArrivals, estimateWork } from '../state/arrivals.js';
import type { ServiceStep } from '../state/effect.js';
import {
  estimateCriticalPathMilliseconds,
  estimateRemainingMilliseconds,
} from '../decide/order/critical-path.js';
import type { Instant } from '../model/instant.js';
import type {
  JobState,
  OccurrenceState,
  Run,
  ServiceState,
  StepState,
  TaskState,
} from '../state/service-state.js';
import { removeRun, markJobChanged } from '../state/tasks.js';
import { setJob } from '../state/job-index.js';
import { orderStop } from './runs.js';
import { updateJob, updateOccurrence, updateService, updateStep } from '../state/update.js';

/** Returns a task that has not started. */
export function newTask(now: Instant): TaskState {
  return {
    runs: [],
    isDone: false,
    lastRun: 0,
    failedRuns: 0,
    stalledRuns: 0,
    checkpoint: '',
    waitingSince: now,
    avoidedWorkers: [],
    workerCrashes: 0,
    isQuarantined: false,
  };
}

function isStepDone(step: StepState | undefined): boolean {
  return step !== undefined && step.doneCount === step.tasks.length;
}

/** Marks the steps as ready whose dependencies are all done. */
export function markReadySteps(
  request: JobRequest,
  occurrence: OccurrenceState,
  now: Instant,
): OccurrenceState {
  const steps = occurrence.steps.map((step, index) => {
    if (step.readySince !== null) return step;
    const waitsFor = request.steps[index]?.after ?? [];
    return waitsFor.every((earlier) => isStepDone(occurrence.steps[earlier]))
      ? updateStep(step, { readySince: now })
      : step;
  });
  const remainingMilliseconds = estimateRemainingMilliseconds(request.steps, (index) =>
    isStepDone(steps[index]),
  );
  return updateOccurrence(occurrence, { steps, remainingMilliseconds });
}

/**
 * Returns a function that gives a list of tasks that have not started. Lists of one length are shared, and so is their task:
 * both are copied when a task changes, so that tasks that have not started take next to no memory.
 */
function createTaskLists(now: Instant): (taskCount: number) => readonly TaskState[] {
  const task = newTask(now);
  const lists = new Map<number, readonly TaskState[]>();
  return (taskCount) => {
    const known = lists.get(taskCount);
    if (known !== undefined) return known;
    const tasks: readonly TaskState[] = Array.from({ length: taskCount }, () => task);
    lists.set(taskCount, tasks);
    return tasks;
  };
}

/** Returns an occurrence with no started task. */
export function newOccurrence(
  request: JobRequest,
  occurrence: number,
  dueAt: Instant,
  now: Instant,
): OccurrenceState {
  const tasksOfCount = createTaskLists(now);
  const steps = request.steps.map(({ taskCount }) => ({
    tasks: tasksOfCount(taskCount),
    doneCount: 0,
    waitingCount: taskCount,
    readySince: null,
  }));
  return markReadySteps(request, { occurrence, dueAt, steps, remainingMilliseconds: 0 }, now);
}

/** Returns how many occurrences a job has. */
export function occurrenceCount({ repetition }: JobRequest): number {
  return repetition?.times ?? 1;
}

function softDeadlineOf(request: JobRequest, firstSentAt: Instant, remoteFactor: number): Instant {
  const chain = estimateCriticalPathMilliseconds(request.steps, remoteFactor);
  return firstSentAt + request.stretch * chain + request.targetMilliseconds;
}

/** Returns the state of a job whose acceptance has just been read. */
export function newJob(state: ServiceState, request: JobRequest): JobState {
  const arrivedAt = state.now;
  const firstSentAt = arrivedAt - request.ageMilliseconds;
  const begun = request.repetition === null ? [newOccurrence(request, 0, firstSentAt, arrivedAt)] : [];
  return {
    request,
    arrivedAt,
    softDeadlineAt: softDeadlineOf(request, firstSentAt, state.parameters.remoteFactor),
    phase: 'active',
    recordedPhase: 'active',
    cancelRequested: false,
    failureReason: null,
    occurrences: PersistentMap(begun.map((occurrence) => [occurrence.occurrence, occurrence])),
    occurrencesDone: PersistentSet(),
    occurrencesDoneBelow: 0,
    hasStarted: false,
    hasGang: request.steps.some((step) => step.isGang),
    recordedOccurrences: PersistentMap(),
    version: 0,
    endedInVersion: null,
    endedAt: null,
  };
}

/** Returns when an occurrence is due, by the time of day; null if the job does not repeat. */
export function dueTimeOf(request: JobRequest, occurrence: number): Date | null {
  const { repetition } = request;
  if (repetition === null) return null;
  return new Date(repetition.firstDueAt.getTime() + occurrence * repetition.intervalMilliseconds);
}

function hasBegun(job: JobState, occurrence: number): boolean {
  return (
    occurrence < job.occurrencesDoneBelow ||
    job.occurrencesDone.has(occurrence) ||
    job.occurrences.has(occurrence)
  );
}

/**
 * The most occurrences of a job that are in progress at once; those that are due beyond begin as earlier ones finish. They
 * take memory, and a job may have any number of occurrences whose time has passed.
 */
const MAXIMUM_OCCURRENCES_IN_PROGRESS = 256;

/** Begins the occurrences of a repeating job that are due. */
export function beginDueOccurrences(state: ServiceState, job: JobState): ServiceState {
  const { request } = job;
  if (request.repetition === null || job.phase !== 'active' || job.cancelRequested) return state;
  let { occurrences } = job;
  for (let occurrence = job.occurrencesDoneBelow; occurrence < request.repetition.times; occurrence += 1) {
    const due = dueTimeOf(request, occurrence);
    if (due === null || due > state.timeOfDay) break;
    if (occurrences.size >= MAXIMUM_OCCURRENCES_IN_PROGRESS) break;
    if (!hasBegun(job, occurrence)) {
      const dueAt = state.now - (state.timeOfDay.getTime() - due.getTime());
      occurrences = occurrences.set(occurrence, newOccurrence(request, occurrence, dueAt, state.now));
    }
  }
  return occurrences === job.occurrences ? state : setJob(state, updateJob(job, { occurrences }));
}

/**
 * Keeps a job as it was first accepted: the inbox keeps only the newest submission of a job, which a next owner would
 * restore with other terms.
 */
export function* keepFirstSubmission(job: JobState, later: JobRequest): ServiceStep<void> {
  if (job.phase !== 'active' || isSameSubmission(job.request, later)) return;
  yield { kind: 'rewrite-request', request: job.request };
}

/** Adds an accepted job. A second acceptance of the same job is ignored. */
export function* acceptJob(state: ServiceState, request: JobRequest): ServiceStep<ServiceState> {
  const { jobId } = request;
  const known = state.jobs.get(jobId);
  if (known !== undefined) yield* keepFirstSubmission(known, request);
  if (known !== undefined || state.forwarding.jobs.has(jobId)) return state;
  yield {
    kind: 'log',
    decision: 'jobQueued',
    fields: { jobId, queue: request.queue, ageMilliseconds: Math.round(request.ageMilliseconds) },
  };
  const job = newJob(state, request);
  const accepted = setJob(
    updateService(state, {
      activeJobIds: state.activeJobIds.add(jobId),
      arrivals: [...trimArrivals(state.arrivals, state.now), { at: state.now, work: estimateWork(request) }],
    }),
    job,
  );
  if (state.earlyCancels.has(jobId)) {
    return yield* cancelJob(
      updateService(accepted, { earlyCancels: state.earlyCancels.remove(jobId) }),
      jobId,
    );
  }
  return beginDueOccurrences(accepted, job);
}

/** Returns the runs of a job that have not ended. */
export function runsOfJob(job: JobState): readonly (readonly [key: TaskKey, run: Run])[] {
  const { jobId } = job.request;
  return [...job.occurrences.values()].flatMap(({ occurrence, steps }) =>
    steps.flatMap(({ tasks }, step) =>
      tasks.flatMap(({ runs }, index) =>
        runs.map((run) => [{ jobId, occurrence, step, index }, run] as const),
      ),
    ),
  );
}

/** Ends a job: stops its runs and drops its waiting tasks. */
export function* endJob(
  state: ServiceState,
  jobId: string,
  phase: Exclude<JobPhase, 'active'>,
  reason: string,
): ServiceStep<ServiceState> {
  const job = state.jobs.get(jobId);
  if (job === undefined || job.phase !== 'active') return state;
  const milliseconds = Math.round(state.now - job.arrivedAt);
  yield { kind: 'log', decision: 'jobEnded', fields: { jobId, phase, reason, milliseconds } };
  const failureReason = phase === 'failed' ? reason : null;
  const ended = updateJob(job, { phase, failureReason, endedInVersion: job.version + 1 });
  let next = markJobChanged(state, ended);
  for (const [key, run] of runsOfJob(job)) {
    next = run.phase === 'recording' ? removeRun(next, key, run) : yield* orderStop(next, key, run, reason);
  }
  return next;
}

/** Cancels a job. A cancellation that is read before the acceptance of its job is kept and applied then. */
export function* cancelJob(state: ServiceState, jobId: string): ServiceStep<ServiceState> {
  const job = state.jobs.get(jobId);
  if (job === undefined) {
    return updateService(state, { earlyCancels: state.earlyCancels.set(jobId, state.now) });
  }
  if (job.phase !== 'active') return state;
  const marked = setJob(state, updateJob(job, { cancelRequested: true }));
  return yield* endJob(marked, jobId, 'cancelled', 'cancelled by its caller');
}

/** Marks an occurrence as done if all its steps are, and ends the job after the last one. */
export function* finishOccurrence(
  state: ServiceState,
  jobId: string,
  occurrence: number,
): ServiceStep<ServiceState> {
  const job = state.jobs.get(jobId);
  if (job === undefined || !job.occurrences.has(occurrence)) return state;
  const isOver = job.occurrences.get(occurrence)?.steps.every(isStepDone) ?? false;
  if (!isOver) return state;
  let below = job.occurrencesDoneBelow;
  let done = occurrence < below ? job.occurrencesDone : job.occurrencesDone.add(occurrence);
  while (done.has(below)) {
    done = done.remove(below);
    below += 1;
  }
  const finished: JobState = updateJob(job, { occurrencesDone: done, occurrencesDoneBelow: below });
  const isLast = below >= occurrenceCount(job.request);
  if (isLast) return yield* endJob(setJob(state, finished), jobId, 'completed', 'every task is done');
  const copiesOver = runsOfJob(finished).every(([key]) => key.occurrence !== occurrence);
  const kept = copiesOver ? finished.occurrences.remove(occurrence) : finished.occurrences;
  return markJobChanged(state, updateJob(finished, { occurrences: kept }));
}

/** Returns the status of a job as callers see it. The end of a job shows only once it is stored. */
export function statusOf(job: JobState): JobStatus {
  if (job.recordedPhase !== 'active') return job.recordedPhase;
  return job.hasStarted ? 'running' : 'queued';
}
