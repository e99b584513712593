/** How many hosts each pool should have, and which hosts move: ahead of need where there is one, and back. */
import type { HostLoad, ServiceReport } from '../service/demand.js';
import type { Instant } from '../service/state.js';
import type { FleetStep } from './event.js';
import { isStandbyPool, mayOrder, requestHostAction } from './orders.js';
import type { FleetState, HostState, ReceivedReport } from './state.js';
import { updateFleet } from './update.js';

/** Room kept beyond the load: arrivals come in bursts, and tasks do not fill hosts to the brim. */
const HEADROOM = 1.25;

/** Hosts kept beyond the load, for hosts that fail. */
const RESERVE_HOSTS = 1;

/** The fewest hosts of a pool. */
const LEAST_HOSTS = 2;

/** Time for which a pool must have had too many hosts before it gives one away. */
const SURPLUS_MILLISECONDS = 2_500;

/** Age from which on a report says too little to move hosts by. */
const REPORT_MILLISECONDS = 1_500;

/** What one pool has and needs. */
interface PoolBalance {
  readonly pool: string;
  readonly known: ReceivedReport;
  /** Hosts that serve it or are on their way to it. */
  readonly have: number;
  /** Hosts that come back from maintenance. */
  readonly returning: number;
  readonly need: number;
}

function capacityOfAHost(state: FleetState, pool: string): number {
  const ofPool = [...state.hosts.values()].filter((host) => host.listing.pool === pool);
  const all = ofPool.length > 0 ? ofPool : [...state.hosts.values()];
  const sum = all.reduce((total, host) => total + host.listing.capacity.milliCores, 0);
  return Math.max(1, sum / Math.max(1, all.length));
}

/** Thousandths of a core that a service keeps busy, by what runs and waits and by what has arrived lately. */
function loadOf(report: ServiceReport): number {
  const committed = report.hosts.reduce((sum, host) => sum + host.committedMilliCores, 0);
  const now = committed + report.waitingMilliCores;
  return Math.max(now, report.lastingMilliCores + report.offeredMilliCores);
}

/** The hosts that a service needs for its load. */
export function neededHosts(report: ServiceReport, hostMilliCores: number): number {
  const hosts = Math.ceil((loadOf(report) * HEADROOM) / hostMilliCores) + RESERVE_HOSTS;
  return Math.max(LEAST_HOSTS, report.leastHosts, hosts);
}

function isComing(host: HostState, pool: string): boolean {
  const what = host.order?.what ?? host.requestedAction?.what;
  return (
    what?.kind === 'move' && what.pool === pool && (host.listing.pool !== pool || host.listing.state !== 'up')
  );
}

/** Whether a host serves its pool now and stays there. */
function isServing(host: HostState, load: HostLoad | undefined): boolean {
  return (
    load?.isSound === true && load.release === null && host.order === null && host.requestedAction === null
  );
}

/** Whether a host is away for maintenance and comes back by itself. */
function isInMaintenance(host: HostState): boolean {
  return (host.order?.what ?? host.requestedAction?.what)?.kind === 'maintain';
}

function balanceOf(state: FleetState, pool: string): PoolBalance | null {
  const known = state.reports.get(pool);
  if (known === undefined || state.now - known.at > REPORT_MILLISECONDS) return null;
  const loads = new Map(known.report.hosts.map((load) => [load.hostId, load]));
  const ofPool = state.hosts.filter((host) => host.listing.pool === pool);
  const serving = ofPool.count((host, hostId) => isServing(host, loads.get(hostId)));
  const coming = state.hosts.count((host) => isComing(host, pool));
  return {
    pool,
    known,
    have: serving + coming,
    returning: ofPool.count(isInMaintenance),
    need: Math.max(
      neededHosts(known.report, capacityOfAHost(state, pool)),
      known.report.missingHosts > 0 ? serving + known.report.missingHosts : 0,
    ),
  };
}

function noteSurplus(state: FleetState, { pool, known, have, need }: PoolBalance): FleetState {
  const surplusSince = have > need ? (known.surplusSince ?? state.now) : null;
  return updateFleet(state, { reports: state.reports.set(pool, { ...known, surplusSince }) });
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

/** The host that a pool can spare with the least harm; none that runs lasting tasks. */
function cheapestHost(state: FleetState, { pool, known }: PoolBalance): HostState | null {
  const loads = [...known.report.hosts]
    .filter((load) => load.isSound && load.release === null && load.lastingCount === 0)
    .sort(compareLoads);
  for (const load of loads) {
    const host = state.hosts.get(load.hostId);
    if (host !== undefined && host.listing.pool === pool && isFree(state, host)) return host;
  }
  return null;
}

function* moveHost(state: FleetState, host: HostState, pool: string, reason: string): FleetStep<FleetState> {
  const { hostId } = host.listing;
  const what = { kind: 'move' as const, pool };
  yield {
    kind: 'log',
    decision: 'hostWanted',
    fields: { hostId, pool: host.listing.pool, toPool: pool, reason },
  };
  return requestHostAction(state, host, what);
}

function isLongSurplus({ known, have, need }: PoolBalance, now: Instant): boolean {
  return have > need && known.surplusSince !== null && now - known.surplusSince >= SURPLUS_MILLISECONDS;
}

/** Hosts that a pool must get; maintenance is over soon, so it counts only where too little is left meanwhile. */
function missingOf({ need, have, returning }: PoolBalance): number {
  const withReturning = need - have - returning;
  const withoutReserve = need - RESERVE_HOSTS - have;
  return Math.max(0, withReturning, withoutReserve);
}

function* fillPool(
  state: FleetState,
  balance: PoolBalance,
  donors: readonly PoolBalance[],
): FleetStep<FleetState> {
  let next = state;
  let missing = missingOf(balance);
  for (const host of freeStandbyHosts(next).slice(0, Math.max(0, missing))) {
    next = yield* moveHost(next, host, balance.pool, 'a pool needs hosts');
    missing -= 1;
  }
  for (const donor of donors) {
    let spare = donor.have - donor.need;
    while (missing > 0 && spare > 0) {
      const host = cheapestHost(next, donor);
      if (host === null) break;
      next = yield* moveHost(next, host, balance.pool, 'another pool needs hosts');
      missing -= 1;
      spare -= 1;
    }
  }
  return next;
}

function* emptyPool(state: FleetState, balance: PoolBalance): FleetStep<FleetState> {
  const standby = state.pools.find((terms) => terms.isStandby);
  if (standby === undefined || !isLongSurplus(balance, state.now)) return state;
  let next = state;
  for (let spare = balance.have - balance.need; spare > 0; spare -= 1) {
    const host = cheapestHost(next, balance);
    if (host === null) break;
    next = yield* moveHost(next, host, standby.pool, 'its pool has more hosts than it needs');
  }
  return next;
}

/** Moves hosts to where they are needed, and those that nobody needs to the pool that costs nothing. */
export function* balancePools(before: FleetState): FleetStep<FleetState> {
  if (!mayOrder(before) || before.listedAt === null) return before;
  const serving = before.pools.filter((terms) => !terms.isStandby).map((terms) => terms.pool);
  const balances = serving.flatMap((pool) => balanceOf(before, pool) ?? []);
  let state = balances.reduce(noteSurplus, before);
  const donors = balances.filter((balance) => balance.have > balance.need);
  for (const balance of balances) {
    if (missingOf(balance) > 0) state = yield* fillPool(state, balance, donors);
  }
  for (const { pool } of donors) {
    const balance = balanceOf(state, pool);
    if (balance !== null) state = yield* emptyPool(state, balance);
  }
  return state;
}
