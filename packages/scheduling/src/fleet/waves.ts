/** Carries out maintenance waves in time, within their limit of hosts down, with little disruption of busy pools. */
import type { HostLoad } from '../model/service-report.js';
import type { FleetEventOf, FleetStep } from './event.js';
import { isStandbyPool, mayOrder, recordWave, requestHostAction } from './orders.js';
import type { FleetState, HostState, WaveState } from './state.js';
import { updateFleet } from './update.js';
import { hostsOfWave, isDrainOverdue, isRequestedFor, roomOfWave } from './wave-places.js';
import { isBehindSchedule } from './wave-schedule.js';

/** Share of a pool's hosts that may be unavailable at once while a wave is on schedule. */
const UNHURRIED_POOL_SHARE = 0.25;

/** Records a wave that the operator requested. */
export function* handleWaveRequested(
  state: FleetState,
  event: FleetEventOf<'wave-asked'>,
): FleetStep<FleetState> {
  const { wave, hostIds, maximumDown, durationMilliseconds } = event;
  const known = state.waves.get(wave);
  if (known !== undefined && known.hostIds.length > 0) return state;
  yield {
    kind: 'log',
    decision: 'waveBegun',
    fields: { wave, hosts: hostIds.length, maximumDown, durationMilliseconds },
  };
  const begun: WaveState = {
    wave,
    hostIds,
    maximumDown,
    durationMilliseconds,
    seenAt: state.now,
    seenSince: known?.seenSince ?? state.timeOfDay,
    begunHostIds: known?.begunHostIds ?? new Set(),
    isCompleted: known?.isCompleted ?? false,
    reportedStatus: null,
    isReporting: false,
  };
  return recordWave(state, begun);
}

function loadOf(state: FleetState, host: HostState): HostLoad | null {
  const hosts = state.reports.get(host.listing.pool)?.report.hosts ?? [];
  return hosts.find((load) => load.hostId === host.listing.hostId) ?? null;
}

/** Rates the disruption by maintenance of a host from the load of its pool and its tasks; -1 for a host that is off. */
function disruptionOf(state: FleetState, host: HostState): number {
  if (isStandbyPool(state, host.listing.pool)) return -1;
  const report = state.reports.get(host.listing.pool)?.report;
  const load = loadOf(state, host);
  if (report === undefined || load === null) return 0;
  const capacity = Math.max(1, report.hosts.length * host.listing.capacity.milliCores);
  const busy = report.hosts.reduce((sum, one) => sum + one.committedMilliCores, 0) + report.waitingMilliCores;
  const TASK_WEIGHT = 0.01;
  const LASTING_WEIGHT = 0.05;
  return busy / capacity + load.taskCount * TASK_WEIGHT + load.lastingCount * LASTING_WEIGHT;
}

function wouldExceedPoolShare(state: FleetState, wave: WaveState, host: HostState): boolean {
  const { pool } = host.listing;
  const ofPool = state.hosts.filter((one) => one.listing.pool === pool);
  const away = ofPool.count((one) => one.order !== null || one.requestedAction !== null);
  return away + 1 > Math.max(1, Math.floor(ofPool.size * UNHURRIED_POOL_SHARE));
}

/**
 * Returns whether a wave may take a host now. A wave that is behind its schedule also takes hosts that are only
 * requested for a move, since the move would delay their maintenance.
 */
function isReady(state: FleetState, host: HostState, isHurried: boolean): boolean {
  const { order, requestedAction, listing, cooldownUntil } = host;
  const isMoveRequested = requestedAction?.what.kind === 'move' && !requestedAction.isResumed;
  const isUnrequested = requestedAction === null || (isHurried && isMoveRequested);
  return order === null && isUnrequested && listing.state === 'up' && cooldownUntil <= state.now;
}

/** Returns whether a host has lasting tasks, of whose steps only a limited number may be absent at once. */
function hasLastingTasks(state: FleetState, host: HostState): boolean {
  return (loadOf(state, host)?.lastingCount ?? 0) > 0;
}

