/** Folds jobs: submission, placement under a lease, and end. */
import type { JobEnd, JobRequest } from '@baobabdeck/types';
import { canEverHold, changeAllocation, hasQuota, hasCapacity } from './allocations.js';
import type { FleetState, Job } from './fold-state.js';
import { accept, reject, type FoldResult, type LoggedRecord } from './fold-step.js';
import { recordDecision, subjectKey } from './history.js';
import { hasControl } from './members.js';
import { isAbsent } from './set-host.js';

/** Ends after which a repeatable job is requeued. */
const RETRIED_ENDS: ReadonlySet<JobEnd> = new Set(['failed', 'lapsed']);

/** Maximum number of placements of a job that keeps failing. */
const MAXIMUM_PLACEMENTS = 5;

function canRunSomewhere(fleet: FleetState, job: JobRequest): boolean {
  const hostIds = fleet.pools.get(job.pool)?.hostIds;
  if (hostIds === undefined) return false;
  return hostIds.some((hostId) => {
    const host = fleet.hosts.get(hostId);
    return host !== undefined && canEverHold(fleet, host, job);
  });
}

function fitsQuotaAlone(fleet: FleetState, job: JobRequest): boolean {
  const team = fleet.configuration.teams.get(job.team);
  return team !== undefined && job.cores <= team.coresQuota && job.accelerators <= team.acceleratorsQuota;
}

/** Folds a submission; a job that can never run is rejected with the reason. */
export function foldJobSubmitted(
  fleet: FleetState,
  { body, offset, record }: LoggedRecord<'job-submitted'>,
): FoldResult {
  const { job } = body;
  if (fleet.jobs.has(job.jobId)) return reject('duplicateSubject', `Job '${job.jobId}' exists already`);
  if (!fleet.configuration.teams.has(job.team)) {
    return reject('unknownTeam', `Expected a configured team, found '${job.team}'`);
  }
  if (!fleet.configuration.pools.has(job.pool)) {
    return reject('unknownPool', `Expected a configured pool, found '${job.pool}'`);
  }
  if (!canRunSomewhere(fleet, job)) {
    return reject(
      'jobCanNeverRun',
      `No host of pool '${job.pool}' has ${job.cores} cores, ${job.accelerators} accelerators and ${job.memoryGigabytes} GB; ask for less or another pool`,
    );
  }
  if (!fitsQuotaAlone(fleet, job)) {
    return reject('jobCanNeverRun', `The job is larger than the whole quota of team '${job.team}'`);
  }
  const entry: Job = { request: job, status: { kind: 'waiting', since: record.issuedAt }, placements: 0 };
  const submitted = {
    ...fleet,
    jobs: fleet.jobs.set(job.jobId, entry),
    waitingJobs: fleet.waitingJobs.add(job.jobId),
  };
  return accept(
    recordDecision(
      submitted,
      subjectKey('job', job.jobId),
      record,
      offset,
      `Submitted by ${record.issuer} for team '${job.team}'`,
    ),
  );
}

