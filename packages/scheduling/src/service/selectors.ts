/** Selects values for callers from a service's state. */
import type { JobStatus } from '../model/job.js';
import { isJobOfQueue, isSameQueue, type QueueReference } from '../model/queue.js';
import { statusOf } from './jobs.js';
import type { Instant } from '../model/instant.js';
import type { ServiceState } from '../state/service-state.js';

/** Longest time since the inbox was read for which a count of pending jobs is given out. */
const COUNT_VALIDITY_MILLISECONDS = 2_000;

/**
 * Whether a known job belongs to another workspace than the caller's. Anybody may see a job that was submitted without a
 * key, and a caller whose call needs no key may see every job.
 */
export function isJobOfOtherWorkspace(state: ServiceState, jobId: string, workspace: string | null): boolean {
  const owner =
    state.jobs.get(jobId)?.request.workspace ?? state.forwarding.jobs.get(jobId)?.workspace ?? null;
  return workspace !== null && owner !== null && owner !== workspace;
}

/**
 * Returns the status of a job as callers see it; null if the queue has no such job or it belongs to another workspace
 * than the caller's. `workspace` is null if the call needs no key.
 */
export function selectJobStatus(
  state: ServiceState,
  queue: QueueReference,
  jobId: string,
  workspace: string | null = null,
): JobStatus | null {
  const job = state.jobs.get(jobId);
  if (job === undefined || !isJobOfQueue(job.request, queue)) return null;
  return isJobOfOtherWorkspace(state, jobId, workspace) ? null : statusOf(job);
}

/** Where a job is that was submitted to this service's inbox and is scheduled by another service. */
export type ForwardedTo =
  | { readonly kind: 'sent'; readonly service: string }
  /** The inbox of the other service does not hold the job yet. */
  | { readonly kind: 'sending' };

/** Returns where a forwarded job of a queue is; null if no such job was forwarded. */
export function selectForwardedTo(
  state: ServiceState,
  queue: QueueReference,
  jobId: string,
  workspace: string | null,
): ForwardedTo | null {
  const job = state.forwarding.jobs.get(jobId);
  if (job === undefined || !isSameQueue(job.queue, queue)) return null;
  if (isJobOfOtherWorkspace(state, jobId, workspace)) return null;
  return job.sentAt === null ? { kind: 'sending' } : { kind: 'sent', service: job.service };
}

/** Returns the services to which jobs of a queue were forwarded, as far as these may still know them. */
export function selectForwardingTargets(state: ServiceState, queue: QueueReference): readonly string[] {
  const ofQueue = state.forwarding.jobs.filter((job) => isSameQueue(job.queue, queue));
  return [...new Set(ofQueue.map(({ service }) => service).values())];
}

/** Returns why a job has failed, once its end is stored; null if it has not, or if that is not known. */
export function selectFailureReason(state: ServiceState, jobId: string): string | null {
  const job = state.jobs.get(jobId);
  return job?.recordedPhase === 'failed' ? job.failureReason : null;
}

/**
 * Counts the active jobs of a queue of which no worker has started a task, and those on their way to another service;
 * null if the inbox was last read too long before `now` to know.
 */
export function selectPendingCount(state: ServiceState, queue: QueueReference, now: Instant): number | null {
  if (now - state.inboxReadAt > COUNT_VALIDITY_MILLISECONDS) return null;
  const unsent = state.forwarding.jobs.count((job) => job.sentAt === null && isSameQueue(job.queue, queue));
  const waiting = state.activeJobIds.count((jobId) => {
    const job = state.jobs.get(jobId);
    return job !== undefined && isJobOfQueue(job.request, queue) && job.phase === 'active' && !job.hasStarted;
  });
  return waiting + unsent;
}
