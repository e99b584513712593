/** Keeps the dispatchers in step with the fold: who hands out which pool's slots, on which hosts. */
import { addMilliseconds } from '@baobabdeck/types';
import type { Step } from '../effect.js';
import type { FleetState, Host } from '../fold/fold-state.js';
import { PersistentMap, PersistentSet } from '../persistent.js';
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

/** Time until which slots that a lost dispatcher may have handed out stay in use without word from the platform. */
const LOST_DISPATCHER_SETTLE_MILLISECONDS = 30_000;

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
      settleBy: request?.deadlineAt ?? state.now,
    };
    return addGrant(view, grant);
  }, dispatch);
}

/** Takes every slot of the pool as in use that the lost dispatcher may have handed out to itself. */
function fillForLostDispatcher(state: State, dispatch: PoolDispatch, lostId: string): PoolDispatch {
  return dispatch.hosts.reduce((view, load, hostId) => {
    const unknown = Math.max(0, load.slotLimit - load.busy);
    return Array.from({ length: unknown }, (_, index) => index).reduce((filled, index) => {
      const grant: Grant = {
        slotRequestId: `lost/${lostId}/${dispatch.viewOffset}/${hostId}/${index}`,
        holder: lostId,
        hostId,
        caller: '',
        workKind: '',
        workClass: 'unproven',
        longWorkThresholdMilliseconds: 0,
        grantedAt: state.now,
        unsettledSince: state.now,
        settleBy: addMilliseconds(state.now, LOST_DISPATCHER_SETTLE_MILLISECONDS),
      };
      return addGrant(filled, grant);
    }, view);
  }, dispatch);
}

function startDispatch(state: State, pool: string, lostId: string | null): PoolDispatch {
  const { fleet } = state.fold;
  const others = selectGatewayIds(fleet).filter((id) => id !== state.identity.processId);
  const empty = emptyPoolDispatch(pool, fleet.gatewayViewOffset, PersistentSet(others));
  const hostIds = fleet.pools.get(pool)?.hostIds ?? PersistentSet<string>();
  const hosts = hostIds.reduce((view: PoolDispatch, hostId) => refreshHost(fleet, view, hostId), empty);
  const own = ownHoldings(state, hosts);
  return lostId === null ? own : fillForLostDispatcher(state, own, lostId);
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
  return { ...cleaned, awaiting, ready: cleaned.ready || awaiting.isEmpty() };
}

function selectHandedOver(
  state: State,
  mine: readonly string[],
): Iterable<readonly [string, readonly Grant[]]> {
  return [...state.dispatch.values()]
    .filter((view) => !mine.includes(view.pool))
    .map(
      (view) =>
        [view.pool, [...view.grants.values()].filter((grant) => grant.unsettledSince !== null)] as const,
    );
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
  const formerUnsettled = state.formerUnsettled.merge(PersistentMap(selectHandedOver(state, mine)));
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
  return { ...state, dispatchers, dispatch, formerUnsettled };
}
