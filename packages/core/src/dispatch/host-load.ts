/** The one place that changes a host's load, so that the index of free slots always agrees with it. */
import { PersistentList, PersistentOrderedSet } from '../persistent.js';
import type { FreeBuckets, HostLoad, PoolDispatch } from './dispatch-state.js';

/** Slots of a host that may be granted now. */
export function freeSlotsOf(load: HostLoad): number {
  if (!load.routable || load.health.ejectedUntil !== null) return 0;
  const limit = load.health.probing ? Math.min(1, load.slotLimit) : load.slotLimit;
  return Math.max(0, limit - load.busy);
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

function ejected(load: HostLoad | undefined): number {
  return load !== undefined && load.health.ejectedUntil !== null ? 1 : 0;
}

/** The view with a new, changed or (null) removed host. */
export function setHostLoad(dispatch: PoolDispatch, hostId: string, load: HostLoad | null): PoolDispatch {
  const before = dispatch.hosts.get(hostId);
  const freeBefore = before === undefined ? 0 : freeSlotsOf(before);
  const freeAfter = load === null ? 0 : freeSlotsOf(load);
  let { free } = dispatch;
  if (before !== undefined && (freeBefore !== freeAfter || before.hardware !== load?.hardware)) {
    free = free.update(before.hardware, (buckets) => removeFromBuckets(buckets, hostId, freeBefore));
  }
  if (
    load !== null &&
    (before === undefined || freeBefore !== freeAfter || before.hardware !== load.hardware)
  ) {
    free = free.update(load.hardware, (buckets) =>
      addToBuckets(buckets ?? PersistentList(), hostId, freeAfter),
    );
  }
  return {
    ...dispatch,
    free,
    hosts: load === null ? dispatch.hosts.remove(hostId) : dispatch.hosts.set(hostId, load),
    freeSlots: dispatch.freeSlots - freeBefore + freeAfter,
    totalSlots: dispatch.totalSlots - usableSlots(before) + usableSlots(load ?? undefined),
    ejectedCount: dispatch.ejectedCount - ejected(before) + ejected(load ?? undefined),
  };
}

/** The view with a host's load changed; without effect for a host that is not in it. */
export function updateHostLoad(
  dispatch: PoolDispatch,
  hostId: string,
  change: (load: HostLoad) => HostLoad,
): PoolDispatch {
  const load = dispatch.hosts.get(hostId);
  return load === undefined ? dispatch : setHostLoad(dispatch, hostId, change(load));
}
