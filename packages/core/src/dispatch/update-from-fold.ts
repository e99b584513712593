/** Updates the assignment of dispatchers, and the hosts of dispatched pools, from the folded log. */
import type { Step } from '../effect.js';
import type { FleetState, Host } from '../fold/fold-state.js';
import { PersistentSet } from '../persistent.js';
import type { State } from '../state.js';
import { assignDispatchers, selectGatewayIds } from './assign-dispatchers.js';
import {
  emptyPoolDispatch,
  type Grant,
  type HostLoad,
  INITIAL_HOST_HEALTH,
  type PoolDispatch,
} from './dispatch-state.js';
import { addGrant, markUnsettled } from './grants.js';
import { setHostLoad } from './host-load.js';
import { removeWaiting } from './queue.js';
import { dropSurplusUnsettled, grantOfUnsettled, updateReadiness } from './unknown-slots.js';
import { addUnsettledRecords, selectUnsettledRecords, unsettledRecordsOf } from './unsettled-records.js';

/** Returns whether a host may get new work. */
export function isRoutable(host: Host): boolean {
  const reachable = host.presence === 'live' || host.presence === 'unknown';
  return host.duty.kind === 'in-service' && reachable && !host.retired;
}

function loadOf(host: Host, previous: HostLoad | undefined, slotsPerHost: number): HostLoad {
  const wasRoutable = previous?.routable ?? false;
  const health = wasRoutable ? (previous?.health ?? INITIAL_HOST_HEALTH) : INITIAL_HOST_HEALTH;
  const slotLimit = wasRoutable ? Math.min(slotsPerHost, previous?.slotLimit ?? slotsPerHost) : slotsPerHost;
  return {
    hardware: host.hardware,
    routable: isRoutable(host),
    busySlots: previous?.busySlots ?? 0,
    slotLimit,
    health,
  };
}

function refreshHost(fleet: FleetState, dispatch: PoolDispatch, hostId: string): PoolDispatch {
  const host = fleet.hosts.get(hostId);
  if (host === undefined || host.pool !== dispatch.pool) return setHostLoad(dispatch, hostId, null);
  const slotsPerHost = fleet.configuration.pools.get(dispatch.pool)?.slotsPerHost ?? 1;
  return setHostLoad(dispatch, hostId, loadOf(host, dispatch.hosts.get(hostId), slotsPerHost));
}

/** Applies changes of hosts in the fold to the dispatched pools. */
export function refreshHosts(state: State, hostIds: readonly string[]): State {
  if (hostIds.length === 0 || state.dispatch.isEmpty()) return state;
  const { fleet } = state.fold;
  const dispatch = state.dispatch.map((view) =>
    hostIds.reduce((changed, hostId) => refreshHost(fleet, changed, hostId), view),
  );
  return { ...state, dispatch };
}

/** Reloads every host of the dispatched pools after their configuration changed. */
export function refreshPools(state: State): State {
  const { fleet } = state.fold;
  const dispatch = state.dispatch.map((view) => {
    const hostIds = fleet.pools.get(view.pool)?.hostIds ?? PersistentSet<string>();
    return hostIds.reduce((changed: PoolDispatch, hostId) => refreshHost(fleet, changed, hostId), view);
  });
  return { ...state, dispatch };
}

function addOwnHoldings(state: State, dispatch: PoolDispatch): PoolDispatch {
  return state.requests.heldSlots.reduce((view, slot) => {
    if (slot.pool !== dispatch.pool) return view;
    const request = state.requests.byId.get(slot.requestId);
    const grant: Grant = {
      slotRequestId: slot.slotRequestId,
      holder: state.identity.processId,
      hostId: slot.hostId,
      caller: request?.description.caller ?? '',
      workKind: request?.description.workKind ?? '',
      workClass: 'unproven',
      longWorkThresholdMilliseconds: request?.longWorkThresholdMilliseconds ?? 0,
      grantedAt: slot.startedAt,
      unsettledSince: null,
      settleBy: null,
      countedAsLong: false,
    };
    return addGrant(view, grant);
  }, dispatch);
}

function addOwnUnsettled(state: State, dispatch: PoolDispatch): PoolDispatch {
  return selectUnsettledRecords(state, dispatch.pool).reduce(
    (view, record) => addGrant(view, grantOfUnsettled(record, state.identity.processId, state.now)),
    dispatch,
  );
}

