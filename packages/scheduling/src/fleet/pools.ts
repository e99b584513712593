/** Balances hosts among pools: computes how many each pool requires, and selects hosts to move. */
import type { HostLoad, ServiceReport } from '../service/demand.js';
import type { Instant } from '../service/state.js';
import type { FleetStep } from './event.js';
import { isStandbyPool, mayOrder, requestHostAction } from './orders.js';
import type { DemandPeak, FleetState, HostState, ReceivedReport } from './state.js';
import { updateFleet } from './update.js';

/** Capacity relative to the load: arrivals come in bursts, and tasks cannot fill hosts completely. */
const HEADROOM = 1.25;

/** Additional hosts, as a reserve for hosts that fail. */
const RESERVE_HOSTS = 1;

/** Minimum number of hosts of a pool. */
const MINIMUM_HOSTS = 2;

/** Time for which a pool must have had a surplus before a host of it moves to standby. */
const SURPLUS_DELAY_MILLISECONDS = 2_500;

/** Time for which a peak of demand is expected to return: a pool keeps its hosts meanwhile, since a move takes time. */
const PEAK_VALIDITY_MILLISECONDS = 30_000;

/** Age above which a report is too old to base moves on. */
const REPORT_VALIDITY_MILLISECONDS = 1_500;

/** Current and required hosts of one pool. */
interface PoolBalance {
  readonly pool: string;
  readonly received: ReceivedReport;
  /** Hosts that serve the pool or are moving to it. */
  readonly currentHosts: number;
  /** Hosts that return from maintenance. */
  readonly returningHosts: number;
  readonly requiredHosts: number;
  /** Hosts that the pool keeps rather than give them to standby: those for its latest peak, at least the required ones. */
  readonly keptHosts: number;
}

function averageHostMilliCores(state: FleetState, pool: string): number {
  const ofPool = [...state.hosts.values()].filter((host) => host.listing.pool === pool);
  const all = ofPool.length > 0 ? ofPool : [...state.hosts.values()];
  const sum = all.reduce((total, host) => total + host.listing.capacity.milliCores, 0);
  return Math.max(1, sum / Math.max(1, all.length));
}

/** Returns the load in thousandths of a core: running and waiting tasks, or, if more, lasting tasks and arrivals. */
function loadOf(report: ServiceReport): number {
  const committed = report.hosts.reduce((sum, host) => sum + host.committedMilliCores, 0);
  const now = committed + report.waitingMilliCores;
  return Math.max(now, report.lastingMilliCores + report.offeredMilliCores);
}

/** Returns how many hosts a service requires for its load. */
export function computeRequiredHosts(report: ServiceReport, hostMilliCores: number): number {
  const hosts = Math.ceil((loadOf(report) * HEADROOM) / hostMilliCores) + RESERVE_HOSTS;
  return Math.max(MINIMUM_HOSTS, report.leastHosts, hosts);
}

function isArriving(host: HostState, pool: string): boolean {
  const what = host.order?.what ?? host.requestedAction?.what;
  return (
    what?.kind === 'move' && what.pool === pool && (host.listing.pool !== pool || host.listing.state !== 'up')
  );
}

/** Returns whether a host serves its pool and is neither requested nor ordered away. */
function isServing(host: HostState, load: HostLoad | undefined): boolean {
  return (
    load?.isSound === true && load.release === null && host.order === null && host.requestedAction === null
  );
}

/** Returns whether a host is ordered or requested for maintenance; it returns to its pool afterwards. */
function isInMaintenance(host: HostState): boolean {
  return (host.order?.what ?? host.requestedAction?.what)?.kind === 'maintain';
}

/** Returns the peak to remember. A new owner of the fleet takes the present size of the pool for the latest peak. */
function updatePeak(
  { peak }: ReceivedReport,
  requiredHosts: number,
  presentHosts: number,
  now: Instant,
): DemandPeak {
  const known = peak ?? { hosts: presentHosts, at: now };
  const isOver = now - known.at > PEAK_VALIDITY_MILLISECONDS;
  return isOver || requiredHosts >= known.hosts ? { hosts: requiredHosts, at: now } : known;
}

