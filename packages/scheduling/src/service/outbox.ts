/**
 * Stores changes in batches, one append at a time. Runs start and job ends show to callers only once they are stored.
 */
import { Map as PersistentMap } from 'immutable';
import type { TaskKey } from '../model/job.js';
import type { JobProgress, ServiceRecord } from '../model/records.js';
import { recordOf } from '../decide/interference/record.js';
import type { ServiceStep } from '../state/effect.js';
import type { ServiceEventOf } from '../state/event.js';
import { markForwardsInFlight, nextForwardBatch, sendRecordedJobs } from './forward-jobs.js';
import { runsOfJob } from './jobs.js';
import { orderStart } from './runs.js';
import { findPartChanges, hasProgress, isRecordedInParts, taskProgressOf } from '../state/recorded-parts.js';
import type { AppendInFlight, JobState, Run, ServiceState } from '../state/service-state.js';
import { findTask } from '../state/tasks.js';
import { setWorker } from '../state/worker-index.js';
import { renewLeases } from './workers.js';
import { updateJob, updateService, updateWorker } from '../state/update.js';

/** Maximum number of jobs whose progress goes into one batch. Larger batches would be stored too late. */
const JOBS_PER_BATCH = 100;

function progressOfOccurrences(job: JobState): JobProgress['occurrences'] {
  return [...job.occurrences.values()].map(({ occurrence, steps }) => ({
    occurrence,
    steps: steps.map(({ tasks }) =>
      tasks.flatMap((task, index) => (hasProgress(task) ? [taskProgressOf(task, index)] : [])),
    ),
  }));
}

function progressOf(job: JobState, occurrences: JobProgress['occurrences']): JobProgress {
  return {
    phase: job.phase,
    queue: job.request.queue,
    occurrencesDone: job.occurrencesDone.toArray(),
    occurrencesDoneBelow: job.occurrencesDoneBelow,
    occurrences,
    hasStarted: job.hasStarted,
    failureReason: job.failureReason,
  };
}

/** The records of one job, and the job once they are stored. */
interface JobRecords {
  readonly job: JobState;
  readonly records: readonly ServiceRecord[];
  /** Tasks with changed progress, if the job is recorded in parts. */
  readonly taskKeys: readonly TaskKey[];
}

/**
 * Returns the records of a job. Should they not fit into one append, a next owner may find only the first ones: the phase
 * and the finished occurrences of a job come before its parts, and parts are deleted after all others are stored.
 */
function recordsOfJob(job: JobState): JobRecords {
  const { jobId } = job.request;
  if (!isRecordedInParts(job.request)) {
    const progress = progressOf(job, progressOfOccurrences(job));
    return { job, records: [{ kind: 'job-progress', jobId, progress }], taskKeys: [] };
  }
  const { changed, obsolete, taskKeys, recorded } = findPartChanges(job);
  const records: readonly ServiceRecord[] = [
    { kind: 'job-progress', jobId, progress: progressOf(job, []) },
    ...changed.map((part) => ({ kind: 'job-part-progress' as const, part })),
    ...obsolete.map((part) => ({ kind: 'job-part-forgotten' as const, part })),
  ];
  return { job: updateJob(job, { recordedOccurrences: recorded }), records, taskKeys };
}

function recordsOfForgottenJobs({ forgottenJobs }: ServiceState): readonly ServiceRecord[] {
  return [...forgottenJobs].flatMap(([jobId, parts]) => [
    { kind: 'job-forgotten' as const, jobId },
    ...parts.map((part) => ({ kind: 'job-part-forgotten' as const, part })),
  ]);
}

/** Returns the number of the last applied run end of each worker with unstored run ends, by worker id. */
function unstoredEndsOf(state: ServiceState): PersistentMap<string, number> {
  const ends = [...state.unstoredEndWorkerIds].flatMap((workerId) => {
    const worker = state.workers.get(workerId);
    return worker === undefined ? [] : [[workerId, worker.processedEnd] as const];
  });
  return PersistentMap(ends);
}

/** Marks the run ends of workers as stored, so that the next renewals let the workers discard them. */
function markEndsStored(state: ServiceState, ends: PersistentMap<string, number>): ServiceState {
  let next = state;
  for (const [workerId, end] of ends) {
    const worker = next.workers.get(workerId);
    const storedEnd = Math.min(worker?.processedEnd ?? 0, end);
    if (worker !== undefined && storedEnd > worker.storedEnd) {
      next = setWorker(next, updateWorker(worker, { storedEnd }));
    }
  }
  return next;
}

function interferenceRecords(state: ServiceState): readonly ServiceRecord[] {
  if (!state.recordedInterference.isDue) return [];
  const model = recordOf(state.interference, state.now, state.timeOfDay);
  return [{ kind: 'interference-learned', model }];
}

