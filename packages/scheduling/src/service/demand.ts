/** What a service tells the owner of the fleet: how loaded it is, and how far its wanted hosts are. */
import type { JobRequest, StepRequest } from '../model/job.js';
import { candidatesOf, type Candidate } from '../decide/eligibility.js';
import { countFitting, type Resources } from '../model/resources.js';
import { selectRelease, type ReleaseProgress } from './release.js';
import type { Instant, JobState, ServiceState, StepState, WorkerState } from './state.js';
import { reservedResourcesOf, stepRequestOf } from '../model/step-needs.js';

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

function loadOf(state: ServiceState, worker: WorkerState): HostLoad {
  const { hostId, workerId } = worker.listing;
  const isReleasing =
    worker.hold.kind === 'leaving' || state.releasedWorkers.get(workerId) === worker.listing.incarnation;
  return {
    hostId,
    workerId,
    committedMilliCores: worker.committed.milliCores,
    taskCount: worker.tasks.size,
    lastingCount: worker.lastingCount,
    isSound: worker.isListed && worker.isHeld && worker.silentSince === null && !worker.listing.isDraining,
    release: isReleasing ? selectRelease(state, worker) : null,
  };
}

/** Active jobs with steps whose tasks must all run at once. */
function wholeJobs(state: ServiceState): readonly JobState[] {
  return [...state.wholeJobIds].flatMap((jobId) => state.jobs.get(jobId) ?? []);
}

function lastingMilliCores(state: ServiceState): number {
  const steps = wholeJobs(state).flatMap((job) => job.request.steps);
  return steps
    .filter((step) => step.isLasting && !step.usesSpareCapacity)
    .reduce((sum, step) => sum + step.taskCount * step.needs.milliCores, 0);
}

function leastHostsOf({ isLasting, isGang, taskCount, maximumPerWorker }: StepRequest): number {
  const needsAllAtOnce = isLasting || isGang;
  return needsAllAtOnce && maximumPerWorker !== null ? Math.ceil(taskCount / maximumPerWorker) : 0;
}

function leastHosts(state: ServiceState): number {
  const steps = wholeJobs(state).flatMap((job) => job.request.steps);
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
  const placesOn = (free: Resources): number =>
    Math.min(limit, countFitting(reservedResourcesOf(request), free));
  const places = room.reduce((sum, candidate) => sum + placesOn(candidate.freeCapacity), 0);
  const lacking = step.waitingCount - places;
  const [first] = state.workers.values();
  const perHost = first === undefined ? 1 : Math.max(1, placesOn(first.listing.capacity));
  return lacking <= 0 ? 0 : Math.ceil(lacking / perHost);
}

function missingHosts(state: ServiceState): number {
  const jobs = wholeJobs(state);
  if (jobs.length === 0) return 0;
  const room = candidatesOf(state);
  let most = 0;
  for (const { request, occurrences } of jobs) {
    for (const { steps } of occurrences.values()) {
      for (const [index, step] of steps.entries()) {
        most = Math.max(most, missingHostsOf(state, stepRequestOf(request, index), step, room));
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
    waitingMilliCores: state.waiting.total.milliCores,
    lastingMilliCores: lastingMilliCores(state),
    offeredMilliCores: offeredMilliCores(state.arrivals, state.now),
    leastHosts: leastHosts(state),
    missingHosts: missingHosts(state),
  };
}
