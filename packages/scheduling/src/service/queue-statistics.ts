/** Counts the waiting work of a service, for its log. */
import type { JobState, ServiceState, StepState } from '../state/service-state.js';

/** Counts of jobs, tasks and workers of one service. */
export interface QueueStatistics {
  /** Jobs that have not ended, still have runs or have an unstored end. */
  readonly activeJobs: number;
  /** Tasks of ready steps that have no run. */
  readonly waitingTasks: number;
  /** Runs that are placed and whose record is not stored yet. */
  readonly recordingTasks: number;
  /** Jobs with changes that are in no append yet. */
  readonly jobsToRecord: number;
  /** Tasks that run alone since they may crash their workers. */
  readonly quarantinedTasks: number;
  readonly workers: number;
  readonly silentWorkers: number;
  /** Workers with a renewal in flight or delayed. */
  readonly renewalsUnderWay: number;
}

function* stepsOf(job: JobState | undefined): Generator<StepState, void> {
  for (const { steps } of job?.occurrences.values() ?? []) yield* steps;
}

/** Counts runs in the phase `recording`. Only jobs with an unstored change can have some. */
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

/** Returns the counts for the current state. */
export function selectQueueStatistics(state: ServiceState): QueueStatistics {
  return {
    activeJobs: state.activeJobIds.size,
    waitingTasks: state.waiting.total.tasks,
    recordingTasks: countRecordingTasks(state),
    jobsToRecord: state.dirtyJobIds.size,
    quarantinedTasks: state.quarantine.tasks.size,
    workers: state.workers.size,
    silentWorkers: state.workers.count(({ silentSince }) => silentSince !== null),
    renewalsUnderWay: state.workers.count(({ reportPending }) => reportPending),
  };
}
