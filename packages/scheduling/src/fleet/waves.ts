/** Carries out maintenance waves in time, within their limit of hosts down, with little disruption of busy pools. */
import type { HostLoad } from '../model/service-report.js';
import type { FleetEventOf, FleetStep } from './event.js';
import { isStandbyPool, mayOrder, recordWave, requestHostAction } from './orders.js';
import type { FleetState, HostState, WaveState } from './state.js';
import { updateFleet } from './update.js';

/** Share of a wave's duration in which it should finish; the remainder is left for stragglers. */
const TARGET_SHARE = 0.7;

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

/** Returns whether a host is or may be down for a wave, by an order of this owner or of an earlier one. */
function isDownFor(state: FleetState, host: HostState, { wave, hostIds }: WaveState): boolean {
  const { hostId } = host.listing;
  const what = host.order?.what ?? state.inheritedOrders.get(hostId);
  const isOrdered = what?.kind === 'maintain' && what.wave === wave;
  return isOrdered || (host.listing.state === 'upkeep' && hostIds.includes(hostId));
}

function isRequestedFor(host: HostState, wave: number): boolean {
  const what = host.requestedAction?.what;
  return what?.kind === 'maintain' && what.wave === wave;
}

function hostsOf(state: FleetState, wave: WaveState): readonly HostState[] {
  return wave.hostIds.flatMap((hostId) => state.hosts.get(hostId) ?? []);
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

/** Returns whether fewer hosts have begun maintenance than an even pace to the end of the target time requires. */
function isBehindSchedule(state: FleetState, wave: WaveState, left: number): boolean {
  const elapsed = state.timeOfDay.getTime() - wave.seenSince.getTime();
  const target = wave.durationMilliseconds * TARGET_SHARE;
  const expected = wave.hostIds.length * (1 - elapsed / target);
  return left > Math.ceil(expected);
}

function wouldExceedPoolShare(state: FleetState, wave: WaveState, host: HostState): boolean {
  const { pool } = host.listing;
  const ofPool = state.hosts.filter((one) => one.listing.pool === pool);
  const away = ofPool.count((one) => one.order !== null || one.requestedAction !== null);
  return away + 1 > Math.max(1, Math.floor(ofPool.size * UNHURRIED_POOL_SHARE));
}

function* selectHosts(state: FleetState, wave: WaveState): FleetStep<FleetState> {
  const hosts = hostsOf(state, wave);
  const taken = hosts.filter(
    (host) => isDownFor(state, host, wave) || isRequestedFor(host, wave.wave),
  ).length;
  const left = hosts.filter((host) => !wave.begunHostIds.has(host.listing.hostId));
  const isHurried = isBehindSchedule(state, wave, left.length);
  const ready = left
    .filter(
      (host) =>
        host.order === null &&
        host.requestedAction === null &&
        host.listing.state === 'up' &&
        host.cooldownUntil <= state.now,
    )
    .sort((one, other) => disruptionOf(state, one) - disruptionOf(state, other));
  let next = state;
  let free = wave.maximumDown - taken;
  for (const host of ready) {
    if (free <= 0) break;
    const isOff = isStandbyPool(next, host.listing.pool);
    if (isOff || isHurried || !wouldExceedPoolShare(next, wave, host)) {
      const what = { kind: 'maintain' as const, wave: wave.wave };
      const { hostId, pool } = host.listing;
      yield { kind: 'log', decision: 'hostWanted', fields: { hostId, pool, wave: wave.wave, isHurried } };
      next = requestHostAction(next, host, what);
      free -= 1;
    }
  }
  return next;
}

function isFinished(state: FleetState, wave: WaveState): boolean {
  if (state.listedAt === null || state.listedAt < wave.seenAt) return false;
  // A host that is no longer listed has left the platform, so the wave does not wait for its maintenance.
  return hostsOf(state, wave).every((host) => wave.begunHostIds.has(host.listing.hostId));
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
