/**
 * Updates host loads together with the index of free slots. All changes of a load go through this module, so
 * that both agree.
 */
import { PersistentList, PersistentOrderedSet } from '../persistent.js';
import type { FreeBuckets, HostLoad, PoolDispatch } from './dispatch-state.js';

/** Returns how many slots of a host may be granted now. */
export function freeSlotsOf(load: HostLoad): number {
  if (!load.routable || load.health.ejectedUntil !== null) return 0;
  const limit = load.health.probing ? Math.min(1, load.slotLimit) : load.slotLimit;
  return Math.max(0, limit - load.busySlots);
}

function removeFromBuckets(buckets: FreeBuckets | undefined, hostId: string, slots: number): FreeBuckets {
  const known: FreeBuckets = buckets ?? PersistentList();
  if (slots === 0) return known;
  return known.update(slots, PersistentOrderedSet<string>(), (hosts) => hosts.remove(hostId));
}

function addToBuckets(buckets: FreeBuckets, hostId: string, slots: number): FreeBuckets {
  if (slots === 0) return buckets;
  return buckets.update(slots, PersistentOrderedSet<string>(), (hosts) =>
    (hosts ?? PersistentOrderedSet<string>()).add(hostId),
  );
}

function usableSlots(load: HostLoad | undefined): number {
  return load !== undefined && load.routable ? load.slotLimit : 0;
}

function countsAsEjected(load: HostLoad | undefined): number {
  return load !== undefined && load.health.ejectedUntil !== null ? 1 : 0;
}

/** Adds or replaces the load of a host; null removes the host. */
export function setHostLoad(dispatch: PoolDispatch, hostId: string, load: HostLoad | null): PoolDispatch {
  const before = dispatch.hosts.get(hostId);
  const freeBefore = before === undefined ? 0 : freeSlotsOf(before);
  const freeAfter = load === null ? 0 : freeSlotsOf(load);
  let { freeHostsByHardware } = dispatch;
  if (before !== undefined && (freeBefore !== freeAfter || before.hardware !== load?.hardware)) {
    freeHostsByHardware = freeHostsByHardware.update(before.hardware, (buckets) =>
      removeFromBuckets(buckets, hostId, freeBefore),
    );
  }
  if (
    load !== null &&
    (before === undefined || freeBefore !== freeAfter || before.hardware !== load.hardware)
  ) {
    freeHostsByHardware = freeHostsByHardware.update(load.hardware, (buckets) =>
      addToBuckets(buckets ?? PersistentList(), hostId, freeAfter),
    );
  }
  return {
    ...dispatch,
    freeHostsByHardware,
    hosts: load === null ? dispatch.hosts.remove(hostId) : dispatch.hosts.set(hostId, load),
    freeSlots: dispatch.freeSlots - freeBefore + freeAfter,
    totalSlots: dispatch.totalSlots - usableSlots(before) + usableSlots(load ?? undefined),
    ejectedCount: dispatch.ejectedCount - countsAsEjected(before) + countsAsEjected(load ?? undefined),
  };
}

/** Applies a change to the load of a host; has no effect if the pool does not contain the host. */
export function updateHostLoad(
  dispatch: PoolDispatch,
  hostId: string,
  change: (load: HostLoad) => HostLoad,
): PoolDispatch {
  const load = dispatch.hosts.get(hostId);
  return load === undefined ? dispatch : setHostLoad(dispatch, hostId, change(load));
}
