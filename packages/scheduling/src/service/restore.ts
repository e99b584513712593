/** Builds the state of a new owner from the records of the service. */
import { Map as PersistentMap, OrderedSet as PersistentOrderedSet, Set as PersistentSet } from 'immutable';
import { taskIdOf, type JobRequest, type StepRequest } from '../model/job.js';
import { restoreInterference } from '../decide/interference/record.js';
import type {
  InterferenceRecord,
  JobForwardRecord,
  JobPartProgress,
  JobProgress,
  StoredServiceRecord,
  TaskProgress,
} from '../model/records.js';
import { stepRequestOf } from '../model/step-needs.js';
import { setJob } from '../state/job-index.js';
import {
  completeWithParts,
  createPartRecords,
  restoreRecordedOccurrences,
  type PartRecords,
} from './restore-parts.js';
import { restoreForwardedJob } from './forward-jobs.js';
import { markReadySteps, newJob, newOccurrence, newTask } from './jobs.js';
import { noForwardedJobs } from '../state/forwarding-state.js';
import { NO_INTERFERENCE } from '../state/interference-state.js';
import { fullPaceBudget } from '../state/pace-budget.js';
import { inheritedPace } from '../state/run-pace.js';
import type { SchedulingParameters } from '../state/parameters.js';
import { NO_PLACEMENT_CHANGES } from '../state/placement-changes.js';
import {
  EMPTY_QUARANTINE,
  LIMIT_OF_WEAK_EVIDENCE,
  UNWITNESSED_CRASH,
  updateQuarantine,
  type PendingVerdict,
  type QuarantineState,
} from '../state/quarantine-state.js';
import { startedTasks, isTaskWaiting } from '../state/tasks.js';
import { EMPTY_WAITING_QUEUE } from '../state/waiting-queue.js';
import { countRuns } from '../state/workspaces.js';
import { NO_WORKSPACES } from '../state/workspaces-state.js';
import type { Instant } from '../model/instant.js';
import type {
  JobState,
  OccurrenceState,
  Run,
  ServiceState,
  StepState,
  TaskState,
} from '../state/service-state.js';
import { updateJob, updateOccurrence, updateService, updateStep, updateTask } from '../state/update.js';

/** Input from which the state of a new owner is built. */
export interface RestoreInput {
  readonly service: string;
  readonly parameters: SchedulingParameters;
  readonly fencingEpoch: number;
  readonly now: Instant;
  readonly timeOfDay: Date;
  readonly claimedAt: Instant;
  readonly provenAt: Instant;
  /** Newest record of each subject, ordered by offset. */
  readonly records: readonly StoredServiceRecord[];
}

function emptyState(input: RestoreInput): ServiceState {
  const { service, parameters, fencingEpoch, now, timeOfDay, claimedAt, provenAt } = input;
  return {
    service,
    parameters,
    fencingEpoch,
    now,
    timeOfDay,
    claimedAt,
    provenAt,
    ownershipReport: { hasReportedWorkers: false, isProven: true },
    inboxReadAt: claimedAt,
    jobs: PersistentMap(),
    activeJobIds: PersistentOrderedSet(),
    arrivals: [],
    earlyCancels: PersistentMap(),
    workers: PersistentMap(),
    orphanTaskIds: PersistentSet(),
    releasedWorkers: PersistentMap(),
    waiting: EMPTY_WAITING_QUEUE,
    reservations: PersistentMap(),
    placementChanges: NO_PLACEMENT_CHANGES,
    scannedSteps: 0,
    repeatingJobIds: PersistentSet(),
    coscheduledJobIds: PersistentSet(),
    brokenGangJobIds: PersistentSet(),
    endingJobIds: PersistentSet(),
    obsoleteRunJobIds: PersistentSet(),
    endedJobIds: PersistentOrderedSet(),
    unstoredEndWorkerIds: PersistentSet(),
    ticks: { count: 0, lastAt: now },
    dirtyJobIds: PersistentOrderedSet(),
    forgottenJobs: PersistentMap(),
    forwarding: noForwardedJobs(now),
    lastFleetMessage: { epoch: 0, sequence: 0 },
    pendingReleaseRecords: [],
    appendInFlight: null,
    nextAppendId: 1,
    isSuperseded: false,
    unansweredStarts: PersistentMap(),
    restartedWorkerId: null,
    isStopping: false,
    quarantine: EMPTY_QUARANTINE,
    workspaces: NO_WORKSPACES,
    interference: NO_INTERFERENCE,
    paceBudget: fullPaceBudget(now),
    recordedInterference: { conflicts: NO_INTERFERENCE.conflicts, at: -Infinity, isDue: false },
  };
}

