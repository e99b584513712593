/** What a service tells the owner of the fleet: how loaded it is, and how far its wanted hosts are. */
import type { JobRequest } from '../model/job.js';
import { selectRelease, type ReleaseProgress } from './release.js';
import type { Instant, ServiceState, WorkerState } from './state.js';
import { stepRequestOf, runsOn } from './tasks.js';

/** Work that arrived with one job. */
export interface Arrival {
  readonly at: Instant;
  /** Thousandths of a core times milliseconds, by the caller's estimates. */
  readonly work: number;
}

/** How one host of a service is used. */
export interface HostLoad {
  readonly hostId: string;
  readonly committedMilliCores: number;
  readonly taskCount: number;
  readonly lastingCount: number;
  /** Whether its worker may get tasks, wishes aside. */
  readonly isSound: boolean;
  readonly release: ReleaseProgress | null;
}

/** The report of one service. */
export interface ServiceReport {
  readonly service: string;
  readonly hosts: readonly HostLoad[];
  /** Thousandths of a core that tasks wait for. */
  readonly waitingMilliCores: number;
  /** Thousandths of a core that lasting tasks take. */
  readonly lastingMilliCores: number;
  /** Thousandths of a core that the arrivals of the last seconds keep busy. */
  readonly offeredMilliCores: number;
  /** The fewest hosts on which its lasting tasks can be spread as they ask. */
  readonly leastHosts: number;
}

/** Time over which arrivals are averaged. */
const ARRIVAL_WINDOW_MILLISECONDS = 2_000;

/** Work of a job by its caller's estimates, lasting steps aside. */
export function workOf(request: JobRequest): number {
  return request.steps.reduce(
    (sum, step) =>
      step.isLasting ? sum : sum + step.taskCount * step.needs.milliCores * step.estimatedMilliseconds,
    0,
  );
}

/** The arrivals that still count. */
export function trimArrivals(arrivals: readonly Arrival[], now: Instant): readonly Arrival[] {
  const from = now - ARRIVAL_WINDOW_MILLISECONDS;
  const first = arrivals.findIndex((arrival) => arrival.at >= from);
  if (first === 0 || arrivals.length === 0) return arrivals;
  return first < 0 ? [] : arrivals.slice(first);
}

function isLastingTask(state: ServiceState, jobId: string, step: number): boolean {
  const job = state.jobs.get(jobId);
  return job !== undefined && stepRequestOf(job.request, step).isLasting;
}

function loadOf(state: ServiceState, worker: WorkerState): HostLoad {
  const { hostId } = worker.listing;
  const runs = [...runsOn(state, worker)];
  const isReleasing =
    worker.hold.kind === 'leaving' ||
    state.releasedWorkers.get(worker.listing.workerId) === worker.listing.incarnation;
  return {
    hostId,
    committedMilliCores: worker.committed.milliCores,
    taskCount: runs.length,
    lastingCount: runs.filter(([key]) => isLastingTask(state, key.jobId, key.step)).length,
    isSound: worker.isListed && worker.isHeld && worker.silentSince === null && !worker.listing.isDraining,
    release: isReleasing ? selectRelease(state, hostId) : null,
  };
}

function waitingMilliCores(state: ServiceState): number {
  let sum = 0;
  for (const jobId of state.activeJobIds) {
    const job = state.jobs.get(jobId);
    for (const { steps } of job?.phase === 'active' ? job.occurrences.values() : []) {
      for (const [index, step] of steps.entries()) {
        const request = job?.request.steps[index];
        if (request !== undefined && step.readySince !== null && !request.usesSpareCapacity) {
          sum += step.waitingCount * request.needs.milliCores;
        }
      }
    }
  }
  return sum;
}

function lastingMilliCores(state: ServiceState): number {
  let sum = 0;
  for (const jobId of state.activeJobIds) {
    const job = state.jobs.get(jobId);
    for (const step of job?.phase === 'active' ? job.request.steps : []) {
      if (step.isLasting && !step.usesSpareCapacity) sum += step.taskCount * step.needs.milliCores;
    }
  }
  return sum;
}

function leastHosts(state: ServiceState): number {
  let least = 0;
  for (const jobId of state.activeJobIds) {
    const job = state.jobs.get(jobId);
    for (const { isLasting, taskCount, maximumPerWorker } of job?.phase === 'active'
      ? job.request.steps
      : []) {
      if (isLasting && maximumPerWorker !== null) {
        least = Math.max(least, Math.ceil(taskCount / maximumPerWorker));
      }
    }
  }
  return least;
}

/** The report of the service as of now. */
export function selectServiceReport(state: ServiceState): ServiceReport {
  const arrived = trimArrivals(state.arrivals, state.now).reduce((sum, { work }) => sum + work, 0);
  return {
    service: state.service,
    hosts: [...state.workers.values()]
      .filter((worker) => !worker.isGone)
      .map((worker) => loadOf(state, worker)),
    waitingMilliCores: waitingMilliCores(state),
    lastingMilliCores: lastingMilliCores(state),
    offeredMilliCores: arrived / ARRIVAL_WINDOW_MILLISECONDS,
    leastHosts: leastHosts(state),
  };
}
