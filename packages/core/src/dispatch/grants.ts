/** Slots in use: taking, giving back, and those of which nobody knows. */
import { addMilliseconds, millisecondsBetween, type WorkClass } from '@baobabdeck/types';
import type { Grant, PoolDispatch } from './dispatch-state.js';
import { updateHostLoad } from './host-load.js';
import { learnRun } from './work-kinds.js';

/**
 * Time for which work that nobody hears of is taken to run without word from the platform. Each report that
 * shows it running begins this time anew.
 */
export const UNSETTLED_MILLISECONDS = 30_000;

function countsAsLong(workClass: WorkClass): number {
  return workClass === 'short' ? 0 : 1;
}

function countsAsUnsettled(grant: Grant): number {
  return grant.unsettledSince === null ? 0 : 1;
}

/** The view with one more slot in use; without effect for one that is in use already. */
export function addGrant(dispatch: PoolDispatch, grant: Grant): PoolDispatch {
  if (dispatch.grants.has(grant.slotRequestId)) return dispatch;
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
  const settleBy = addMilliseconds(now, UNSETTLED_MILLISECONDS);
  return replaceGrant(dispatch, grant, { ...grant, unsettledSince: now, settleBy });
}

function isOverdue(grant: Grant, now: Date): boolean {
  const ran = millisecondsBetween(grant.grantedAt, now);
  return grant.unsettledSince === null && !grant.seenLong && ran > grant.longWorkThresholdMilliseconds;
}

/** Counts work as long, and learns from it, as soon as it has run longer than its threshold. */
export function reclassifyOverdue(dispatch: PoolDispatch, now: Date): PoolDispatch {
  return dispatch.grants.reduce((view, grant) => {
    if (!isOverdue(grant, now)) return view;
    const seen = replaceGrant(view, grant, { ...grant, workClass: 'long', seenLong: true });
    return learnRun(seen, grant.workKind, true);
  }, dispatch);
}

/** Frees unsettled slots whose time is over. */
export function settleByTime(dispatch: PoolDispatch, now: Date): PoolDispatch {
  if (dispatch.unsettledCount === 0) return dispatch;
  return dispatch.grants.reduce(
    (view, grant) => (grant.settleBy !== null && grant.settleBy <= now ? removeGrant(view, grant) : view),
    dispatch,
  );
}

/** Time by which the platform's clock and view may trail ours. */
export const USAGE_MARGIN_MILLISECONDS = 2_000;

function postpone(dispatch: PoolDispatch, grant: Grant, seenAt: Date): PoolDispatch {
  const settleBy = addMilliseconds(seenAt, UNSETTLED_MILLISECONDS);
  return grant.settleBy !== null && grant.settleBy >= settleBy
    ? dispatch
    : { ...dispatch, grants: dispatch.grants.set(grant.slotRequestId, { ...grant, settleBy }) };
}

interface HostGrants {
  /** Slots whose work is certain to have been at the host when the platform looked. */
  readonly certain: number;
  readonly unsettled: readonly Grant[];
}

function selectHostGrants(dispatch: PoolDispatch, hostId: string, asOf: Date): HostGrants {
  const before = (instant: Date): boolean => addMilliseconds(instant, USAGE_MARGIN_MILLISECONDS) < asOf;
  const grants = [...dispatch.grants.values()].filter((grant) => grant.hostId === hostId);
  const certain = grants.filter((grant) => grant.unsettledSince === null && before(grant.grantedAt)).length;
  const unsettled = grants.filter((grant) => grant.unsettledSince !== null && before(grant.unsettledSince));
  return { certain, unsettled };
}

/**
 * Frees unsettled slots of a host that the platform proves to be free. Work that runs beside what is certain
 * may be unsettled work or work that was granted lately: as many unsettled slots stay in use.
 */
export function settleByUsage(
  dispatch: PoolDispatch,
  hostId: string,
  running: number,
  asOf: Date,
): PoolDispatch {
  const { certain, unsettled } = selectHostGrants(dispatch, hostId, asOf);
  const possible = Math.max(0, running - certain);
  const settled = unsettled.slice(possible).reduce(removeGrant, dispatch);
  const busy = settled.hosts.get(hostId)?.busy ?? 0;
  // Only a host that does all that it is believed to do shows that the rest runs on.
  if (running < busy) return settled;
  return unsettled.slice(0, possible).reduce((view, grant) => postpone(view, grant, asOf), settled);
}

/** Hosts with unsettled slots, for which the platform has to be asked. */
export function selectUnsettledHostIds(dispatch: PoolDispatch): readonly string[] {
  if (dispatch.unsettledCount === 0) return [];
  const hostIds = [...dispatch.grants.values()]
    .filter((grant) => grant.unsettledSince !== null)
    .map((grant) => grant.hostId);
  return [...new Set(hostIds)];
}
