/** Tracks the free capacity of eligible workers while tasks are placed one after the other. */
import {
  fits,
  maximumResources,
  NO_RESOURCES,
  subtractResources,
  type Resources,
} from '../../model/resources.js';
import type { StepRequest } from '../../model/job.js';
import { reservedResourcesOf } from '../../model/step-needs.js';
import type { InterferenceState } from '../../state/interference-state.js';
import type { ServiceState, WorkerState } from '../../state/service-state.js';
import { createStartSlots, type StartSlots } from './start-slots.js';
import { freeCapacityOf, isEligible, isEligibleForOverdueTask } from './eligibility.js';

/** Workers that may get tasks, with the free capacity of each. */
export interface EligibleWorkers {
  readonly workers: readonly WorkerState[];
  /** Free capacity by worker id; shrinks as tasks are placed. */
  readonly freeCapacity: Map<string, Resources>;
  /** Upper bound of the free capacity of any worker, per resource; computed before any task is placed. */
  readonly maximumFreeCapacity: Resources;
  readonly interference: InterferenceState;
  /** Images of the tasks placed meanwhile, by worker id. */
  readonly placedImages: Map<string, readonly string[]>;
  /** Starts that may still begin on each worker. */
  readonly startSlots: StartSlots;
}

function eligibleWorkersOf(
  workers: readonly WorkerState[],
  freeCapacity: Map<string, Resources>,
  shared: Pick<EligibleWorkers, 'interference' | 'placedImages' | 'startSlots'>,
): EligibleWorkers {
  const free = workers.map((worker) => freeCapacityOn(freeCapacity, worker));
  const maximumFreeCapacity = free.reduce(maximumResources, NO_RESOURCES);
  return { workers, freeCapacity, maximumFreeCapacity, ...shared };
}

function freeCapacityOn(freeCapacity: ReadonlyMap<string, Resources>, { listing }: WorkerState): Resources {
  return freeCapacity.get(listing.workerId) ?? NO_RESOURCES;
}

/** Lowers the free capacity of workers by what is reserved on them for tasks that are being relocated. */
function subtractReservations({ reservations }: ServiceState, freeCapacity: Map<string, Resources>): void {
  for (const { workerId, needs } of reservations.values()) {
    const free = freeCapacity.get(workerId);
    if (free !== undefined) freeCapacity.set(workerId, subtractResources(free, needs));
  }
}

function filterEligible(
  state: ServiceState,
  known: readonly WorkerState[],
  mayTakeTask: (state: ServiceState, worker: WorkerState) => boolean = isEligible,
): EligibleWorkers {
  const workers = known.filter((worker) => mayTakeTask(state, worker));
  const freeCapacity = new Map(workers.map((worker) => [worker.listing.workerId, freeCapacityOf(worker)]));
  subtractReservations(state, freeCapacity);
  const { interference } = state;
  return eligibleWorkersOf(workers, freeCapacity, {
    interference,
    placedImages: new Map(),
    startSlots: createStartSlots(),
  });
}

/** Returns every worker that may get a lasting task that found no other worker for long. */
export function allWorkersForOverdueTask(state: ServiceState): EligibleWorkers {
  return filterEligible(state, [...state.workers.values()], isEligibleForOverdueTask);
}

/** Returns every worker of the service that may get tasks. */
export function allEligibleWorkers(state: ServiceState): EligibleWorkers {
  return filterEligible(state, [...state.workers.values()]);
}

/** Returns the workers among the given ids that may get tasks. */
export function eligibleWorkersAmong(state: ServiceState, workerIds: Iterable<string>): EligibleWorkers {
  return filterEligible(
    state,
    [...workerIds].flatMap((workerId) => state.workers.get(workerId) ?? []),
  );
}

/** Returns the eligible workers that match; both share one record of free capacity, placed images and starts. */
export function narrowEligibleWorkers(
  { workers, freeCapacity, interference, placedImages, startSlots }: EligibleWorkers,
  matches: (worker: WorkerState) => boolean,
): EligibleWorkers {
  return eligibleWorkersOf(workers.filter(matches), freeCapacity, {
    interference,
    placedImages,
    startSlots,
  });
}

/** Copies eligible workers, so that a trial placement leaves the original unchanged. */
export function copyEligibleWorkers(eligible: EligibleWorkers): EligibleWorkers {
  return {
    workers: eligible.workers,
    freeCapacity: new Map(eligible.freeCapacity),
    maximumFreeCapacity: eligible.maximumFreeCapacity,
    interference: eligible.interference,
    placedImages: new Map(eligible.placedImages),
    startSlots: eligible.startSlots,
  };
}

/** Returns whether a worker has enough free capacity. */
export function fitsOn(eligible: EligibleWorkers, worker: WorkerState, needs: Resources): boolean {
  return fits(needs, freeCapacityOn(eligible.freeCapacity, worker));
}

/** Returns whether any worker has enough free capacity. The upper bound rules most requests out without a scan. */
export function fitsOnAny(eligible: EligibleWorkers, needs: Resources): boolean {
  return (
    fits(needs, eligible.maximumFreeCapacity) &&
    eligible.workers.some((worker) => fitsOn(eligible, worker, needs))
  );
}

/** Returns the free thousandths of a core of a worker. */
export function freeMilliCoresOn(eligible: EligibleWorkers, worker: WorkerState): number {
  return freeCapacityOn(eligible.freeCapacity, worker).milliCores;
}

/** Reserves capacity of a worker for a task of a step. */
export function reserveForStep(
  { freeCapacity, interference, placedImages }: EligibleWorkers,
  worker: WorkerState,
  request: StepRequest,
): void {
  const { workerId } = worker.listing;
  const free = freeCapacityOn(freeCapacity, worker);
  freeCapacity.set(workerId, subtractResources(free, reservedResourcesOf(request)));
  if (request.image !== null && interference.conflicts.has(request.image)) {
    placedImages.set(workerId, [...(placedImages.get(workerId) ?? []), request.image]);
  }
}