function restoreRun(recorded: TaskProgress['runs'][number], now: Instant): Run {
  return {
    ...recorded,
    phase: 'running',
    placedAt: now,
    placedInVersion: 0,
    acknowledgedAt: null,
    hasUnansweredStart: false,
    sentAt: null,
    startedAt: null,
    speedPercent: 0,
    crash: null,
    pace: inheritedPace(now),
  };
}

function restoreTask(progress: TaskProgress, { isLasting }: StepRequest, now: Instant): TaskState {
  return updateTask(newTask(now), {
    // A record of an earlier version may say that a lasting task is done.
    isDone: progress.isDone && !isLasting,
    lastRun: progress.lastRun,
    failedRuns: progress.failedRuns,
    workerCrashes: progress.workerCrashes,
    isQuarantined: progress.isQuarantined,
    checkpoint: progress.checkpoint,
    runs: progress.runs.map((run) => restoreRun(run, now)),
  });
}

function restoreStep(
  step: StepState,
  recorded: readonly TaskProgress[],
  request: StepRequest,
  now: Instant,
): StepState {
  const byIndex = new Map(recorded.map((task) => [task.index, task]));
  // Steps without progress share one list of tasks.
  if (byIndex.size === 0) return step;
  const tasks = step.tasks.map((task, index) => {
    const known = byIndex.get(index);
    return known === undefined ? task : restoreTask(known, request, now);
  });
  return updateStep(step, {
    tasks,
    doneCount: tasks.filter((task) => task.isDone).length,
    waitingCount: tasks.filter(isTaskWaiting).length,
  });
}

function hasRuns({ steps }: OccurrenceState): boolean {
  return steps.some(({ tasks }) => tasks.some(({ runs }) => runs.length > 0));
}

/** Its parts may be older than the record that says that the occurrence is done; its last runs may not have ended. */
function withAllTasksDone(occurrence: OccurrenceState): OccurrenceState {
  const steps = occurrence.steps.map((step) =>
    updateStep(step, {
      tasks: step.tasks.map((task) => (task.isDone ? task : updateTask(task, { isDone: true }))),
      doneCount: step.tasks.length,
      waitingCount: 0,
    }),
  );
  return updateOccurrence(occurrence, { steps });
}

function restoreOccurrences(
  request: JobRequest,
  progress: JobProgress,
  dueAt: Instant,
  now: Instant,
): PersistentMap<number, OccurrenceState> {
  const done = new Set(progress.occurrencesDone);
  const restored = progress.occurrences.flatMap(({ occurrence, steps }) => {
    const fresh = newOccurrence(request, occurrence, dueAt, now);
    const filled: OccurrenceState = updateOccurrence(fresh, {
      steps: fresh.steps.map((step, index) =>
        restoreStep(step, steps[index] ?? [], stepRequestOf(request, index), now),
      ),
    });
    const isDone = occurrence < progress.occurrencesDoneBelow || done.has(occurrence);
    if (isDone && !hasRuns(filled)) return [];
    const current = isDone ? withAllTasksDone(filled) : filled;
    return [[occurrence, markReadySteps(request, current, now)] as const];
  });
  return PersistentMap(restored);
}

/** Upper limit of a job's age. A higher age, from a clock that jumped, counts as this one. */
const MAX_JOB_AGE_MILLISECONDS = 60_000;

function restoreJob(
  state: ServiceState,
  request: JobRequest,
  head: JobProgress | undefined,
  parts: readonly JobPartProgress[],
): JobState {
  const acceptedAgo = state.timeOfDay.getTime() - request.acceptedAt.getTime();
  const age = Math.min(MAX_JOB_AGE_MILLISECONDS, Math.max(0, acceptedAgo));
  const fresh = newJob(updateService(state, { now: state.now - age }), request);
  if (head === undefined) return fresh;
  const progress = completeWithParts(head, parts);
  const dueAt = state.now - age;
  const isActive = progress.phase === 'active';
  const recorded = restoreOccurrences(request, progress, dueAt, state.now);
  // The first occurrence of an active job exists from its acceptance, even if no progress is recorded yet.
  const occurrences = isActive && recorded.isEmpty() ? fresh.occurrences : recorded;
  return updateJob(fresh, {
    phase: progress.phase,
    recordedPhase: progress.phase,
    cancelRequested: progress.phase === 'cancelled',
    failureReason: progress.failureReason,
    occurrences,
    occurrencesDone: PersistentSet(progress.occurrencesDone),
    occurrencesDoneBelow: progress.occurrencesDoneBelow,
    hasStarted: progress.hasStarted,
    recordedOccurrences: restoreRecordedOccurrences(
      head.occurrences.length === 0 ? occurrences : PersistentMap(),
      parts,
    ),
    endedInVersion: isActive ? null : 0,
    endedAt: isActive ? null : state.now,
  });
}

