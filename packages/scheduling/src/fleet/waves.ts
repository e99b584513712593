/** Carries waves of maintenance out: in time, within their limit, and with the least harm to pools that are busy. */
import type { HostLoad } from '../service/demand.js';
import type { FleetEventOf, FleetStep } from './event.js';
import { isStandbyPool, mayOrder, recordWave, requestHostAction } from './orders.js';
import type { FleetState, HostState, WaveState } from './state.js';
import { updateFleet } from './update.js';

/** Share of a wave's time in which it should be over, so that stragglers have the rest. */
const TARGET_SHARE = 0.7;

/** Part of a service's hosts that a wave takes at once while it is in no hurry. */
const CALM_SHARE_OF_A_POOL = 0.25;

/** Notes a wave that the operator asks for. */
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

/** Whether a host is, or may be, down for a wave: by our order, or by one of an earlier owner. */
function isDownFor(state: FleetState, host: HostState, { wave, hostIds }: WaveState): boolean {
  const { hostId } = host.listing;
  const what = host.order?.what ?? state.inheritedOrders.get(hostId);
  const isOrdered = what?.kind === 'maintain' && what.wave === wave;
  return isOrdered || (host.listing.state === 'upkeep' && hostIds.includes(hostId));
}

function isWantedFor(host: HostState, wave: number): boolean {
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

/** How much it harms to take a host away: nothing for one that is off, then by how busy its pool and it are. */
function harmOf(state: FleetState, host: HostState): number {
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

/** Whether a wave must take what it can get: at an even pace it would not be over in its share of the time. */
function isInHurry(state: FleetState, wave: WaveState, left: number): boolean {
  const elapsed = state.timeOfDay.getTime() - wave.seenSince.getTime();
  const target = wave.durationMilliseconds * TARGET_SHARE;
  const expected = wave.hostIds.length * (1 - elapsed / target);
  return left > Math.ceil(expected);
}

function isPoolSpared(state: FleetState, wave: WaveState, host: HostState): boolean {
  const { pool } = host.listing;
  const ofPool = state.hosts.filter((one) => one.listing.pool === pool);
  const away = ofPool.count((one) => one.order !== null || one.requestedAction !== null);
  return away + 1 > Math.max(1, Math.floor(ofPool.size * CALM_SHARE_OF_A_POOL));
}

function* pickHosts(state: FleetState, wave: WaveState): FleetStep<FleetState> {
  const hosts = hostsOf(state, wave);
  const taken = hosts.filter((host) => isDownFor(state, host, wave) || isWantedFor(host, wave.wave)).length;
  const left = hosts.filter((host) => !wave.begunHostIds.has(host.listing.hostId));
  const isHurried = isInHurry(state, wave, left.length);
  const ready = left
    .filter(
      (host) =>
        host.order === null &&
        host.requestedAction === null &&
        host.listing.state === 'up' &&
        host.cooldownUntil <= state.now,
    )
    .sort((one, other) => harmOf(state, one) - harmOf(state, other));
  let next = state;
  let free = wave.maximumDown - taken;
  for (const host of ready) {
    if (free <= 0) break;
    const isOff = isStandbyPool(next, host.listing.pool);
    if (isOff || isHurried || !isPoolSpared(next, wave, host)) {
      const what = { kind: 'maintain' as const, wave: wave.wave };
      const { hostId, pool } = host.listing;
      yield { kind: 'log', decision: 'hostWanted', fields: { hostId, pool, wave: wave.wave, isHurried } };
      next = requestHostAction(next, host, what);
      free -= 1;
    }
  }
  return next;
}

function isOver(state: FleetState, wave: WaveState): boolean {
  if (state.listedAt === null || state.listedAt < wave.seenAt) return false;
  // A host that the list has no more does not stay: its maintenance is not waited for.
  return hostsOf(state, wave).every((host) => wave.begunHostIds.has(host.listing.hostId));
}

function* advanceWave(state: FleetState, wave: WaveState): FleetStep<FleetState> {
  if (wave.isCompleted || wave.hostIds.length === 0) return state;
  if (!isOver(state, wave)) return mayOrder(state) ? yield* pickHosts(state, wave) : state;
  const milliseconds = Math.round(state.now - wave.seenAt);
  yield { kind: 'log', decision: 'waveEnded', fields: { wave: wave.wave, milliseconds } };
  return recordWave(state, { ...wave, isCompleted: true });
}

function* tellStatus(state: FleetState, wave: WaveState): FleetStep<FleetState> {
  const status = wave.isCompleted ? 'completed' : 'running';
  if (wave.reportedStatus === status || wave.isReporting || wave.hostIds.length === 0) return state;
  yield { kind: 'tell-wave-status', wave: wave.wave, status };
  return updateFleet(state, { waves: state.waves.set(wave.wave, { ...wave, isReporting: true }) });
}

/** Notes whether the operator was told. */
export function handleWaveStatusReported(
  state: FleetState,
  { wave, status, isStored }: FleetEventOf<'wave-status-told'>,
): FleetState {
  const known = state.waves.get(wave);
  if (known === undefined) return state;
  const told = { ...known, isReporting: false, reportedStatus: isStored ? status : known.reportedStatus };
  return updateFleet(state, { waves: state.waves.set(wave, told) });
}

/** Goes on with every wave. */
export function* advanceWaves(state: FleetState): FleetStep<FleetState> {
  let next = state;
  for (const wave of state.waves.values()) {
    next = yield* advanceWave(next, next.waves.get(wave.wave) ?? wave);
    next = yield* tellStatus(next, next.waves.get(wave.wave) ?? wave);
  }
  return next;
}
