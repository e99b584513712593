/** How much waits at a service, in a few figures for its log. */
import type { JobState, ServiceState, StepState } from './state.js';

/** The figures. */
export interface QueueStatistics {
  /** Jobs that are not over or still have runs. */
  readonly activeJobs: number;
  /** Tasks whose turn has come and that have no run. */
  readonly waitingTasks: number;
  /** Tasks that are placed and whose record is not stored yet. */
  readonly recordingTasks: number;
  /** Jobs whose change waits for the batch that is being stored. */
  readonly jobsToRecord: number;
  readonly workers: number;
  readonly silentWorkers: number;
  /** Workers that are asked, or soon to be asked, for their runs. */
  readonly renewalsUnderWay: number;
}

function* stepsOf(job: JobState | undefined): Generator<StepState, void> {
  for (const { steps } of job?.occurrences.values() ?? []) yield* steps;
}

/** Only jobs with a change that is not stored can have such tasks. */
function countRecordingTasks(state: ServiceState): number {
  const stored = state.appendInFlight?.jobVersions.keys() ?? [];
  const jobIds = new Set([...state.dirtyJobIds, ...stored]);
  let count = 0;
  for (const jobId of jobIds) {
    for (const { tasks } of stepsOf(state.jobs.get(jobId))) {
      for (const { runs } of tasks) count += runs.filter(({ phase }) => phase === 'recording').length;
    }
  }
  return count;
}

/** The figures as of now. */
export function selectQueueStatistics(state: ServiceState): QueueStatistics {
  return {
    activeJobs: state.activeJobIds.size,
    waitingTasks: state.waiting.total.tasks,
    recordingTasks: countRecordingTasks(state),
    jobsToRecord: state.dirtyJobIds.size,
    workers: state.workers.size,
    silentWorkers: state.workers.count(({ silentSince }) => silentSince !== null),
    renewalsUnderWay: state.workers.count(({ reportPending }) => reportPending),
  };
}
