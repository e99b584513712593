/** Slots in use: taking, giving back, and those of which nobody knows. */
import { addMilliseconds, millisecondsBetween, type WorkClass } from '@baobabdeck/types';
import type { Grant, PoolDispatch } from './dispatch-state.js';
import { updateHostLoad } from './host-load.js';

function countsAsLong(workClass: WorkClass): number {
  return workClass === 'short' ? 0 : 1;
}

function countsAsUnsettled(grant: Grant): number {
  return grant.unsettledSince === null ? 0 : 1;
}

/** The view with one more slot in use. */
export function addGrant(dispatch: PoolDispatch, grant: Grant): PoolDispatch {
  const loaded = updateHostLoad(dispatch, grant.hostId, (load) => ({ ...load, busy: load.busy + 1 }));
  return {
    ...loaded,
    grants: loaded.grants.set(grant.slotRequestId, grant),
    longBusy: loaded.longBusy + countsAsLong(grant.workClass),
    unsettledCount: loaded.unsettledCount + countsAsUnsettled(grant),
  };
}

/** The view with one slot fewer in use. */
export function removeGrant(dispatch: PoolDispatch, grant: Grant): PoolDispatch {
  const freed = updateHostLoad(dispatch, grant.hostId, (load) => ({ ...load, busy: load.busy - 1 }));
  return {
    ...freed,
    grants: freed.grants.remove(grant.slotRequestId),
    longBusy: freed.longBusy - countsAsLong(grant.workClass),
    unsettledCount: freed.unsettledCount - countsAsUnsettled(grant),
  };
}

function replaceGrant(dispatch: PoolDispatch, before: Grant, after: Grant): PoolDispatch {
  return {
    ...dispatch,
    grants: dispatch.grants.set(after.slotRequestId, after),
    longBusy: dispatch.longBusy - countsAsLong(before.workClass) + countsAsLong(after.workClass),
    unsettledCount: dispatch.unsettledCount - countsAsUnsettled(before) + countsAsUnsettled(after),
  };
}

/** Keeps a slot in use whose work may still be running although its holder gave it up or vanished. */
export function unsettleGrant(dispatch: PoolDispatch, grant: Grant, now: Date): PoolDispatch {
  if (grant.unsettledSince !== null) return dispatch;
  return replaceGrant(dispatch, grant, { ...grant, unsettledSince: now });
}

/** Counts work as long that has run longer than its threshold, whatever it was taken for. */
export function reclassifyOverdue(dispatch: PoolDispatch, now: Date): PoolDispatch {
  return dispatch.grants.reduce((view, grant) => {
    const overdue = millisecondsBetween(grant.grantedAt, now) > grant.longWorkThresholdMilliseconds;
    return overdue && grant.workClass === 'short'
      ? replaceGrant(view, grant, { ...grant, workClass: 'long' })
      : view;
  }, dispatch);
}

/** Frees unsettled slots whose time is over. */
export function settleByTime(dispatch: PoolDispatch, now: Date): PoolDispatch {
  if (dispatch.unsettledCount === 0) return dispatch;
  return dispatch.grants.reduce(
    (view, grant) =>
      grant.unsettledSince !== null && grant.settleBy <= now ? removeGrant(view, grant) : view,
    dispatch,
  );
}

/** Time by which the platform's clock and view may trail ours. */
export const USAGE_MARGIN_MILLISECONDS = 2_000;

/** Frees unsettled slots of a host that the platform saw doing less than the slots in use say. */
export function settleByUsage(
  dispatch: PoolDispatch,
  hostId: string,
  running: number,
  asOf: Date,
): PoolDispatch {
  const unsettled = [...dispatch.grants.values()].filter(
    (grant) =>
      grant.hostId === hostId &&
      grant.unsettledSince !== null &&
      addMilliseconds(grant.unsettledSince, USAGE_MARGIN_MILLISECONDS) < asOf,
  );
  const busy = dispatch.hosts.get(hostId)?.busy ?? 0;
  const surplus = Math.max(0, busy - running);
  return unsettled.slice(0, surplus).reduce(removeGrant, dispatch);
}

/** Hosts with unsettled slots, for which the platform has to be asked. */
export function selectUnsettledHostIds(dispatch: PoolDispatch): readonly string[] {
  if (dispatch.unsettledCount === 0) return [];
  const hostIds = [...dispatch.grants.values()]
    .filter((grant) => grant.unsettledSince !== null)
    .map((grant) => grant.hostId);
  return [...new Set(hostIds)];
}