/** Returns the pools in which a host with lasting tasks is being drained for a wave and is not overdue. */
function poolsWithSlowDrain(state: FleetState, wave: WaveState): ReadonlySet<string> {
  const slow = hostsOfWave(state, wave).filter(
    (host) => isRequestedFor(host, wave.wave) && hasLastingTasks(state, host) && !isDrainOverdue(state, host),
  );
  return new Set(slow.map(({ listing }) => listing.pool));
}

function* requestMaintenance(
  state: FleetState,
  host: HostState,
  { wave }: WaveState,
  isHurried: boolean,
): FleetStep<FleetState> {
  const { hostId, pool } = host.listing;
  yield { kind: 'log', decision: 'hostWanted', fields: { hostId, pool, wave, isHurried } };
  return requestHostAction(state, host, { kind: 'maintain', wave });
}

/**
 * Takes the next hosts of a wave: hosts that are off fill free places, and others are drained. Hosts with lasting tasks
 * take longest to drain, so one in each pool is drained at all times, in addition to the others.
 */
function* selectHosts(state: FleetState, wave: WaveState): FleetStep<FleetState> {
  const left = hostsOfWave(state, wave).filter(({ listing }) => !wave.begunHostIds.has(listing.hostId));
  const isHurried = isBehindSchedule(state, wave, left.length);
  const ready = left
    .filter((host) => isReady(state, host, isHurried))
    .sort((one, other) => disruptionOf(state, one) - disruptionOf(state, other));
  let next = state;
  let { drains, idleHosts } = roomOfWave(state, wave, isHurried);
  const slowPools = new Set(poolsWithSlowDrain(state, wave));
  for (const host of ready) {
    const { pool } = host.listing;
    if (isStandbyPool(next, pool)) {
      if (idleHosts > 0) {
        next = yield* requestMaintenance(next, host, wave, isHurried);
        idleHosts -= 1;
        drains -= 1;
      }
    } else if (isHurried || !wouldExceedPoolShare(next, wave, host)) {
      const isNextSlow = !slowPools.has(pool) && hasLastingTasks(state, host);
      if (drains > 0 || isNextSlow) {
        next = yield* requestMaintenance(next, host, wave, isHurried);
        if (isNextSlow) slowPools.add(pool);
        else drains -= 1;
      }
    }
  }
  return next;
}

function isFinished(state: FleetState, wave: WaveState): boolean {
  if (state.listedAt === null || state.listedAt < wave.seenAt) return false;
  // A host that is no longer listed has left the platform, so the wave does not wait for its maintenance.
  return hostsOfWave(state, wave).every((host) => wave.begunHostIds.has(host.listing.hostId));
}

function* advanceWave(state: FleetState, wave: WaveState): FleetStep<FleetState> {
  if (wave.isCompleted || wave.hostIds.length === 0) return state;
  if (!isFinished(state, wave)) return mayOrder(state) ? yield* selectHosts(state, wave) : state;
  const milliseconds = Math.round(state.now - wave.seenAt);
  yield { kind: 'log', decision: 'waveEnded', fields: { wave: wave.wave, milliseconds } };
  return recordWave(state, { ...wave, isCompleted: true });
}

function* reportStatus(state: FleetState, wave: WaveState): FleetStep<FleetState> {
  const status = wave.isCompleted ? 'completed' : 'running';
  if (wave.reportedStatus === status || wave.isReporting || wave.hostIds.length === 0) return state;
  yield { kind: 'tell-wave-status', wave: wave.wave, status };
  return updateFleet(state, { waves: state.waves.set(wave.wave, { ...wave, isReporting: true }) });
}

/** Records whether a status report reached the operator. */
export function handleWaveStatusReported(
  state: FleetState,
  { wave, status, isStored }: FleetEventOf<'wave-status-told'>,
): FleetState {
  const known = state.waves.get(wave);
  if (known === undefined) return state;
  const updated = { ...known, isReporting: false, reportedStatus: isStored ? status : known.reportedStatus };
  return updateFleet(state, { waves: state.waves.set(wave, updated) });
}

/** Advances every wave and reports its status. */
export function* advanceWaves(state: FleetState): FleetStep<FleetState> {
  let next = state;
  for (const wave of state.waves.values()) {
    next = yield* advanceWave(next, next.waves.get(wave.wave) ?? wave);
    next = yield* reportStatus(next, next.waves.get(wave.wave) ?? wave);
  }
  return next;
}
