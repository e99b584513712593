/**
 * Stores changes in batches, one append at a time. Runs start and job ends show to callers only once they are stored.
 */
import { Map as PersistentMap } from 'immutable';
import type { JobProgress, ServiceRecord, TaskProgress } from '../model/records.js';
import { recordOf } from '../decide/interference/record.js';
import type { ServiceStep } from '../state/effect.js';
import type { ServiceEventOf } from '../state/event.js';
import { runsOfJob } from './jobs.js';
import { orderStart } from './runs.js';
import type { AppendInFlight, JobState, ServiceState, TaskState } from '../state/service-state.js';
import { setWorker } from '../state/worker-index.js';
import { renewLeases } from './workers.js';
import { updateJob, updateService, updateWorker } from '../state/update.js';

/** Maximum number of jobs whose progress goes into one batch. Larger batches would be stored too late. */
const JOBS_PER_BATCH = 100;

function hasProgress(task: TaskState): boolean {
  return task.isDone || task.lastRun > 0 || task.runs.length > 0;
}

function taskProgressOf(task: TaskState, index: number): TaskProgress {
  return {
    index,
    isDone: task.isDone,
    lastRun: task.lastRun,
    failedRuns: task.failedRuns,
    workerCrashes: task.workerCrashes,
    isQuarantined: task.isQuarantined && !task.isDone,
    checkpoint: task.isDone ? '' : task.checkpoint,
    runs: task.runs.map(({ run, workerId, incarnation }) => ({ run, workerId, incarnation })),
  };
}

/** Returns the progress of a job as it is recorded. */
export function progressOf(job: JobState): JobProgress {
  return {
    phase: job.phase,
    queue: job.request.queue,
    occurrencesDone: job.occurrencesDone.toArray(),
    occurrencesDoneBelow: job.occurrencesDoneBelow,
    occurrences: [...job.occurrences.values()].map(({ occurrence, steps }) => ({
      occurrence,
      steps: steps.map(({ tasks }) =>
        tasks.flatMap((task, index) => (hasProgress(task) ? [taskProgressOf(task, index)] : [])),
      ),
    })),
    hasStarted: job.hasStarted,
  };
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
    state.forgottenJobIds.isEmpty() &&
    !state.recordedInterference.isDue &&
    state.pendingReleaseRecords.length === 0;
  if (hasNothing) return markEndsStored(state, unstoredEndsOf(state));
  const jobIds = state.dirtyJobIds.take(JOBS_PER_BATCH);
  const jobs = jobIds.toArray().flatMap((jobId) => state.jobs.get(jobId) ?? []);
  const records: readonly ServiceRecord[] = [
    ...jobs.map((job) => ({
      kind: 'job-progress' as const,
      jobId: job.request.jobId,
      progress: progressOf(job),
    })),
    ...state.pendingReleaseRecords,
    ...interferenceRecords(state),
    ...state.forgottenJobIds.toArray().map((jobId) => ({ kind: 'job-forgotten' as const, jobId })),
  ];
  const appendId = state.nextAppendId;
  yield { kind: 'store-records', appendId, records };
  const includesAllJobs = jobIds.size === state.dirtyJobIds.size;
  const appendInFlight: AppendInFlight = {
    appendId,
    jobVersions: PersistentMap(jobs.map((job) => [job.request.jobId, job.version])),
    releasedWorkerIds: new Set(state.pendingReleaseRecords.map((record) => record.workerId)),
    processedEnds: includesAllJobs ? unstoredEndsOf(state) : PersistentMap(),
  };
  return updateService(state, {
    appendInFlight,
    nextAppendId: appendId + 1,
    dirtyJobIds: state.dirtyJobIds.subtract(jobIds),
    forgottenJobIds: state.forgottenJobIds.clear(),
    pendingReleaseRecords: [],
    recordedInterference: markInterferenceRecorded(state),
  });
}

function* startRecordedRuns(
  state: ServiceState,
  versions: PersistentMap<string, number>,
): ServiceStep<ServiceState> {
  let next = state;
  for (const [jobId, version] of versions) {
    const job = next.jobs.get(jobId);
    for (const [key, run] of job === undefined ? [] : runsOfJob(job)) {
      if (run.phase === 'recording' && run.placedInVersion <= version) {
        next = yield* orderStart(next, key, run);
      }
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
  return yield* startRecordedRuns(renewed, stored.jobVersions);
}
