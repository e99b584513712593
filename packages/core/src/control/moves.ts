/** Moves hosts from pools with spare capacity to pools whose demand exceeds their slots. */
import { millisecondsBetween, type PoolLoad, type RecordBody } from '@baobabdeck/types';
import type { Step } from '../effect.js';
import { findDrainObstacle, selectBudgetUse } from '../fold/budget.js';
import type { FleetState, Host } from '../fold/fold-state.js';
import type { State } from '../state.js';
import { selectHostListAge } from './hosts.js';
import { propose } from './propose.js';

/** Utilisation of a pool's slots from which it is short. */
const SHORTAGE_UTILISATION = 0.95;

/** Utilisation that a short pool should have after hosts were moved to it. */
const DESIRED_UTILISATION = 0.9;

/** Maximum utilisation of a lending pool's remaining slots. */
const MAXIMUM_LENDER_UTILISATION = 0.6;

/** Time for which a pool must be short before a host is moved, so that a single heartbeat moves none. */
const MINIMUM_SHORTAGE_MILLISECONDS = 1_000;

/** Minimum time that a host stays in a pool before it is moved. */
const MINIMUM_STAY_MILLISECONDS = 20_000;

/** Returns the load of each pool from the newest heartbeat of its dispatcher. */
export function selectPoolLoads(state: State): ReadonlyMap<string, PoolLoad> {
  const loads = new Map<string, PoolLoad>();
  for (const [processId, peer] of state.membership.peers) {
    peer.poolLoads
      .filter((load) => state.dispatchers.get(load.pool) === processId)
      .forEach((load) => loads.set(load.pool, load));
  }
  return loads;
}

/** Returns the slots that a pool needs. Queued work counts only by its arrival rate, as a queue is no lasting demand. */
function demandOf(load: PoolLoad): number {
  return Math.max(load.offeredSlots, load.busySlots);
}

function countIncoming(fleet: FleetState, pool: string): number {
  return fleet.pools.reduce((sum, view) => {
    const incoming = view.absentHostIds.count((hostId) => {
      const duty = fleet.hosts.get(hostId)?.duty;
      return duty !== undefined && duty.kind !== 'in-service' && duty.permit.destinationPool === pool;
    });
    return sum + incoming;
  }, 0);
}

function slotsPerHost(fleet: FleetState, pool: string): number {
  return fleet.configuration.pools.get(pool)?.slotsPerHost ?? 1;
}

/** Counts the hosts that a pool lacks beyond those already being moved to it. */
function countMissing(fleet: FleetState, load: PoolLoad): number {
  if (demandOf(load) < load.totalSlots * SHORTAGE_UTILISATION) return 0;
  const required = Math.ceil(demandOf(load) / DESIRED_UTILISATION / slotsPerHost(fleet, load.pool));
  const present = Math.floor(load.totalSlots / slotsPerHost(fleet, load.pool));
  return Math.max(0, required - present - countIncoming(fleet, load.pool));
}

/** Counts the hosts that a pool can lend within its budget, its minimum and its own utilisation limit. */
function countSpare(fleet: FleetState, load: PoolLoad): number {
  const minimum = fleet.configuration.pools.get(load.pool)?.minimumHosts ?? null;
  if (minimum === null) return 0;
  const perHost = slotsPerHost(fleet, load.pool);
  const present = Math.floor(load.totalSlots / perHost);
  const needed = Math.max(minimum, Math.ceil(demandOf(load) / MAXIMUM_LENDER_UTILISATION / perHost));
  return Math.max(0, Math.min(present - needed, selectBudgetUse(fleet, load.pool).room));
}

/** Updates the time since which each pool has been short. */
function updateShortPools(state: State, loads: ReadonlyMap<string, PoolLoad>): State {
  let { shortSince } = state.control;
  for (const load of loads.values()) {
    const isShort = countMissing(state.fold.fleet, load) > 0;
    if (isShort && !shortSince.has(load.pool)) shortSince = shortSince.set(load.pool, state.now);
    if (!isShort) shortSince = shortSince.remove(load.pool);
  }
  return { ...state, control: { ...state.control, shortSince } };
}

function hasLastingShortage(state: State, pool: string): boolean {
  const since = state.control.shortSince.get(pool);
  return since !== undefined && millisecondsBetween(since, state.now) >= MINIMUM_SHORTAGE_MILLISECONDS;
}

/** Selects the pool with the most spare hosts; equal loads give the same pool in every controller. */
function selectLender(
  fleet: FleetState,
  loads: ReadonlyMap<string, PoolLoad>,
  borrower: string,
): string | null {
  const lenders = [...loads.values()]
    .filter((load) => load.pool !== borrower)
    .map((load) => ({ pool: load.pool, spare: countSpare(fleet, load) }))
    .filter(({ spare }) => spare > 0)
    .sort((left, right) => right.spare - left.spare || (left.pool < right.pool ? -1 : 1));
  return lenders[0]?.pool ?? null;
}

function mayMove(state: State, host: Host): boolean {
  const hasStayed = millisecondsBetween(host.joinedAt, state.now) >= MINIMUM_STAY_MILLISECONDS;
  return hasStayed && findDrainObstacle(state.fold.fleet, host, selectHostListAge(state)) === null;
}

function findHosts(state: State, pool: string, count: number): readonly Host[] {
  const hostIds = state.fold.fleet.pools.get(pool)?.hostIds ?? [];
  const movable: Host[] = [];
  for (const hostId of hostIds) {
    if (movable.length >= count) break;
    const host = state.fold.fleet.hosts.get(hostId);
    if (host !== undefined && mayMove(state, host)) movable.push(host);
  }
  return movable;
}

function* move(state: State, host: Host, destinationPool: string, epoch: number): Step<State> {
  const body: RecordBody = {
    kind: 'host-drain-requested',
    hostId: host.hostId,
    purpose: 'move',
    waveId: null,
    destinationPool,
    hostListAgeMilliseconds: selectHostListAge(state),
    epoch,
  };
  return yield* propose(state, `drain/${host.hostId}`, body);
}

/** Proposes moves of hosts from this controller's pools to short pools. */
export function* lendHosts(state: State, ownPools: ReadonlyMap<string, number>): Step<State> {
  const loads = selectPoolLoads(state);
  let current = updateShortPools(state, loads);
  for (const load of loads.values()) {
    if (!hasLastingShortage(current, load.pool)) continue;
    const { fleet } = current.fold;
    const lender = selectLender(fleet, loads, load.pool);
    const epoch = lender === null ? undefined : ownPools.get(lender);
    const lenderLoad = lender === null ? undefined : loads.get(lender);
    if (lender === null || epoch === undefined || lenderLoad === undefined) continue;
    const count = Math.min(countMissing(fleet, load), countSpare(fleet, lenderLoad));
    for (const host of findHosts(current, lender, count)) {
      current = yield* move(current, host, load.pool, epoch);
    }
  }
  return current;
}
