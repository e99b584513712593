/** Adds and removes grants, and settles grants whose work may still run without a holder ("unsettled"). */
import { addMilliseconds, millisecondsBetween, type WorkClass } from '@baobabdeck/types';
import type { Grant, PoolDispatch } from './dispatch-state.js';
import { updateHostLoad } from './host-load.js';
import { recordRunClass } from './work-kinds.js';

/**
 * Time for which an unsettled slot counts as in use without a usage report of the platform. Each report that
 * shows the work running restarts it.
 */
export const UNSETTLED_TIMEOUT_MILLISECONDS = 30_000;

function longSlotCount(workClass: WorkClass): number {
  return workClass === 'short' ? 0 : 1;
}

function unsettledSlotCount(grant: Grant): number {
  return grant.unsettledSince === null ? 0 : 1;
}

/** Adds a grant and counts its slot as in use; has no effect if the grant is known already. */
export function addGrant(dispatch: PoolDispatch, grant: Grant): PoolDispatch {
  if (dispatch.grants.has(grant.slotRequestId)) return dispatch;
  const loaded = updateHostLoad(dispatch, grant.hostId, (load) => ({
    ...load,
    busySlots: load.busySlots + 1,
  }));
  return {
    ...loaded,
    grants: loaded.grants.set(grant.slotRequestId, grant),
    longBusySlots: loaded.longBusySlots + longSlotCount(grant.workClass),
    unsettledCount: loaded.unsettledCount + unsettledSlotCount(grant),
  };
}

/** Removes a grant and frees its slot. */
export function removeGrant(dispatch: PoolDispatch, grant: Grant): PoolDispatch {
  const freed = updateHostLoad(dispatch, grant.hostId, (load) => ({
    ...load,
    busySlots: load.busySlots - 1,
  }));
  return {
    ...freed,
    grants: freed.grants.remove(grant.slotRequestId),
    longBusySlots: freed.longBusySlots - longSlotCount(grant.workClass),
    unsettledCount: freed.unsettledCount - unsettledSlotCount(grant),
  };
}

function replaceGrant(dispatch: PoolDispatch, before: Grant, after: Grant): PoolDispatch {
  return {
    ...dispatch,
    grants: dispatch.grants.set(after.slotRequestId, after),
    longBusySlots: dispatch.longBusySlots - longSlotCount(before.workClass) + longSlotCount(after.workClass),
    unsettledCount: dispatch.unsettledCount - unsettledSlotCount(before) + unsettledSlotCount(after),
  };
}

/** Marks a grant as unsettled: its holder abandoned the work or was lost, and the work may still run. */
export function markUnsettled(dispatch: PoolDispatch, grant: Grant, now: Date): PoolDispatch {
  if (grant.unsettledSince !== null) return dispatch;
  const settleBy = addMilliseconds(now, UNSETTLED_TIMEOUT_MILLISECONDS);
  return replaceGrant(dispatch, grant, { ...grant, unsettledSince: now, settleBy });
}

function exceedsThreshold(grant: Grant, now: Date): boolean {
  const ran = millisecondsBetween(grant.grantedAt, now);
  return grant.unsettledSince === null && !grant.countedAsLong && ran > grant.longWorkThresholdMilliseconds;
}

/** Reclassifies running work as long once it exceeds its threshold, and records this for its work kind. */
export function reclassifyLongRuns(dispatch: PoolDispatch, now: Date): PoolDispatch {
  return dispatch.grants.reduce((view, grant) => {
    if (!exceedsThreshold(grant, now)) return view;
    const reclassified = replaceGrant(view, grant, { ...grant, workClass: 'long', countedAsLong: true });
    return recordRunClass(reclassified, grant.workKind, true);
  }, dispatch);
}

/** Frees unsettled slots whose `settleBy` has passed. */
export function settleExpired(dispatch: PoolDispatch, now: Date): PoolDispatch {
  if (dispatch.unsettledCount === 0) return dispatch;
  return dispatch.grants.reduce(
    (view, grant) => (grant.settleBy !== null && grant.settleBy <= now ? removeGrant(view, grant) : view),
    dispatch,
  );
}

/** Time by which the platform's clock and usage data may lag behind this process. */
export const USAGE_CLOCK_MARGIN_MILLISECONDS = 2_000;

function extendSettleBy(dispatch: PoolDispatch, grant: Grant, observedAt: Date): PoolDispatch {
  const settleBy = addMilliseconds(observedAt, UNSETTLED_TIMEOUT_MILLISECONDS);
  return grant.settleBy !== null && grant.settleBy >= settleBy
    ? dispatch
    : { ...dispatch, grants: dispatch.grants.set(grant.slotRequestId, { ...grant, settleBy }) };
}

interface HostGrants {
  /** Number of grants, other than unsettled ones, whose work was on the host when the report was taken. */
  readonly certainCount: number;
  readonly unsettled: readonly Grant[];
}

function selectHostGrants(dispatch: PoolDispatch, hostId: string, asOf: Date): HostGrants {
  const before = (instant: Date): boolean => addMilliseconds(instant, USAGE_CLOCK_MARGIN_MILLISECONDS) < asOf;
  const grants = [...dispatch.grants.values()].filter((grant) => grant.hostId === hostId);
  const certainCount = grants.filter(
    (grant) => grant.unsettledSince === null && before(grant.grantedAt),
  ).length;
  const unsettled = grants.filter((grant) => grant.unsettledSince !== null && before(grant.unsettledSince));
  return { certainCount, unsettled };
}

/**
 * Frees the unsettled slots of a host that a usage report proves to be free. Running requests beyond
 * `certainCount` may be unsettled or recently granted work: as many unsettled slots stay in use.
 */
export function settleByUsage(
  dispatch: PoolDispatch,
  hostId: string,
  runningRequests: number,
  asOf: Date,
): PoolDispatch {
  const { certainCount, unsettled } = selectHostGrants(dispatch, hostId, asOf);
  const stillRunning = Math.max(0, runningRequests - certainCount);
  const settled = unsettled.slice(stillRunning).reduce(removeGrant, dispatch);
  const busySlots = settled.hosts.get(hostId)?.busySlots ?? 0;
  // The remaining unsettled work is known to run only if every slot in use has a running request.
  if (runningRequests < busySlots) return settled;
  return unsettled.slice(0, stillRunning).reduce((view, grant) => extendSettleBy(view, grant, asOf), settled);
}

/** Returns the hosts with unsettled slots, whose usage has to be read from the platform. */
export function selectUnsettledHostIds(dispatch: PoolDispatch): readonly string[] {
  if (dispatch.unsettledCount === 0) return [];
  const hostIds = [...dispatch.grants.values()]
    .filter((grant) => grant.unsettledSince !== null)
    .map((grant) => grant.hostId);
  return [...new Set(hostIds)];
}
