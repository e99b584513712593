/** Controllers lend hosts from pools that can spare some to pools whose demand exceeds their slots. */
import { millisecondsBetween, type PoolLoad, type RecordBody } from '@baobabdeck/types';
import type { Step } from '../effect.js';
import { findDrainObstacle, selectBudgetUse } from '../fold/budget.js';
import type { FleetState, Host } from '../fold/fold-state.js';
import type { State } from '../state.js';
import { selectHostListAge } from './hosts.js';
import { propose } from './propose.js';

/** Share of its slots in use from which a pool is short. */
const SHORT_USE = 0.95;

/** Share of its slots that a pool aims at after it was lent hosts. */
const AIMED_USE = 0.9;

/** Share of its remaining slots in use up to which a pool can spare a host. */
const SPARE_USE = 0.6;

/** Time for which a pool must be short before a host is moved: one heartbeat alone moves nothing. */
const SHORT_MILLISECONDS = 1_000;

/** Time for which a moved host stays. */
const STAY_MILLISECONDS = 20_000;

/** The load of every pool, as the newest heartbeats tell. */
export function selectPoolLoads(state: State): ReadonlyMap<string, PoolLoad> {
  const loads = new Map<string, PoolLoad>();
  for (const [processId, peer] of state.membership.peers) {
    peer.poolLoads
      .filter((load) => state.dispatchers.get(load.pool) === processId)
      .forEach((load) => loads.set(load.pool, load));
  }
  return loads;
}

/** Slots that a pool needs. Work that waits counts once, by its arrival: a queue is no lasting demand. */
function demandOf(load: PoolLoad): number {
  return Math.max(load.offeredSlots, load.busySlots);
}

function countIncoming(fleet: FleetState, pool: string): number {
  return fleet.pools.reduce((sum, view) => {
    const onTheWay = view.absentHostIds.count((hostId) => {
      const duty = fleet.hosts.get(hostId)?.duty;
      return duty !== undefined && duty.kind !== 'in-service' && duty.permit.destinationPool === pool;
    });
    return sum + onTheWay;
  }, 0);
}

function slotsPerHost(fleet: FleetState, pool: string): number {
  return fleet.configuration.pools.get(pool)?.slotsPerHost ?? 1;
}

/** Hosts that a pool lacks, those on their way to it left out. */
function countMissing(fleet: FleetState, load: PoolLoad): number {
  if (demandOf(load) < load.totalSlots * SHORT_USE) return 0;
  const wanted = Math.ceil(demandOf(load) / AIMED_USE / slotsPerHost(fleet, load.pool));
  const present = Math.floor(load.totalSlots / slotsPerHost(fleet, load.pool));
  return Math.max(0, wanted - present - countIncoming(fleet, load.pool));
}

/** Hosts that a pool can lend without falling below its minimum or growing short itself. */
function countSpare(fleet: FleetState, load: PoolLoad): number {
  const minimum = fleet.configuration.pools.get(load.pool)?.minimumHosts ?? null;
  if (minimum === null) return 0;
  const perHost = slotsPerHost(fleet, load.pool);
  const present = Math.floor(load.totalSlots / perHost);
  const needed = Math.max(minimum, Math.ceil(demandOf(load) / SPARE_USE / perHost));
  return Math.max(0, Math.min(present - needed, selectBudgetUse(fleet, load.pool).room));
}

/** Pools that are short, with since when. */
function noteShortPools(state: State, loads: ReadonlyMap<string, PoolLoad>): State {
  let { shortSince } = state.control;
  for (const load of loads.values()) {
    const isShort = countMissing(state.fold.fleet, load) > 0;
    if (isShort && !shortSince.has(load.pool)) shortSince = shortSince.set(load.pool, state.now);
    if (!isShort) shortSince = shortSince.remove(load.pool);
  }
  return { ...state, control: { ...state.control, shortSince } };
}

function isShortForLong(state: State, pool: string): boolean {
  const since = state.control.shortSince.get(pool);
  return since !== undefined && millisecondsBetween(since, state.now) >= SHORT_MILLISECONDS;
}

/** The pool that lends first: every controller names the same one from the same loads. */
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
  const rested = millisecondsBetween(host.joinedAt, state.now) >= STAY_MILLISECONDS;
  return rested && findDrainObstacle(state.fold.fleet, host, selectHostListAge(state)) === null;
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

/** Lends hosts of this controller's pools to pools that are short. */
export function* lendHosts(state: State, ownPools: ReadonlyMap<string, number>): Step<State> {
  const loads = selectPoolLoads(state);
  let current = noteShortPools(state, loads);
  for (const load of loads.values()) {
    if (!isShortForLong(current, load.pool)) continue;
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
