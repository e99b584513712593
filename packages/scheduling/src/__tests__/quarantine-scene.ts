/** Helpers of the tests of quarantined tasks: workers that confirm their starts and report that their runs go on. */
import type { HostListing, RunningReport } from '../model/worker.js';
import type { StoredServiceRecord, TaskProgress } from '../model/records.js';
import type { JobRequest } from '../model/job.js';
import { runsOnWorker } from '../state/tasks.js';
import { CAPACITY, type ServiceHarness } from './service-harness.js';

export const ROUND_MILLISECONDS = 100;
export const NEEDS = { milliCores: 1_000, memoryMegabytes: 1, accelerators: 0 };

/** Returns the records of a job of which each task of the first step has the given progress. */
export function recordsOfTask(
  offset: number,
  request: JobRequest,
  fields: Partial<TaskProgress>,
): readonly StoredServiceRecord[] {
  const tasks = Array.from({ length: request.steps[0]?.taskCount ?? 1 }, (_, index) => ({
    index,
    isDone: false,
    lastRun: 0,
    failedRuns: 0,
    workerCrashes: 0,
    isQuarantined: false,
    checkpoint: '',
    runs: [],
    ...fields,
  }));
  const progress = {
    phase: 'active' as const,
    queue: 'quotes',
    occurrencesDone: [],
    occurrencesDoneBelow: 0,
    occurrences: [{ occurrence: 0, steps: [tasks] }],
    hasStarted: true,
    failureReason: null,
  };
  return [
    { offset, record: { kind: 'job-accepted', request } },
    { offset: offset + 1, record: { kind: 'job-progress', jobId: request.jobId, progress } },
  ];
}

/** Returns the records of a job whose first step waits in quarantine. */
export function recordsOfSuspect(
  offset: number,
  request: JobRequest,
  workerCrashes: number,
): readonly StoredServiceRecord[] {
  return recordsOfTask(offset, request, { lastRun: workerCrashes, workerCrashes, isQuarantined: true });
}

export function runningOn(harness: ServiceHarness, workerId: string): readonly RunningReport[] {
  const worker = harness.state().workers.get(workerId);
  if (worker === undefined || worker.isTerminated) return [];
  return [...runsOnWorker(harness.state(), worker)]
    .filter(([, { startedAt }]) => startedAt !== null)
    .map(([task, { run }]) => ({ task, run, checkpoint: '', percent: 100, load: null }));
}

/** Plays rounds in which every worker confirms its starts and reports that all its runs go on. */
export function play(harness: ServiceHarness, milliseconds: number): void {
  for (let elapsed = 0; elapsed < milliseconds; elapsed += ROUND_MILLISECONDS) {
    harness.advance(ROUND_MILLISECONDS);
    harness.confirmStarts();
    for (const { isTerminated, listing } of harness.state().workers.values()) {
      if (!isTerminated) harness.report(listing.workerId, { running: runningOn(harness, listing.workerId) });
    }
  }
}

export function taskOf(harness: ServiceHarness, jobId: string, index = 0) {
  return harness.state().jobs.get(jobId)?.occurrences.get(0)?.steps[0]?.tasks[index];
}

export function countRuns(harness: ServiceHarness, jobId: string, index = 0): number | undefined {
  return taskOf(harness, jobId, index)?.runs.length;
}

/** Lists the hosts of the known workers; those of the workers that have ended run none. */
export function listHosts(
  harness: ServiceHarness,
  endedWorkerIds: readonly string[],
  state: HostListing['state'] = 'up',
): void {
  harness.advance(1);
  const hosts = [...harness.state().workers.values()].map(
    ({ listing: { workerId, hostId, rack } }): HostListing => ({
      hostId,
      pool: 'quotes',
      state,
      dataCentre: 'west',
      rack,
      capacity: CAPACITY,
      workerId: endedWorkerIds.includes(workerId) ? null : workerId,
    }),
  );
  harness.dispatch({ kind: 'hosts-listed', hosts, askedAt: harness.state().now });
}
