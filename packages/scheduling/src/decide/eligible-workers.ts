/** Room on workers while tasks are placed on them one after the other. */
import {
  fits,
  maximumResources,
  NO_RESOURCES,
  subtractResources,
  type Resources,
} from '../model/resources.js';
import type { ServiceState, WorkerState } from '../service/state.js';
import { freeCapacityOf, isEligible } from './eligibility.js';

/** Workers that tasks may be placed on, with what is free on each. */
export interface EligibleWorkers {
  readonly workers: readonly WorkerState[];
  /** Free room by worker; shrinks as tasks are placed. */
  readonly freeCapacity: Map<string, Resources>;
  /** No worker had more of anything free when the placing began. */
  readonly maximumFreeCapacity: Resources;
}

function eligibleWorkersOf(
  workers: readonly WorkerState[],
  freeCapacity: Map<string, Resources>,
): EligibleWorkers {
  const free = workers.map((worker) => freeCapacityOn(freeCapacity, worker));
  return { workers, freeCapacity, maximumFreeCapacity: free.reduce(maximumResources, NO_RESOURCES) };
}

function freeCapacityOn(freeCapacity: ReadonlyMap<string, Resources>, { listing }: WorkerState): Resources {
  return freeCapacity.get(listing.workerId) ?? NO_RESOURCES;
}

function filterEligible(state: ServiceState, known: readonly WorkerState[]): EligibleWorkers {
  const workers = known.filter((worker) => isEligible(state, worker));
  const freeCapacity = new Map(workers.map((worker) => [worker.listing.workerId, freeCapacityOf(worker)]));
  return eligibleWorkersOf(workers, freeCapacity);
}

/** Every worker that may get tasks. */
export function allEligibleWorkers(state: ServiceState): EligibleWorkers {
  return filterEligible(state, [...state.workers.values()]);
}

/** Those of some workers that may get tasks. */
export function eligibleWorkersAmong(state: ServiceState, workerIds: Iterable<string>): EligibleWorkers {
  return filterEligible(
    state,
    [...workerIds].flatMap((workerId) => state.workers.get(workerId) ?? []),
  );
}

/** Fewer of the same eligible, which share their room. */
export function narrowEligibleWorkers(
  { workers, freeCapacity }: EligibleWorkers,
  workerIds: ReadonlySet<string>,
): EligibleWorkers {
  return eligibleWorkersOf(
    workers.filter(({ listing }) => workerIds.has(listing.workerId)),
    freeCapacity,
  );
}

/** The same eligible for a trial, which may be given up. */
export function copyEligibleWorkers({
  workers,
  freeCapacity,
  maximumFreeCapacity,
}: EligibleWorkers): EligibleWorkers {
  return { workers, freeCapacity: new Map(freeCapacity), maximumFreeCapacity };
}

/** Whether a worker has room. */
export function hasCapacity(eligible: EligibleWorkers, worker: WorkerState, needs: Resources): boolean {
  return fits(needs, freeCapacityOn(eligible.freeCapacity, worker));
}

/** Whether any worker has room; most often what is free at all already tells that none has. */
export function hasCapacityOnAny(eligible: EligibleWorkers, needs: Resources): boolean {
  return (
    fits(needs, eligible.maximumFreeCapacity) &&
    eligible.workers.some((worker) => hasCapacity(eligible, worker, needs))
  );
}

/** Thousandths of a core that are free on a worker. */
export function freeMilliCoresOn(eligible: EligibleWorkers, worker: WorkerState): number {
  return freeCapacityOn(eligible.freeCapacity, worker).milliCores;
}

/** Takes room of a worker. */
export function reserveCapacity(
  { freeCapacity }: EligibleWorkers,
  worker: WorkerState,
  needs: Resources,
): void {
  freeCapacity.set(worker.listing.workerId, subtractResources(freeCapacityOn(freeCapacity, worker), needs));
}
