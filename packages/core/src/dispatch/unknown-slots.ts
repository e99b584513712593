/** Slots of which nobody can tell whether they are in use, because the gateway that knew is lost. */
import { addMilliseconds } from '@baobabdeck/types';
import type { Grant, HostLoad, PoolDispatch, UnsettledRecord } from './dispatch-state.js';
import { addGrant, removeGrant, UNSETTLED_MILLISECONDS } from './grants.js';
import { PersistentSet } from '../persistent.js';

/** The slot of a record, in use as far as anybody can tell. */
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
    seenLong: false,
  };
}

function unknownGrant(dispatch: PoolDispatch, hostId: string, index: number, now: Date): Grant {
  const slotRequestId = `unknown/${dispatch.viewOffset}/${now.getTime()}/${hostId}/${index}`;
  const settleBy = addMilliseconds(now, UNSETTLED_MILLISECONDS);
  return grantOfUnsettled({ slotRequestId, hostId, settleBy }, dispatch.lostUnheard.first() ?? '', now);
}

function fillHost(dispatch: PoolDispatch, hostId: string, load: HostLoad, now: Date): PoolDispatch {
  const unknown = Math.max(0, load.slotLimit - load.busy);
  return Array.from({ length: unknown }, (_, index) => unknownGrant(dispatch, hostId, index, now)).reduce(
    addGrant,
    dispatch,
  );
}

/**
 * The view, ready once every gateway has told what it uses. What a lost one used is unknown: every slot
 * that nobody else uses counts as in use until the platform tells otherwise.
 */
export function becomeReady(dispatch: PoolDispatch, now: Date): PoolDispatch {
  if (!dispatch.awaiting.isEmpty()) return dispatch;
  if (dispatch.lostUnheard.isEmpty()) return dispatch.ready ? dispatch : { ...dispatch, ready: true };
  const filled = dispatch.hosts.reduce((view, load, hostId) => fillHost(view, hostId, load, now), dispatch);
  return { ...filled, ready: true, lostUnheard: PersistentSet() };
}

/** The view without unsettled slots on hosts that have no room for them: their work must have ended. */
export function dropSurplusUnsettled(dispatch: PoolDispatch, slotsPerHost: number): PoolDispatch {
  return [...dispatch.grants.values()]
    .filter((grant) => grant.unsettledSince !== null)
    .reduce((view, grant) => {
      const busy = view.hosts.get(grant.hostId)?.busy ?? 0;
      return busy > slotsPerHost ? removeGrant(view, grant) : view;
    }, dispatch);
}
