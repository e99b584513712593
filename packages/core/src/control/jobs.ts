/** Controllers place jobs on hosts under leases, and fence leases that ended. */
import type { Step } from '../effect.js';
import type { EventOf, TaskListing } from '../event.js';
import { hasQuota, hasRoom } from '../fold/allocations.js';
import type { FleetState, Host, Job } from '../fold/fold-state.js';
import { isAbsent } from '../fold/set-host.js';
import type { State } from '../state.js';
import { selectOwnPools } from './members.js';
import { propose } from './propose.js';

/** Jobs that one controller places in one step. */
const PLACEMENTS_PER_STEP = 50;

function findHost(fleet: FleetState, job: Job): Host | null {
  const hostIds = fleet.pools.get(job.request.pool)?.hostIds ?? [];
  for (const hostId of hostIds) {
    const host = fleet.hosts.get(hostId);
    if (host !== undefined && !isAbsent(host) && hasRoom(fleet, host, job.request)) return host;
  }
  return null;
}

function placedJobs(fleet: FleetState, pool: string): readonly Job[] {
  return [...fleet.jobs.values()].filter((job) => job.status.kind === 'placed' && job.request.pool === pool);
}

/** A lease whose job gives way to urgent work: the smallest that is large enough. */
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

/** Places the jobs that wait in this controller's pools. */
export function* placeJobs(state: State, ownPools: ReadonlyMap<string, number>): Step<State> {
  let current = state;
  for (const job of selectWaiting(state, ownPools)) {
    const epoch = ownPools.get(job.request.pool);
    if (epoch !== undefined) current = yield* place(current, job, epoch);
  }
  return current;
}

/** Asks the jobs of hosts that drain to leave. */
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

function* judgeTask(state: State, task: TaskListing): Step<State> {
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

/** The platform listed its tasks: ends are recorded, missing tasks started and fenced ones stopped. */
export function* handleTasks(state: State, event: EventOf<'tasks-read'>): Step<State> {
  let current = state;
  for (const task of event.tasks) {
    current = yield* judgeTask(current, task);
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