interface RecordsByKind {
  readonly requests: Map<string, JobRequest>;
  readonly progress: Map<string, JobProgress>;
  readonly forwarded: Map<string, JobForwardRecord>;
  readonly parts: PartRecords;
  readonly cancelled: Set<string>;
  readonly released: Map<string, number>;
  readonly interference: InterferenceRecord | null;
}

function groupRecords(records: readonly StoredServiceRecord[]): RecordsByKind {
  const requests = new Map<string, JobRequest>();
  const progress = new Map<string, JobProgress>();
  const forwarded = new Map<string, JobForwardRecord>();
  const parts = createPartRecords();
  const cancelled = new Set<string>();
  const released = new Map<string, number>();
  let interference: InterferenceRecord | null = null;
  for (const { record } of records) {
    if (record.kind === 'job-accepted' && !requests.has(record.request.jobId)) {
      requests.set(record.request.jobId, record.request);
    }
    if (record.kind === 'job-forwarded') forwarded.set(record.jobId, record);
    if (record.kind === 'job-progress') progress.set(record.jobId, record.progress);
    if (record.kind === 'job-part-progress') parts.add(record.part);
    if (record.kind === 'job-part-forgotten') parts.remove(record.part);
    if (record.kind === 'job-cancelled') cancelled.add(record.jobId);
    if (record.kind === 'worker-released') released.set(record.workerId, record.incarnation);
    if (record.kind === 'worker-returned') released.delete(record.workerId);
    if (record.kind === 'interference-learned') interference = record.model;
  }
  return { requests, progress, forwarded, parts, cancelled, released, interference };
}

/** Restores the quarantine. A task at the limit is given up: the verdict of the former owner was not stored in time. */
function restoreQuarantine(state: ServiceState): QuarantineState {
  const quarantined = [...startedTasks(state)].filter(([, task]) => task.isQuarantined && !task.isDone);
  const overdue = quarantined
    .filter(([, { runs, workerCrashes }]) => runs.length === 0 && workerCrashes >= LIMIT_OF_WEAK_EVIDENCE)
    .map(([key]): PendingVerdict => ({ key, evidence: UNWITNESSED_CRASH, crashedAt: -Infinity }));
  return updateQuarantine(EMPTY_QUARANTINE, {
    tasks: PersistentMap(quarantined.map(([key]) => [taskIdOf(key), key])),
    verdicts: PersistentMap(overdue.map((verdict) => [taskIdOf(verdict.key), verdict])),
    isStale: quarantined.length > 0,
  });
}

function withRestoredInterference(state: ServiceState, record: InterferenceRecord): ServiceState {
  const interference = restoreInterference(record, state.now, state.timeOfDay);
  const { conflicts } = interference;
  const recordedInterference = { conflicts, at: state.now, isDue: false };
  return updateService(state, { interference, recordedInterference });
}

/** Builds the state of a new owner. The caller still has to apply the returned cancellations. */
export function restoreService(input: RestoreInput): {
  readonly state: ServiceState;
  readonly cancelledJobIds: readonly string[];
} {
  const { requests, progress, forwarded, parts, cancelled, released, interference } = groupRecords(
    input.records,
  );
  let state = updateService(emptyState(input), { releasedWorkers: PersistentMap(released) });
  if (interference !== null) state = withRestoredInterference(state, interference);
  for (const [jobId, request] of requests) {
    const forward = forwarded.get(jobId);
    // The journal decides where a job is: a later submission for another service replaces the request of an earlier one.
    const service = forward?.service ?? (progress.has(jobId) ? input.service : request.service);
    if (service === input.service) {
      const job = restoreJob(state, { ...request, service }, progress.get(jobId), parts.ofJob(jobId));
      state = updateService(setJob(state, job), { activeJobIds: state.activeJobIds.add(jobId) });
    } else {
      state = restoreForwardedJob(state, request, service, forward?.isSent === true);
    }
  }
  for (const [key, { runs }, , { request }] of [...startedTasks(state)]) {
    state = countRuns(state, request, key.step, runs.length);
  }
  const keysWithRuns = [...startedTasks(state)].flatMap(([key, task]) => (task.runs.length > 0 ? [key] : []));
  const restored = [...state.jobs.values()];
  const jobIdsOf = (jobs: readonly JobState[]): readonly string[] => jobs.map(({ request }) => request.jobId);
  return {
    state: {
      ...state,
      orphanTaskIds: PersistentSet(keysWithRuns.map(taskIdOf)),
      obsoleteRunJobIds: PersistentSet(keysWithRuns.map(({ jobId }) => jobId)),
      brokenGangJobIds: PersistentSet(jobIdsOf(restored.filter((job) => job.hasGang))),
      endedJobIds: PersistentOrderedSet(jobIdsOf(restored.filter((job) => job.endedAt !== null))),
      quarantine: restoreQuarantine(state),
    },
    cancelledJobIds: [...cancelled],
  };
}
