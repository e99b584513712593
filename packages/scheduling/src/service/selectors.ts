/** Values derived from a service's state. */
import type { JobStatus } from '../model/job.js';
import { statusOf } from './jobs.js';
import type { ServiceState } from './state.js';

/** What callers are told of a job; null for one that is not known. */
export function selectJobStatus(state: ServiceState, queue: string, jobId: string): JobStatus | null {
  const job = state.jobs.get(jobId);
  return job === undefined || job.request.queue !== queue ? null : statusOf(job);
}

/** Accepted jobs of a queue none of whose tasks has started. */
export function selectPendingCount(state: ServiceState, queue: string): number {
  return state.activeJobIds.count((jobId) => {
    const job = state.jobs.get(jobId);
    return job !== undefined && job.request.queue === queue && job.phase === 'active' && !job.hasStarted;
  });
}
