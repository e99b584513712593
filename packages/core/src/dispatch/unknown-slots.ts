/** Accounts for slots whose use is unknown because the gateway that held them was lost. */
import { addMilliseconds } from '@baobabdeck/types';
import type { Grant, HostLoad, PoolDispatch, UnsettledRecord } from './dispatch-state.js';
import { addGrant, removeGrant, UNSETTLED_TIMEOUT_MILLISECONDS } from './grants.js';
import { PersistentSet } from '../persistent.js';

/** Returns an unsettled grant for a record of the previous dispatcher or of a gateway. */
export function grantOfUnsettled(record: UnsettledRecord, holder: string, now: Date): Grant {
  return {
    ...record,
    holder,
    caller: '',
    workKind: '',
    workClass: 'unproven',
    longWorkThresholdMilliseconds: 0,
    grantedAt: now,
    unsettledSince: now,
    countedAsLong: false,
  };
}

function unknownGrant(dispatch: PoolDispatch, hostId: string, index: number, now: Date): Grant {
  const slotRequestId = `unknown/${dispatch.viewOffset}/${now.getTime()}/${hostId}/${index}`;
  const settleBy = addMilliseconds(now, UNSETTLED_TIMEOUT_MILLISECONDS);
  return grantOfUnsettled(
    { slotRequestId, hostId, settleBy },
    dispatch.lostBeforeReporting.first() ?? '',
    now,
  );
}

function occupyFreeSlots(dispatch: PoolDispatch, hostId: string, load: HostLoad, now: Date): PoolDispatch {
  const unknownCount = Math.max(0, load.slotLimit - load.busySlots);
  return Array.from({ length: unknownCount }, (_, index) =>
    unknownGrant(dispatch, hostId, index, now),
  ).reduce(addGrant, dispatch);
}

/**
 * Marks the pool as ready once every gateway has reported its held slots. The slots of a lost gateway are
 * unknown: every slot that no other gateway holds counts as in use until it expires or a usage report frees it.
 */
export function updateReadiness(dispatch: PoolDispatch, now: Date): PoolDispatch {
  if (!dispatch.awaitingHoldingsFrom.isEmpty()) return dispatch;
  if (dispatch.lostBeforeReporting.isEmpty()) return dispatch.ready ? dispatch : { ...dispatch, ready: true };
  const occupied = dispatch.hosts.reduce(
    (view, load, hostId) => occupyFreeSlots(view, hostId, load, now),
    dispatch,
  );
  return { ...occupied, ready: true, lostBeforeReporting: PersistentSet() };
}

/** Removes unsettled slots from hosts with more slots in use than configured: their work must have ended. */
export function dropSurplusUnsettled(dispatch: PoolDispatch, slotsPerHost: number): PoolDispatch {
  return [...dispatch.grants.values()]
    .filter((grant) => grant.unsettledSince !== null)
    .reduce((view, grant) => {
      const busySlots = view.hosts.get(grant.hostId)?.busySlots ?? 0;
      return busySlots > slotsPerHost ? removeGrant(view, grant) : view;
    }, dispatch);
}
