/** Balances hosts among pools: selects the hosts to move for the demand of each pool. */
import type { HostLoad } from '../model/service-report.js';
import type { Instant } from '../model/instant.js';
import type { FleetStep } from './event.js';
import { isStandbyPool, mayOrder, requestHostAction } from './orders.js';
import { balanceOf, missingHostsOf, type PoolBalance } from './pool-demand.js';
import type { FleetState, HostState } from './state.js';
import { updateFleet } from './update.js';
import { pendingWaveHosts, selectMovable } from './wave-schedule.js';

/** Time for which a pool must have had a surplus before a host of it moves to standby. */
const SURPLUS_DELAY_MILLISECONDS = 2_500;

/** Records the peak of a pool and since when it has a surplus. */
function recordDemand(
  state: FleetState,
  { pool, received, currentHosts, keptHosts }: PoolBalance,
): FleetState {
  const surplusSince = currentHosts > keptHosts ? (received.surplusSince ?? state.now) : null;
  return updateFleet(state, { reports: state.reports.set(pool, { ...received, surplusSince }) });
}

function isFree(state: FleetState, host: HostState): boolean {
  return (
    host.order === null &&
    host.requestedAction === null &&
    host.listing.state === 'up' &&
    host.cooldownUntil <= state.now
  );
}

function freeStandbyHosts(state: FleetState): readonly HostState[] {
  const free = [...state.hosts.values()].filter(
    (host) => isStandbyPool(state, host.listing.pool) && isFree(state, host),
  );
  return selectMovable(free, ({ listing }) => listing.hostId, pendingWaveHosts(state));
}

function compareLoads(one: HostLoad, other: HostLoad): number {
  return (
    one.lastingCount - other.lastingCount ||
    one.taskCount - other.taskCount ||
    one.committedMilliCores - other.committedMilliCores
  );
}

/** Returns the least loaded host that a pool can give away; null for none. Hosts with lasting tasks are excluded. */
function leastLoadedHost(state: FleetState, { pool, received }: PoolBalance): HostState | null {
  const loads = [...received.report.hosts]
    .filter((load) => load.isSound && load.release === null && load.lastingCount === 0)
    .sort(compareLoads);
  for (const load of selectMovable(loads, ({ hostId }) => hostId, pendingWaveHosts(state))) {
    const host = state.hosts.get(load.hostId);
    if (host !== undefined && host.listing.pool === pool && isFree(state, host)) return host;
  }
  return null;
}

function* requestMove(
  state: FleetState,
  host: HostState,
  pool: string,
  reason: string,
): FleetStep<FleetState> {
  const { hostId } = host.listing;
  const what = { kind: 'move' as const, pool };
  yield {
    kind: 'log',
    decision: 'hostWanted',
    fields: { hostId, pool: host.listing.pool, toPool: pool, reason },
  };
  return requestHostAction(state, host, what);
}

function hasLastingSurplus({ received, currentHosts, keptHosts }: PoolBalance, now: Instant): boolean {
  return (
    currentHosts > keptHosts &&
    received.surplusSince !== null &&
    now - received.surplusSince >= SURPLUS_DELAY_MILLISECONDS
  );
}

/** Returns the number of hosts that a donor keeps. */
type DonorFloor = (donor: PoolBalance) => number;

/** Floor against gangs and lasting tasks, which fewer hosts could not run at all. */
const requiredFloor: DonorFloor = ({ requiredHosts }) => requiredHosts;

/** Floor against other tasks, which run one after another on fewer hosts. */
const reservedFloor: DonorFloor = ({ reservedHosts }) => reservedHosts;

/** Returns the donor with the most hosts to spare, so that no pool is emptied before the others; null for none. */
function largestDonor(
  remainingHosts: ReadonlyMap<PoolBalance, number>,
  floorOf: DonorFloor,
): PoolBalance | null {
  let largest: PoolBalance | null = null;
  let most = 0;
  for (const [donor, remaining] of remainingHosts) {
    const spare = remaining - floorOf(donor);
    if (spare > most) {
      largest = donor;
      most = spare;
    }
  }
  return largest;
}

