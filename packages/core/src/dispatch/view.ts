/** Keeps the dispatchers in step with the fold: who hands out which pool's slots, on which hosts. */
import type { Step } from '../effect.js';
import type { FleetState, Host } from '../fold/fold-state.js';
import { PersistentSet } from '../persistent.js';
import type { State } from '../state.js';
import { assignDispatchers, selectGatewayIds } from './assign-dispatchers.js';
import {
  emptyPoolDispatch,
  GOOD_HEALTH,
  type Grant,
  type HostLoad,
  type PoolDispatch,
} from './dispatch-state.js';
import { addGrant, unsettleGrant } from './grants.js';
import { setHostLoad } from './host-load.js';
import { removeWaiting } from './queue.js';
import { becomeReady, dropSurplusUnsettled, grantOfUnsettled } from './unknown-slots.js';
import { recordsOfDispatch, rememberUnsettled, selectUnsettledRecords } from './unsettled-records.js';

/** Whether new work may go to a host. */
export function isRoutable(host: Host): boolean {
  const reachable = host.presence === 'live' || host.presence === 'unknown';
  return host.duty.kind === 'in-service' && reachable && !host.retired;
}

function loadOf(host: Host, before: HostLoad | undefined, slotsPerHost: number): HostLoad {
  const wasRoutable = before?.routable ?? false;
  const health = wasRoutable ? (before?.health ?? GOOD_HEALTH) : GOOD_HEALTH;
  const slotLimit = wasRoutable ? Math.min(slotsPerHost, before?.slotLimit ?? slotsPerHost) : slotsPerHost;
  return { hardware: host.hardware, routable: isRoutable(host), busy: before?.busy ?? 0, slotLimit, health };
}

function refreshHost(fleet: FleetState, dispatch: PoolDispatch, hostId: string): PoolDispatch {
  const host = fleet.hosts.get(hostId);
  if (host === undefined || host.pool !== dispatch.pool) return setHostLoad(dispatch, hostId, null);
  const slotsPerHost = fleet.configuration.pools.get(dispatch.pool)?.slotsPerHost ?? 1;
  return setHostLoad(dispatch, hostId, loadOf(host, dispatch.hosts.get(hostId), slotsPerHost));
}

/** Brings hosts that changed in the fold into the views of their pools. */
export function refreshHosts(state: State, hostIds: readonly string[]): State {
  if (hostIds.length === 0 || state.dispatch.isEmpty()) return state;
  const { fleet } = state.fold;
  const dispatch = state.dispatch.map((view) =>
    hostIds.reduce((changed, hostId) => refreshHost(fleet, changed, hostId), view),
  );
  return { ...state, dispatch };
}

/** Brings every host into the views, after the sections of pools changed. */
export function refreshPools(state: State): State {
  const { fleet } = state.fold;
  const dispatch = state.dispatch.map((view) => {
    const hostIds = fleet.pools.get(view.pool)?.hostIds ?? PersistentSet<string>();
    return hostIds.reduce((changed: PoolDispatch, hostId) => refreshHost(fleet, changed, hostId), view);
  });
  return { ...state, dispatch };
}

function ownHoldings(state: State, dispatch: PoolDispatch): PoolDispatch {
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
      seenLong: false,
    };
    return addGrant(view, grant);
  }, dispatch);
}

function ownUnsettled(state: State, dispatch: PoolDispatch): PoolDispatch {
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
  const own = dropSurplusUnsettled(ownUnsettled(state, ownHoldings(state, hosts)), slotsPerHost);
  const lostUnheard = lostId === null ? own.lostUnheard : own.lostUnheard.add(lostId);
  return becomeReady({ ...own, lostUnheard }, state.now);
}

/** Gateways whose work may go on although nobody hears of it: removed by others, or restarted. */
type LostIds = ReadonlySet<string>;

function dropHolders(state: State, dispatch: PoolDispatch, lost: LostIds): PoolDispatch {
  const { members } = state.fold.fleet;
  const grants = [...dispatch.grants.values()].filter(
    (grant) => lost.has(grant.holder) || !members.has(grant.holder),
  );
  const unsettled = grants.reduce((view, grant) => unsettleGrant(view, grant, state.now), dispatch);
  const waiting = [...unsettled.waiting.values()].filter(
    (entry) => lost.has(entry.holder) || !members.has(entry.holder),
  );
  const cleaned = waiting.reduce(
    (view, entry) => removeWaiting(view, entry.request.slotRequestId),
    unsettled,
  );
  const restarted = [...lost].filter((id) => members.has(id) && id !== state.identity.processId);
  const awaiting = cleaned.awaiting.filter((holder) => members.has(holder)).union(restarted);
  const unheard = [...lost].filter((id) => cleaned.awaiting.has(id));
  return becomeReady({ ...cleaned, awaiting, lostUnheard: cleaned.lostUnheard.union(unheard) }, state.now);
}

/** Remembers what the dispatchers that end here leave in unknown use. */
function handOver(state: State, mine: readonly string[]): State {
  return state.dispatch
    .filter((view) => !mine.includes(view.pool))
    .reduce((current, view) => rememberUnsettled(current, view.pool, recordsOfDispatch(view)), state);
}

function isRegistered(state: State): boolean {
  const member = state.fold.fleet.members.get(state.identity.processId);
  return member !== undefined && member.identity.incarnation === state.identity.incarnation;
}

/**
 * Follows a change among the gateways or the pools. A pool whose dispatcher changed is handed out by the new
 * one as soon as every gateway has told it what it uses; the old one stops at the same offset.
 */
export function* refreshView(state: State, lost: LostIds): Step<State> {
  const self = state.identity.processId;
  const dispatchers = assignDispatchers(state.fold.fleet);
  const mine = isRegistered(state)
    ? [...dispatchers.keys()].filter((pool) => dispatchers.get(pool) === self)
    : [];
  const kept = state.dispatch
    .filter((view) => mine.includes(view.pool))
    .map((view) => dropHolders(state, view, lost));
  const dispatch = kept.withMutations((views) => {
    mine
      .filter((pool) => !views.has(pool))
      .forEach((pool) => {
        const before = state.dispatchers.get(pool) ?? null;
        views.set(pool, startDispatch(state, pool, before !== null && lost.has(before) ? before : null));
      });
  });
  for (const [pool, dispatcher] of dispatchers) {
    const before = state.dispatchers.get(pool) ?? null;
    if (before !== dispatcher) {
      yield { kind: 'log', decision: 'dispatcherChanged', fields: { pool, before, dispatcher } };
    }
  }
  return { ...handOver(state, mine), dispatchers, dispatch };
}
