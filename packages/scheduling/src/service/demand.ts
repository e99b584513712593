/** What a service tells the owner of the fleet: how loaded it is, and how far its wanted hosts are. */
import type { JobRequest, StepRequest } from '../model/job.js';
import { candidatesOf, type Candidate } from '../decide/room.js';
import { countFitting, type Resources } from '../model/resources.js';
import { selectRelease, type ReleaseProgress } from './release.js';
import type { Instant, ServiceState, StepState, WorkerState } from './state.js';
import { roomOf, runsOn, stepRequestOf } from './tasks.js';

/** Work that arrived with one job. */
export interface Arrival {
  readonly at: Instant;
  /** Thousandths of a core times milliseconds, by the caller's estimates. */
  readonly work: number;
}

/** How one host of a service is used. */
export interface HostLoad {
  readonly hostId: string;
  /** The worker that the rest is about; its host may run another by now. */
  readonly workerId: string;
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
  /** The fewest hosts on which its lasting tasks and its gangs can be spread as they ask. */
  readonly leastHosts: number;
  /** Further hosts without which gangs or lasting tasks that wait find no place. */
  readonly missingHosts: number;
}

/** Time over which arrivals are averaged. */
const ARRIVAL_WINDOW_MILLISECONDS = 2_000;

/** A shorter time, which shows a burst sooner; its average counts once it holds enough arrivals to be trusted. */
const BURST_WINDOW_MILLISECONDS = 600;
const BURST_ARRIVALS = 4;

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

function sumWork(arrivals: readonly Arrival[]): number {
  return arrivals.reduce((sum, { work }) => sum + work, 0);
}

/** Thousandths of a core that the arrivals of the last moments keep busy, were they to go on. */
export function offeredMilliCores(arrivals: readonly Arrival[], now: Instant): number {
  const average = sumWork(trimArrivals(arrivals, now)) / ARRIVAL_WINDOW_MILLISECONDS;
  const latest = arrivals.filter(({ at }) => at >= now - BURST_WINDOW_MILLISECONDS);
  const burst = latest.length < BURST_ARRIVALS ? 0 : sumWork(latest) / BURST_WINDOW_MILLISECONDS;
  return Math.max(average, burst);
}

function isLastingTask(state: ServiceState, jobId: string, step: number): boolean {
  const job = state.jobs.get(jobId);
  return job !== undefined && stepRequestOf(job.request, step).isLasting;
}

function loadOf(state: ServiceState, worker: WorkerState): HostLoad {
  const { hostId, workerId } = worker.listing;
  const runs = [...runsOn(state, worker)];
  const isReleasing =
    worker.hold.kind === 'leaving' || state.releasedWorkers.get(workerId) === worker.listing.incarnation;
  return {
    hostId,
    workerId,
    committedMilliCores: worker.committed.milliCores,
    taskCount: runs.length,
    lastingCount: runs.filter(([key]) => isLastingTask(state, key.jobId, key.step)).length,
    isSound: worker.isListed && worker.isHeld && worker.silentSince === null && !worker.listing.isDraining,
    release: isReleasing ? selectRelease(state, worker) : null,
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

function leastHostsOf({ isLasting, isGang, taskCount, maximumPerWorker }: StepRequest): number {
  const needsAllAtOnce = isLasting || isGang;
  return needsAllAtOnce && maximumPerWorker !== null ? Math.ceil(taskCount / maximumPerWorker) : 0;
}

function leastHosts(state: ServiceState): number {
  const steps = [...state.activeJobIds].flatMap((jobId) => {
    const job = state.jobs.get(jobId);
    return job?.phase === 'active' ? job.request.steps : [];
  });
  return Math.max(0, ...steps.map(leastHostsOf));
}

/** Hosts that a step lacks whose tasks must all find a place; 0 for steps whose tasks can wait for one another. */
function missingHostsOf(
  state: ServiceState,
  request: StepRequest,
  step: StepState,
  room: readonly Candidate[],
): number {
  const mustFindPlace = (request.isGang || request.isLasting) && step.readySince !== null;
  if (!mustFindPlace || step.waitingCount === 0) return 0;
  const limit = request.maximumPerWorker ?? Infinity;
  const placesOn = (free: Resources): number => Math.min(limit, countFitting(roomOf(request), free));
  const places = room.reduce((sum, candidate) => sum + placesOn(candidate.room), 0);
  const lacking = step.waitingCount - places;
  const [first] = state.workers.values();
  const perHost = first === undefined ? 1 : Math.max(1, placesOn(first.listing.capacity));
  return lacking <= 0 ? 0 : Math.ceil(lacking / perHost);
}

function missingHosts(state: ServiceState): number {
  const room = candidatesOf(state);
  let most = 0;
  for (const jobId of state.activeJobIds) {
    const job = state.jobs.get(jobId);
    for (const { steps } of job?.phase === 'active' ? job.occurrences.values() : []) {
      for (const [index, step] of steps.entries()) {
        const request = job?.request.steps[index];
        if (request !== undefined) most = Math.max(most, missingHostsOf(state, request, step, room));
      }
    }
  }
  return most;
}

/** The report of the service as of now. */
export function selectServiceReport(state: ServiceState): ServiceReport {
  return {
    service: state.service,
    hosts: [...state.workers.values()]
      .filter((worker) => !worker.isGone)
      .map((worker) => loadOf(state, worker)),
    waitingMilliCores: waitingMilliCores(state),
    lastingMilliCores: lastingMilliCores(state),
    offeredMilliCores: offeredMilliCores(state.arrivals, state.now),
    leastHosts: leastHosts(state),
    missingHosts: missingHosts(state),
  };
}