function balanceOf(state: FleetState, pool: string): PoolBalance | null {
  const received = state.reports.get(pool);
  if (received === undefined || state.now - received.receivedAt > REPORT_VALIDITY_MILLISECONDS) return null;
  const loads = new Map(received.report.hosts.map((load) => [load.hostId, load]));
  const ofPool = state.hosts.filter((host) => host.listing.pool === pool);
  const serving = ofPool.count((host, hostId) => isServing(host, loads.get(hostId)));
  const arriving = state.hosts.count((host) => isArriving(host, pool));
  const currentHosts = serving + arriving;
  const returningHosts = ofPool.count(isInMaintenance);
  const requiredHosts = Math.max(
    computeRequiredHosts(received.report, averageHostMilliCores(state, pool)),
    received.report.missingHosts > 0 ? serving + received.report.missingHosts : 0,
  );
  const peak = updatePeak(received, requiredHosts, ofPool.size + arriving, state.now);
  return {
    pool,
    received: { ...received, peak },
    currentHosts,
    returningHosts,
    requiredHosts,
    keptHosts: Math.max(requiredHosts, peak.hosts),
  };
}

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
  return [...state.hosts.values()].filter(
    (host) => isStandbyPool(state, host.listing.pool) && isFree(state, host),
  );
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
  for (const load of loads) {
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

/**
 * Returns how many hosts a pool must get. Maintenance is short, so hosts in maintenance count as present unless the
 * pool would lack more than its reserve until they return.
 */
function missingHostsOf({ requiredHosts, currentHosts, returningHosts }: PoolBalance): number {
  const withReturning = requiredHosts - currentHosts - returningHosts;
  const withoutReserve = requiredHosts - RESERVE_HOSTS - currentHosts;
  return Math.max(0, withReturning, withoutReserve);
}

/** Returns the donor with the most hosts to spare, so that no pool is emptied before the others; null for none. */
function largestDonor(spares: ReadonlyMap<PoolBalance, number>): PoolBalance | null {
  let largest: PoolBalance | null = null;
  let most = 0;
  for (const [donor, spare] of spares) {
    if (spare > most) {
      largest = donor;
      most = spare;
    }
  }
  return largest;
}

/** Fills a pool from standby, then from donors, whose hosts to spare are counted down in `spares`. */
function* fillPool(
  state: FleetState,
  balance: PoolBalance,
  spares: Map<PoolBalance, number>,
): FleetStep<FleetState> {
  let next = state;
  let missing = missingHostsOf(balance);
  for (const host of freeStandbyHosts(next).slice(0, Math.max(0, missing))) {
    next = yield* requestMove(next, host, balance.pool, 'a pool needs hosts');
    missing -= 1;
  }
  while (missing > 0) {
    const donor = largestDonor(spares);
    if (donor === null) break;
    const host = leastLoadedHost(next, donor);
    if (host === null) spares.delete(donor);
    else {
      next = yield* requestMove(next, host, balance.pool, 'another pool needs hosts');
      missing -= 1;
      spares.set(donor, (spares.get(donor) ?? 0) - 1);
    }
  }
  return next;
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
  let state = balances.reduce(recordDemand, before);
  const spares = new Map(
    balances.map((balance) => [balance, balance.currentHosts - balance.requiredHosts] as const),
  );
  for (const balance of balances) {
    if (missingHostsOf(balance) > 0) state = yield* fillPool(state, balance, spares);
  }
  for (const { pool } of balances) {
    const balance = balanceOf(state, pool);
    if (balance !== null) {
      state = yield* restockPool(state, balance);
      state = yield* moveSurplusToStandby(state, balance);
    }
  }
  return state;
}
