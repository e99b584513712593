/** Selects values for callers from a service's state. */
import type { JobStatus } from '../model/job.js';
import { statusOf } from './jobs.js';
import type { ServiceState } from './state.js';

/** Returns the status of a job as callers see it; null if the queue has no such job. */
export function selectJobStatus(state: ServiceState, queue: string, jobId: string): JobStatus | null {
  const job = state.jobs.get(jobId);
  return job === undefined || job.request.queue !== queue ? null : statusOf(job);
}

/** Counts the active jobs of a queue that have no started task. */
export function selectPendingCount(state: ServiceState, queue: string): number {
  return state.activeJobIds.count((jobId) => {
    const job = state.jobs.get(jobId);
    return job !== undefined && job.request.queue === queue && job.phase === 'active' && !job.hasStarted;
  });
}