function startDispatch(state: State, pool: string, lostId: string | null): PoolDispatch {
  const { fleet } = state.fold;
  const others = selectGatewayIds(fleet).filter((id) => id !== state.identity.processId);
  const empty = emptyPoolDispatch(pool, fleet.gatewayViewOffset, PersistentSet(others));
  const hostIds = fleet.pools.get(pool)?.hostIds ?? PersistentSet<string>();
  const hosts = hostIds.reduce((view: PoolDispatch, hostId) => refreshHost(fleet, view, hostId), empty);
  const slotsPerHost = fleet.configuration.pools.get(pool)?.slotsPerHost ?? 1;
  const own = dropSurplusUnsettled(addOwnUnsettled(state, addOwnHoldings(state, hosts)), slotsPerHost);
  const lostBeforeReporting = lostId === null ? own.lostBeforeReporting : own.lostBeforeReporting.add(lostId);
  return updateReadiness({ ...own, lostBeforeReporting }, state.now);
}

/** Gateways that were removed or have restarted, and whose work may still run. */
type LostGatewayIds = ReadonlySet<string>;

function removeLostGateways(state: State, dispatch: PoolDispatch, lost: LostGatewayIds): PoolDispatch {
  const { members } = state.fold.fleet;
  const grants = [...dispatch.grants.values()].filter(
    (grant) => lost.has(grant.holder) || !members.has(grant.holder),
  );
  const unsettled = grants.reduce((view, grant) => markUnsettled(view, grant, state.now), dispatch);
  const waiting = [...unsettled.waiting.values()].filter(
    (entry) => lost.has(entry.holder) || !members.has(entry.holder),
  );
  const cleaned = waiting.reduce(
    (view, entry) => removeWaiting(view, entry.request.slotRequestId),
    unsettled,
  );
  const restarted = [...lost].filter((id) => members.has(id) && id !== state.identity.processId);
  const awaitingHoldingsFrom = cleaned.awaitingHoldingsFrom
    .filter((holder) => members.has(holder))
    .union(restarted);
  const unreported = [...lost].filter((id) => cleaned.awaitingHoldingsFrom.has(id));
  return updateReadiness(
    {
      ...cleaned,
      awaitingHoldingsFrom,
      lostBeforeReporting: cleaned.lostBeforeReporting.union(unreported),
    },
    state.now,
  );
}

/** Keeps records of the unsettled slots of the pools that this process stops dispatching. */
function keepUnsettledRecords(state: State, ownPools: readonly string[]): State {
  return state.dispatch
    .filter((view) => !ownPools.includes(view.pool))
    .reduce((current, view) => addUnsettledRecords(current, view.pool, unsettledRecordsOf(view)), state);
}

function isRegistered(state: State): boolean {
  const member = state.fold.fleet.members.get(state.identity.processId);
  return member !== undefined && member.identity.incarnation === state.identity.incarnation;
}

/**
 * Reassigns dispatchers after a change of the gateways or the pools. A new dispatcher grants slots as soon as
 * every gateway has reported its held slots; the old one stops at the same log offset.
 */
export function* refreshDispatchers(state: State, lost: LostGatewayIds): Step<State> {
  const self = state.identity.processId;
  const dispatchers = assignDispatchers(state.fold.fleet);
  const ownPools = isRegistered(state)
    ? [...dispatchers.keys()].filter((pool) => dispatchers.get(pool) === self)
    : [];
  const kept = state.dispatch
    .filter((view) => ownPools.includes(view.pool))
    .map((view) => removeLostGateways(state, view, lost));
  const dispatch = kept.withMutations((views) => {
    ownPools
      .filter((pool) => !views.has(pool))
      .forEach((pool) => {
        const previous = state.dispatchers.get(pool) ?? null;
        views.set(
          pool,
          startDispatch(state, pool, previous !== null && lost.has(previous) ? previous : null),
        );
      });
  });
  for (const [pool, dispatcher] of dispatchers) {
    const before = state.dispatchers.get(pool) ?? null;
    if (before !== dispatcher) {
      yield { kind: 'log', decision: 'dispatcherChanged', fields: { pool, before, dispatcher } };
    }
  }
  return { ...keepUnsettledRecords(state, ownPools), dispatchers, dispatch };
}