/** Folds a placement: one lease at a time, on an in-service host of the pool with enough free capacity. */
export function foldJobPlaced(
  fleet: FleetState,
  { body, offset, record }: LoggedRecord<'job-placed'>,
): FoldResult {
  const job = fleet.jobs.get(body.jobId);
  if (job === undefined) return reject('unknownJob', `Expected a job, found '${body.jobId}'`);
  if (job.status.kind !== 'waiting') {
    return reject('jobStateMismatch', `Expected a waiting job, found it ${job.status.kind}`);
  }
  const host = fleet.hosts.get(body.hostId);
  if (host === undefined) return reject('unknownHost', `Expected a configured host, found '${body.hostId}'`);
  if (host.pool !== job.request.pool || isAbsent(host)) {
    return reject('hostNotInService', `Host '${host.hostId}' does not serve pool '${job.request.pool}' now`);
  }
  if (!hasControl(fleet, host.pool, record.issuer, body.epoch)) {
    return reject(
      'staleEpoch',
      `'${record.issuer}' does not control pool '${host.pool}' with epoch ${body.epoch}`,
    );
  }
  if (!hasCapacity(fleet, host, job.request)) {
    return reject('hostFull', `Host '${host.hostId}' has no room for job '${body.jobId}'`);
  }
  if (!hasQuota(fleet, job.request)) {
    return reject('quotaExhausted', `Team '${job.request.team}' has used its quota`);
  }
  const status = { kind: 'placed', hostId: host.hostId, leaseId: body.leaseId, at: record.issuedAt } as const;
  const placed = {
    ...changeAllocation(fleet, job.request, host.hostId, 1),
    jobs: fleet.jobs.set(body.jobId, { ...job, status, placements: job.placements + 1 }),
    waitingJobs: fleet.waitingJobs.remove(body.jobId),
  };
  return accept(
    recordDecision(
      placed,
      subjectKey('job', body.jobId),
      record,
      offset,
      `Placed on host '${host.hostId}' under lease ${body.leaseId}`,
    ),
  );
}

function shouldRequeue(job: Job, end: JobEnd): boolean {
  if (end === 'checkpointed') return true;
  return RETRIED_ENDS.has(end) && job.request.repeatable && job.placements < MAXIMUM_PLACEMENTS;
}

function release(fleet: FleetState, job: Job): FleetState {
  if (job.status.kind !== 'placed') {
    return { ...fleet, waitingJobs: fleet.waitingJobs.remove(job.request.jobId) };
  }
  return changeAllocation(fleet, job.request, job.status.hostId, -1);
}

/** Folds the end of a lease: the job is requeued if it may run again. */
export function foldJobEnded(
  fleet: FleetState,
  { body, offset, record }: LoggedRecord<'job-ended'>,
): FoldResult {
  const job = fleet.jobs.get(body.jobId);
  if (job === undefined) return reject('unknownJob', `Expected a job, found '${body.jobId}'`);
  if (job.status.kind !== 'placed' || job.status.leaseId !== body.leaseId) {
    return reject('jobStateMismatch', `Job '${body.jobId}' does not run under lease ${body.leaseId}`);
  }
  if (!hasControl(fleet, job.request.pool, record.issuer, body.epoch)) {
    return reject(
      'staleEpoch',
      `'${record.issuer}' does not control pool '${job.request.pool}' with epoch ${body.epoch}`,
    );
  }
  const isRequeued = shouldRequeue(job, body.end);
  const status = isRequeued
    ? ({ kind: 'waiting', since: record.issuedAt } as const)
    : ({ kind: 'ended', end: body.end, at: record.issuedAt } as const);
  const released = release(fleet, job);
  const ended = {
    ...released,
    jobs: released.jobs.set(body.jobId, { ...job, status }),
    waitingJobs: isRequeued ? released.waitingJobs.add(body.jobId) : released.waitingJobs,
  };
  const text = isRequeued
    ? `Lease ${body.leaseId} ended as ${body.end}; waits for another worker`
    : `Ended as ${body.end}`;
  return accept(recordDecision(ended, subjectKey('job', body.jobId), record, offset, text));
}

/** Folds a cancellation; the resources of a placed job are released at this offset. */
export function foldJobCancelled(
  fleet: FleetState,
  { body, offset, record }: LoggedRecord<'job-cancelled'>,
): FoldResult {
  const job = fleet.jobs.get(body.jobId);
  if (job === undefined) return reject('unknownJob', `Expected a job, found '${body.jobId}'`);
  if (job.status.kind === 'ended') return reject('jobStateMismatch', `Job '${body.jobId}' has ended`);
  const released = release(fleet, job);
  const status = { kind: 'ended', end: 'cancelled', at: record.issuedAt } as const;
  const cancelled = { ...released, jobs: released.jobs.set(body.jobId, { ...job, status }) };
  return accept(
    recordDecision(cancelled, subjectKey('job', body.jobId), record, offset, `Cancelled by ${record.issuer}`),
  );
}
