/** Room on workers while tasks are placed on them one after the other. */
import { fits, mostResources, NO_RESOURCES, subtractResources, type Resources } from '../model/resources.js';
import type { ServiceState, WorkerState } from '../service/state.js';
import { freeRoomOf, isUsable } from './room.js';

/** Workers that tasks may be placed on, with what is free on each. */
export interface Places {
  readonly workers: readonly WorkerState[];
  /** Free room by worker; shrinks as tasks are placed. */
  readonly rooms: Map<string, Resources>;
  /** No worker had more of anything free when the placing began. */
  readonly mostRoom: Resources;
}

function placesOn(workers: readonly WorkerState[], rooms: Map<string, Resources>): Places {
  const free = workers.map((worker) => roomOn(rooms, worker));
  return { workers, rooms, mostRoom: free.reduce(mostResources, NO_RESOURCES) };
}

function roomOn(rooms: ReadonlyMap<string, Resources>, { listing }: WorkerState): Resources {
  return rooms.get(listing.workerId) ?? NO_RESOURCES;
}

function placesOfUsable(state: ServiceState, known: readonly WorkerState[]): Places {
  const workers = known.filter((worker) => isUsable(state, worker));
  const rooms = new Map(workers.map((worker) => [worker.listing.workerId, freeRoomOf(worker)]));
  return placesOn(workers, rooms);
}

/** Every worker that may get tasks. */
export function everyPlace(state: ServiceState): Places {
  return placesOfUsable(state, [...state.workers.values()]);
}

/** Those of some workers that may get tasks. */
export function placesAmong(state: ServiceState, workerIds: Iterable<string>): Places {
  return placesOfUsable(
    state,
    [...workerIds].flatMap((workerId) => state.workers.get(workerId) ?? []),
  );
}

/** Fewer of the same places, which share their room. */
export function narrowPlaces({ workers, rooms }: Places, workerIds: ReadonlySet<string>): Places {
  return placesOn(
    workers.filter(({ listing }) => workerIds.has(listing.workerId)),
    rooms,
  );
}

/** The same places for a trial, which may be given up. */
export function copyPlaces({ workers, rooms, mostRoom }: Places): Places {
  return { workers, rooms: new Map(rooms), mostRoom };
}

/** Whether a worker has room. */
export function hasPlace(places: Places, worker: WorkerState, needs: Resources): boolean {
  return fits(needs, roomOn(places.rooms, worker));
}

/** Whether any worker has room; most often what is free at all already tells that none has. */
export function hasSomePlace(places: Places, needs: Resources): boolean {
  return fits(needs, places.mostRoom) && places.workers.some((worker) => hasPlace(places, worker, needs));
}

/** Thousandths of a core that are free on a worker. */
export function freeMilliCoresOn(places: Places, worker: WorkerState): number {
  return roomOn(places.rooms, worker).milliCores;
}

/** Takes room of a worker. */
export function takePlace({ rooms }: Places, worker: WorkerState, needs: Resources): void {
  rooms.set(worker.listing.workerId, subtractResources(roomOn(rooms, worker), needs));
}