function markInterferenceRecorded(state: ServiceState): ServiceState['recordedInterference'] {
  const { recordedInterference: recorded, interference, now } = state;
  return recorded.isDue ? { conflicts: interference.conflicts, at: now, isDue: false } : recorded;
}

/** Stores the pending changes, unless an append is in flight. */
export function* flushOutbox(state: ServiceState): ServiceStep<ServiceState> {
  if (state.appendInFlight !== null || state.isSuperseded) return state;
  const hasNothing =
    state.dirtyJobIds.isEmpty() &&
    state.forgottenJobs.isEmpty() &&
    state.forwarding.unrecordedJobIds.isEmpty() &&
    !state.recordedInterference.isDue &&
    state.pendingReleaseRecords.length === 0;
  if (hasNothing) return markEndsStored(state, unstoredEndsOf(state));
  const jobIds = state.dirtyJobIds.take(JOBS_PER_BATCH);
  const recorded = jobIds.toArray().flatMap((jobId) => {
    const job = state.jobs.get(jobId);
    return job === undefined ? [] : [recordsOfJob(job)];
  });
  const forwards = nextForwardBatch(state);
  const records: readonly ServiceRecord[] = [
    ...recorded.flatMap((one) => one.records),
    ...forwards.records,
    ...state.pendingReleaseRecords,
    ...interferenceRecords(state),
    ...recordsOfForgottenJobs(state),
  ];
  const appendId = state.nextAppendId;
  yield { kind: 'store-records', appendId, records };
  const includesAllJobs = jobIds.size === state.dirtyJobIds.size;
  const appendInFlight: AppendInFlight = {
    appendId,
    jobVersions: PersistentMap(recorded.map(({ job }) => [job.request.jobId, job.version])),
    taskKeys: recorded.flatMap(({ taskKeys }) => taskKeys),
    releasedWorkerIds: new Set(state.pendingReleaseRecords.map((record) => record.workerId)),
    forwardedJobIds: forwards.jobIds,
    processedEnds: includesAllJobs ? unstoredEndsOf(state) : PersistentMap(),
  };
  return updateService(markForwardsInFlight(state, forwards.jobIds), {
    appendInFlight,
    nextAppendId: appendId + 1,
    dirtyJobIds: state.dirtyJobIds.subtract(jobIds),
    forgottenJobs: state.forgottenJobs.clear(),
    jobs: state.jobs.merge(recorded.map(({ job }) => [job.request.jobId, job])),
    pendingReleaseRecords: [],
    recordedInterference: markInterferenceRecorded(state),
  });
}

/** Returns the runs that an append may have recorded. */
function* recordedRuns(
  state: ServiceState,
  { jobVersions, taskKeys }: AppendInFlight,
): Generator<readonly [key: TaskKey, run: Run], void, void> {
  for (const jobId of jobVersions.keys()) {
    const job = state.jobs.get(jobId);
    if (job !== undefined && !isRecordedInParts(job.request)) yield* runsOfJob(job);
  }
  for (const key of taskKeys) {
    for (const run of findTask(state, key)?.runs ?? []) yield [key, run];
  }
}

function* startRecordedRuns(state: ServiceState, stored: AppendInFlight): ServiceStep<ServiceState> {
  let next = state;
  for (const [key, run] of [...recordedRuns(state, stored)]) {
    const version = stored.jobVersions.get(key.jobId) ?? 0;
    if (run.phase === 'recording' && run.placedInVersion <= version) {
      next = yield* orderStart(next, key, run);
    }
  }
  return next;
}

function updateRecordedPhases(state: ServiceState, versions: PersistentMap<string, number>): ServiceState {
  let { jobs, endedJobIds } = state;
  for (const [jobId, version] of versions) {
    const job = jobs.get(jobId);
    const isRecorded = job !== undefined && job.endedInVersion !== null && job.endedInVersion <= version;
    if (isRecorded && job.recordedPhase !== job.phase) {
      jobs = jobs.set(jobId, updateJob(job, { recordedPhase: job.phase, endedAt: state.now }));
      endedJobIds = endedJobIds.add(jobId);
    }
  }
  return updateService(state, { jobs, endedJobIds });
}

/** Handles a stored batch: starts the runs that it includes and shows the ends of its jobs to callers. */
export function* handleRecordsStored(
  state: ServiceState,
  { appendId, askedAt }: ServiceEventOf<'records-stored'>,
): ServiceStep<ServiceState> {
  const stored = state.appendInFlight;
  if (stored === null || stored.appendId !== appendId) return state;
  const appended: ServiceState = updateService(state, {
    appendInFlight: null,
    provenAt: Math.max(state.provenAt, askedAt),
  });
  const phasesRecorded = updateRecordedPhases(
    markEndsStored(appended, stored.processedEnds),
    stored.jobVersions,
  );
  const renewed = yield* renewLeases(phasesRecorded, stored.processedEnds.keys());
  yield* sendRecordedJobs(renewed, stored.forwardedJobIds);
  return yield* startRecordedRuns(renewed, stored);
}
