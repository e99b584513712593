/** Places of a maintenance wave: which hosts are down for it, which are being drained, and how many more may be. */
import type { FleetState, HostState, WaveState } from './state.js';

/** Hosts that are drained ahead of a free place, relative to the hosts that may be down at once. */
const DRAINED_AHEAD_SHARE = 0.5;

/** Time after which a drain no longer keeps other hosts of its wave from being drained. Most tasks end sooner. */
const DRAIN_OVERDUE_MILLISECONDS = 3_000;

/** Share of a pool's hosts whose drains may be overdue without counting; their tasks need the other hosts. */
const OVERDUE_POOL_SHARE = 0.5;

/** Returns whether a host is requested for maintenance of a wave and not yet ordered. */
export function isRequestedFor(host: HostState, wave: number): boolean {
  const what = host.requestedAction?.what;
  return what?.kind === 'maintain' && what.wave === wave;
}

/**
 * Returns whether a host is or may be down for a wave, by an order of this owner or of an earlier one. An order that an
 * earlier owner sent may be carried out late, so a host that is requested again for it counts as down.
 */
function isDownFor(state: FleetState, host: HostState, { wave, hostIds }: WaveState): boolean {
  const { hostId } = host.listing;
  const what = host.order?.what ?? state.inheritedOrders.get(hostId);
  const isOrdered = what?.kind === 'maintain' && what.wave === wave;
  const isResumed = isRequestedFor(host, wave) && host.requestedAction?.isResumed === true;
  return isOrdered || isResumed || (host.listing.state === 'upkeep' && hostIds.includes(hostId));
}

/** Returns the listed hosts of a wave. */
export function hostsOfWave(state: FleetState, { hostIds }: WaveState): readonly HostState[] {
  return hostIds.flatMap((hostId) => state.hosts.get(hostId) ?? []);
}

/** Returns how many more hosts of a wave may go down now; below 0 if too many are down. */
export function countFreePlaces(state: FleetState, wave: WaveState): number {
  const down = hostsOfWave(state, wave).filter((host) => isDownFor(state, host, wave));
  return wave.maximumDown - down.length;
}

/** Returns whether the order for a released host may begin: a wave's host only if one more of it may go down. */
export function mayBeginRequestedAction(state: FleetState, { requestedAction }: HostState): boolean {
  if (requestedAction === null) return false;
  const { what, isResumed } = requestedAction;
  if (what.kind === 'move' || isResumed) return true;
  const wave = state.waves.get(what.wave);
  // The hosts and limit of a wave that an earlier owner began are not known before the operator's entry is read.
  return wave !== undefined && countFreePlaces(state, wave) > 0;
}

function isReleased(state: FleetState, { listing }: HostState): boolean {
  const hosts = state.reports.get(listing.pool)?.report.hosts ?? [];
  return hosts.some(({ hostId, release }) => hostId === listing.hostId && release === 'released');
}

/** Returns whether a host is being drained for longer than most tasks run. */
export function isDrainOverdue(state: FleetState, host: HostState): boolean {
  const { requestedAction } = host;
  if (requestedAction === null) return false;
  const isLong = state.now - requestedAction.since >= DRAIN_OVERDUE_MILLISECONDS;
  return isLong && !isReleased(state, host);
}

/** Counts the requested hosts of a wave, without overdue drains of up to half of each pool. */
function countActiveDrains(state: FleetState, requested: readonly HostState[]): number {
  const overdueByPool = new Map<string, number>();
  let active = 0;
  for (const host of requested) {
    const { pool } = host.listing;
    const overdue = overdueByPool.get(pool) ?? 0;
    const ofPool = state.hosts.count(({ listing }) => listing.pool === pool);
    if (isDrainOverdue(state, host) && overdue < ofPool * OVERDUE_POOL_SHARE) {
      overdueByPool.set(pool, overdue + 1);
    } else active += 1;
  }
  return active;
}

/** Hosts that a wave may take next. */
export interface WaveRoom {
  /** Number of hosts that may be requested to be drained. */
  readonly drains: number;
  /** Number of hosts that need no drain and may be ordered: released hosts take free places before them. */
  readonly idleHosts: number;
}

/**
 * Returns how many hosts a wave may take next. While it is behind its schedule, some are drained ahead, so that a free
 * place is taken at once.
 */
export function roomOfWave(state: FleetState, wave: WaveState, isHurried: boolean): WaveRoom {
  const hosts = hostsOfWave(state, wave);
  const places = countFreePlaces(state, wave);
  const requested = hosts.filter((host) => isRequestedFor(host, wave.wave));
  const released = requested.filter((host) => isReleased(state, host)).length;
  const ahead = isHurried ? Math.ceil(wave.maximumDown * DRAINED_AHEAD_SHARE) : 0;
  return {
    drains: places + ahead - countActiveDrains(state, requested),
    idleHosts: places - released,
  };
}
