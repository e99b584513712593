/** Places jobs on hosts under leases, and stops tasks whose lease is no longer current. */
import type { Step } from '../effect.js';
import type { EventOf, TaskListing } from '../event.js';
import { hasQuota, hasCapacity } from '../fold/allocations.js';
import type { FleetState, Host, Job } from '../fold/fold-state.js';
import { isAbsent } from '../fold/set-host.js';
import type { State } from '../state.js';
import { selectOwnPools } from './members.js';
import { propose } from './propose.js';

/** Maximum number of jobs that one controller considers for placement in one step. */
const PLACEMENTS_PER_STEP = 50;

function findHost(fleet: FleetState, job: Job): Host | null {
  const hostIds = fleet.pools.get(job.request.pool)?.hostIds ?? [];
  for (const hostId of hostIds) {
    const host = fleet.hosts.get(hostId);
    if (host !== undefined && !isAbsent(host) && hasCapacity(fleet, host, job.request)) return host;
  }
  return null;
}

function placedJobs(fleet: FleetState, pool: string): readonly Job[] {
  return [...fleet.jobs.values()].filter((job) => job.status.kind === 'placed' && job.request.pool === pool);
}

/** Selects a lease to preempt for an urgent job: the one with the fewest cores whose resources suffice. */
function findLeaseToPreempt(fleet: FleetState, urgent: Job): string | null {
  const candidates = placedJobs(fleet, urgent.request.pool)
    .filter((job) => !job.request.urgent && job.request.cores >= urgent.request.cores)
    .filter((job) => job.request.accelerators >= urgent.request.accelerators)
    .filter((job) => job.request.memoryGigabytes >= urgent.request.memoryGigabytes)
    .sort((left, right) => left.request.cores - right.request.cores);
  const status = candidates[0]?.status;
  return status?.kind === 'placed' ? status.leaseId : null;
}

function selectWaiting(state: State, ownPools: ReadonlyMap<string, number>): readonly Job[] {
  const { fleet } = state.fold;
  const waiting = [...fleet.waitingJobs]
    .map((jobId) => fleet.jobs.get(jobId))
    .filter((job): job is Job => job !== undefined && ownPools.has(job.request.pool));
  const urgentFirst = [
    ...waiting.filter((job) => job.request.urgent),
    ...waiting.filter((job) => !job.request.urgent),
  ];
  return urgentFirst.slice(0, PLACEMENTS_PER_STEP);
}

function* place(state: State, job: Job, epoch: number): Step<State> {
  const { fleet } = state.fold;
  const { jobId } = job.request;
  if (!hasQuota(fleet, job.request)) return state;
  const host = findHost(fleet, job);
  if (host !== null) {
    const leaseId = `${jobId}.${job.placements + 1}`;
    const body = { kind: 'job-placed', jobId, hostId: host.hostId, leaseId, epoch } as const;
    return yield* propose(state, `place/${jobId}`, body);
  }
  const leaseId = job.request.urgent ? findLeaseToPreempt(fleet, job) : null;
  if (leaseId !== null) yield { kind: 'checkpoint-task', leaseId };
  return state;
}

/** Places waiting jobs of this controller's pools, urgent jobs first. */
export function* placeJobs(state: State, ownPools: ReadonlyMap<string, number>): Step<State> {
  let current = state;
  for (const job of selectWaiting(state, ownPools)) {
    const epoch = ownPools.get(job.request.pool);
    if (epoch !== undefined) current = yield* place(current, job, epoch);
  }
  return current;
}

/** Requests a checkpoint of every task on a draining host, so that its job is requeued. */
export function* checkpointOnDrain(state: State, ownPools: ReadonlyMap<string, number>): Step<void> {
  const { fleet } = state.fold;
  for (const pool of ownPools.keys()) {
    for (const job of placedJobs(fleet, pool)) {
      if (job.status.kind !== 'placed') continue;
      const host = fleet.hosts.get(job.status.hostId);
      if (host !== undefined && host.duty.kind === 'draining') {
        yield { kind: 'checkpoint-task', leaseId: job.status.leaseId };
      }
    }
  }
}

function* evaluateTask(state: State, task: TaskListing): Step<State> {
  const job = state.fold.fleet.jobs.get(task.jobId);
  if (job === undefined) return state;
  const epoch = selectOwnPools(state).get(job.request.pool);
  if (epoch === undefined) return state;
  const current = job.status.kind === 'placed' && job.status.leaseId === task.leaseId;
  if (task.state === 'running') {
    if (!current) yield { kind: 'stop-task', leaseId: task.leaseId };
    return state;
  }
  if (!current) return state;
  const body = {
    kind: 'job-ended',
    jobId: task.jobId,
    leaseId: task.leaseId,
    end: task.state,
    epoch,
  } as const;
  return yield* propose(state, `end/${task.leaseId}`, body);
}

/** Processes the platform's task list: records ended tasks, starts missing ones and stops those with an outdated lease. */
export function* handleTasks(state: State, event: EventOf<'tasks-read'>): Step<State> {
  let current = state;
  for (const task of event.tasks) {
    current = yield* evaluateTask(current, task);
  }
  const listed = new Set(event.tasks.map((task) => task.leaseId));
  for (const pool of selectOwnPools(state).keys()) {
    for (const { request, status } of placedJobs(state.fold.fleet, pool)) {
      if (status.kind !== 'placed' || listed.has(status.leaseId)) continue;
      yield { kind: 'start-task', hostId: status.hostId, leaseId: status.leaseId, job: request };
    }
  }
  return current;
}
