/** Computes how many hosts each pool has, requires for its load, and keeps for the return of a peak. */
import type { HostLoad, ServiceReport } from '../model/service-report.js';
import type { Instant } from '../model/instant.js';
import type { DemandPeak, FleetState, HostState, ReceivedReport } from './state.js';

/** Capacity relative to the load: arrivals come in bursts, and tasks cannot fill hosts completely. */
const HEADROOM = 1.25;

/** Additional hosts, as a reserve for hosts that fail. */
const RESERVE_HOSTS = 1;

/** Minimum number of hosts of a pool. */
const MINIMUM_HOSTS = 2;

/** Time for which a peak of demand is expected to return: a pool keeps its hosts meanwhile, since a move takes time. */
const PEAK_VALIDITY_MILLISECONDS = 30_000;

/** Share of all hosts that is reserved in the pools for the return of their peaks, in equal parts. */
const RESERVED_SHARE = 0.5;

/** Age above which a report is too old to base moves on. */
const REPORT_VALIDITY_MILLISECONDS = 1_500;

/** Current, required and kept hosts of one pool. */
export interface PoolBalance {
  readonly pool: string;
  readonly received: ReceivedReport;
  /** Hosts that serve the pool or are moving to it. */
  readonly currentHosts: number;
  /** Hosts that return from maintenance. */
  readonly returningHosts: number;
  readonly requiredHosts: number;
  /** Hosts below which the pool gives none to standby: those that its latest peak required, at least the required ones. */
  readonly keptHosts: number;
  /** Hosts below which the pool gives none to other pools: kept hosts up to an even share, at least the required ones. */
  readonly reservedHosts: number;
  /** Hosts beyond the arriving ones that waiting gangs or lasting tasks need. */
  readonly urgentHosts: number;
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
function computeRequiredHosts(report: ServiceReport, hostMilliCores: number): number {
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

/** Returns how many hosts each pool may reserve for the return of its peak. */
function evenReserveOf({ hosts, pools }: FleetState): number {
  const serving = pools.filter(({ isStandby }) => !isStandby);
  return Math.floor((hosts.size * RESERVED_SHARE) / Math.max(1, serving.length));
}

/** Returns the balance of a pool; null if its service has not reported lately. */
export function balanceOf(state: FleetState, pool: string): PoolBalance | null {
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
  const keptHosts = Math.max(requiredHosts, peak.hosts);
  return {
    pool,
    received: { ...received, peak },
    currentHosts,
    returningHosts,
    requiredHosts,
    keptHosts,
    reservedHosts: Math.max(requiredHosts, Math.min(keptHosts, evenReserveOf(state))),
    urgentHosts: Math.max(0, received.report.missingHosts - arriving),
  };
}

/**
 * Returns how many hosts a pool must get. Maintenance is short, so hosts in maintenance count as present unless the
 * pool would lack more than its reserve until they return.
 */
export function missingHostsOf({ requiredHosts, currentHosts, returningHosts }: PoolBalance): number {
  const withReturning = requiredHosts - currentHosts - returningHosts;
  const withoutReserve = requiredHosts - RESERVE_HOSTS - currentHosts;
  return Math.max(0, withReturning, withoutReserve);
}