/** The state while pools are filled, with the hosts that remain to each donor. */
interface Filling {
  readonly state: FleetState;
  readonly remainingHosts: ReadonlyMap<PoolBalance, number>;
}

function* fillFromStandby(state: FleetState, pool: string, missing: number): FleetStep<FleetState> {
  let next = state;
  for (const host of freeStandbyHosts(state).slice(0, missing)) {
    next = yield* requestMove(next, host, pool, 'a pool needs hosts');
  }
  return next;
}

/** Takes hosts from the donors, each time from the one with the most to spare. */
function* fillFromDonors(
  filling: Filling,
  pool: string,
  missing: number,
  floorOf: DonorFloor,
): FleetStep<Filling> {
  const remainingHosts = new Map(filling.remainingHosts);
  let { state } = filling;
  let left = missing;
  let donor = largestDonor(remainingHosts, floorOf);
  while (left > 0 && donor !== null) {
    const host = leastLoadedHost(state, donor);
    if (host === null) remainingHosts.delete(donor);
    else {
      state = yield* requestMove(state, host, pool, 'another pool needs hosts');
      left -= 1;
      remainingHosts.set(donor, (remainingHosts.get(donor) ?? 0) - 1);
    }
    donor = largestDonor(remainingHosts, floorOf);
  }
  return { state, remainingHosts };
}

function* fillPool({ state, remainingHosts }: Filling, balance: PoolBalance): FleetStep<Filling> {
  const { pool, urgentHosts } = balance;
  const missing = missingHostsOf(balance);
  const fromStandby = Math.min(missing, freeStandbyHosts(state).length);
  const filled = yield* fillFromStandby(state, pool, fromStandby);
  const left = missing - fromStandby;
  const urgent = Math.min(left, Math.max(0, urgentHosts - fromStandby));
  const relieved = yield* fillFromDonors({ state: filled, remainingHosts }, pool, urgent, requiredFloor);
  return yield* fillFromDonors(relieved, pool, left - urgent, reservedFloor);
}

/** Moves standby hosts to a pool that has fewer hosts than its latest peak required. */
function* restockPool(state: FleetState, { pool, ...balance }: PoolBalance): FleetStep<FleetState> {
  const missing = balance.keptHosts - balance.currentHosts - balance.returningHosts;
  let next = state;
  for (const host of freeStandbyHosts(state).slice(0, Math.max(0, missing))) {
    next = yield* requestMove(next, host, pool, 'a peak of its demand may return');
  }
  return next;
}

function* moveSurplusToStandby(state: FleetState, balance: PoolBalance): FleetStep<FleetState> {
  const standby = state.pools.find((terms) => terms.isStandby);
  if (standby === undefined || !hasLastingSurplus(balance, state.now)) return state;
  let next = state;
  for (let spare = balance.currentHosts - balance.keptHosts; spare > 0; spare -= 1) {
    const host = leastLoadedHost(next, balance);
    if (host === null) break;
    next = yield* requestMove(next, host, standby.pool, 'its pool has more hosts than it needs');
  }
  return next;
}

/** Requests moves of hosts to pools that lack hosts, and of surplus hosts to the standby pool, which costs nothing. */
export function* balancePools(before: FleetState): FleetStep<FleetState> {
  if (!mayOrder(before) || before.listedAt === null) return before;
  const serving = before.pools.filter((terms) => !terms.isStandby).map((terms) => terms.pool);
  const balances = serving.flatMap((pool) => balanceOf(before, pool) ?? []);
  let filling: Filling = {
    state: balances.reduce(recordDemand, before),
    remainingHosts: new Map(balances.map((balance) => [balance, balance.currentHosts] as const)),
  };
  for (const balance of balances) filling = yield* fillPool(filling, balance);
  let { state } = filling;
  for (const { pool } of balances) {
    const balance = balanceOf(state, pool);
    if (balance !== null) {
      state = yield* restockPool(state, balance);
      state = yield* moveSurplusToStandby(state, balance);
    }
  }
  return state;
}
