/**
 * Forwards jobs to the services that schedule them. The inbox of a queue's home takes all jobs of the queue, so that its
 * owner alone decides whether a job is new; a job that names another service is recorded here and then sent there.
 */
import type { JobRequest } from '../model/job.js';
import type { ServiceRecord } from '../model/records.js';
import { keepFirstSubmission } from './jobs.js';
import type { ServiceStep } from '../state/effect.js';
import type { ServiceEventOf } from '../state/event.js';
import type { ForwardedJob, ForwardingState } from '../state/forwarding-state.js';
import { unsentJob } from '../state/forwarding-state.js';
import type { ServiceState } from '../state/service-state.js';
import { updateService } from '../state/update.js';

/** Time between two requests to other services for the jobs that they no longer know. */
const REVIEW_INTERVAL_MILLISECONDS = 30_000;

/** Maximum number of forwarded jobs that go into one batch of records. */
const FORWARDS_PER_BATCH = 100;

function updateForwarding(state: ServiceState, changes: Partial<ForwardingState>): ServiceState {
  return updateService(state, { forwarding: { ...state.forwarding, ...changes } });
}

function setForwardedJob(state: ServiceState, jobId: string, job: ForwardedJob): ServiceState {
  const { jobs, unrecordedJobIds } = state.forwarding;
  return updateForwarding(state, {
    jobs: jobs.set(jobId, job),
    unrecordedJobIds: unrecordedJobIds.add(jobId),
  });
}

function* forwardCancellation(jobId: string, { service }: ForwardedJob): ServiceStep<void> {
  yield { kind: 'forward-cancellation', jobId, service };
}

/** Adds a job that names another service. A second acceptance of the same job is ignored. */
export function* forwardJob(state: ServiceState, request: JobRequest): ServiceStep<ServiceState> {
  const { jobId, service, queue } = request;
  const known = state.jobs.get(jobId);
  if (known !== undefined) yield* keepFirstSubmission(known, request);
  if (known !== undefined || state.forwarding.jobs.has(jobId)) return state;
  yield { kind: 'log', decision: 'jobForwarded', fields: { jobId, queue, to: service } };
  const job = unsentJob(request, service);
  const added = setForwardedJob(state, jobId, job);
  if (!state.earlyCancels.has(jobId)) return added;
  yield* forwardCancellation(jobId, job);
  return updateService(added, { earlyCancels: state.earlyCancels.remove(jobId) });
}

/** Passes the cancellation of a forwarded job on; the service applies it even if it arrives before the job. */
export function* cancelForwardedJob(state: ServiceState, jobId: string): ServiceStep<ServiceState> {
  const job = state.forwarding.jobs.get(jobId);
  if (job !== undefined) yield* forwardCancellation(jobId, job);
  return state;
}

/** The forwarded jobs that a batch records. */
export interface ForwardBatch {
  readonly jobIds: readonly string[];
  readonly records: readonly ServiceRecord[];
}

/** Returns the next forwarded jobs to record. */
export function nextForwardBatch({ forwarding }: ServiceState): ForwardBatch {
  const jobIds = forwarding.unrecordedJobIds.take(FORWARDS_PER_BATCH).toArray();
  const records = jobIds.flatMap((jobId): readonly ServiceRecord[] => {
    const job = forwarding.jobs.get(jobId);
    if (job === undefined) return [];
    return [{ kind: 'job-forwarded', jobId, service: job.service, isSent: job.sentAt !== null }];
  });
  return { jobIds, records };
}

/** Marks forwarded jobs as part of the append in flight. */
export function markForwardsInFlight(state: ServiceState, jobIds: readonly string[]): ServiceState {
  if (jobIds.length === 0) return state;
  return updateForwarding(state, {
    unrecordedJobIds: state.forwarding.unrecordedJobIds.subtract(jobIds),
  });
}

/** Sends forwarded jobs once they are recorded, so that a next owner cannot send them to yet another service. */
export function* sendRecordedJobs(state: ServiceState, jobIds: readonly string[]): ServiceStep<void> {
  for (const jobId of jobIds) {
    const request = state.forwarding.jobs.get(jobId)?.request ?? null;
    if (request !== null) yield { kind: 'forward-job', request };
  }
}

/** Marks a job as held by the inbox of its service. */
export function handleJobForwarded(
  state: ServiceState,
  { jobId }: ServiceEventOf<'job-forwarded'>,
): ServiceState {
  const job = state.forwarding.jobs.get(jobId);
  if (job === undefined || job.sentAt !== null) return state;
  return setForwardedJob(state, jobId, { ...job, request: null, sentAt: state.now });
}

/** Forgets forwarded jobs that their service no longer knows. */
export function* handleJobsUnknown(
  state: ServiceState,
  { service, jobIds }: ServiceEventOf<'jobs-unknown'>,
): ServiceStep<ServiceState> {
  const { jobs, unrecordedJobIds } = state.forwarding;
  const forgotten = jobIds.filter((jobId) => jobs.get(jobId)?.service === service);
  for (const jobId of forgotten) {
    yield { kind: 'log', decision: 'jobForgotten', fields: { jobId, phase: 'forwarded' } };
  }
  const next = updateForwarding(state, {
    jobs: jobs.deleteAll(forgotten),
    unrecordedJobIds: unrecordedJobIds.subtract(forgotten),
  });
  return updateService(next, {
    forgottenJobs: next.forgottenJobs.merge(forgotten.map((jobId) => [jobId, []])),
  });
}

/** Asks other services from time to time which jobs they no longer know, so that these can be forgotten here. */
export function* reviewForwardedJobs(state: ServiceState): ServiceStep<ServiceState> {
  const { jobs, reviewedAt } = state.forwarding;
  if (jobs.isEmpty() || state.now - reviewedAt < REVIEW_INTERVAL_MILLISECONDS) return state;
  // No service forgets a job earlier, and until it has the job it would answer that it does not know it.
  const sentBefore = state.now - state.parameters.statusRetentionMilliseconds;
  const due = jobs.filter(({ sentAt }) => sentAt !== null && sentAt < sentBefore);
  for (const [service, ofService] of due.groupBy(({ service: name }) => name)) {
    yield { kind: 'find-unknown-jobs', service, jobIds: [...ofService.keys()] };
  }
  return updateForwarding(state, { reviewedAt: state.now });
}

/** Restores a forwarded job. One that may not have been sent is recorded and sent again; its service ignores a repeat. */
export function restoreForwardedJob(
  state: ServiceState,
  request: JobRequest,
  service: string,
  isSent: boolean,
): ServiceState {
  const { jobId } = request;
  const { forwarding } = state;
  const unsent = unsentJob(request, service);
  const job: ForwardedJob = isSent ? { ...unsent, request: null, sentAt: state.now } : unsent;
  const unrecordedJobIds = isSent ? forwarding.unrecordedJobIds : forwarding.unrecordedJobIds.add(jobId);
  return updateService(state, {
    forwarding: { ...forwarding, jobs: forwarding.jobs.set(jobId, job), unrecordedJobIds },
  });
}
