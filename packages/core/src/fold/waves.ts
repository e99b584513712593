/** Folds maintenance waves. */
import { PersistentOrderedMap } from '../persistent.js';
import type { FleetState, Wave, WaveHostProgress } from './fold-state.js';
import { accept, reject, type FoldResult, type LoggedRecord } from './fold-step.js';
import { recordDecision, subjectKey } from './history.js';

function count(progress: WaveHostProgress | undefined, kind: WaveHostProgress['kind']): number {
  return progress?.kind === kind ? 1 : 0;
}

function isTerminal(progress: WaveHostProgress): boolean {
  return progress.kind === 'done' || progress.kind === 'skipped';
}

function withProgress(wave: Wave, hostId: string, progress: WaveHostProgress): Wave {
  const before = wave.hosts.get(hostId);
  return {
    ...wave,
    hosts: wave.hosts.set(hostId, progress),
    pendingCount: wave.pendingCount - count(before, 'pending') + count(progress, 'pending'),
    outCount: wave.outCount - count(before, 'out') + count(progress, 'out'),
  };
}

function finishWhenDone(wave: Wave, at: Date): Wave {
  const over = wave.pendingCount === 0 && wave.outCount === 0 && wave.state !== 'finished';
  return over
    ? { ...wave, state: 'finished', finishedAt: at, reason: 'Every host is done or skipped' }
    : wave;
}

/** Returns the fleet with a host's progress in a wave updated; unchanged if the host is not in the wave or finished in it. */
export function markWaveHost(
  fleet: FleetState,
  waveId: string | null,
  hostId: string,
  progress: WaveHostProgress,
): FleetState {
  const wave = waveId === null ? undefined : fleet.waves.get(waveId);
  const before = wave?.hosts.get(hostId);
  if (wave === undefined || before === undefined || isTerminal(before)) return fleet;
  const at = progress.kind === 'done' ? progress.at : wave.startedAt;
  return {
    ...fleet,
    waves: fleet.waves.set(wave.waveId, finishWhenDone(withProgress(wave, hostId, progress), at)),
  };
}

/** Folds the start of a wave. */
export function foldWaveStarted(
  fleet: FleetState,
  { body, offset, record }: LoggedRecord<'wave-started'>,
): FoldResult {
  const { waveId, hostIds } = body.plan;
  if (fleet.waves.has(waveId)) return reject('duplicateSubject', `Wave '${waveId}' exists already`);
  const unknown = hostIds.find((hostId) => !fleet.hosts.has(hostId));
  if (unknown !== undefined) return reject('unknownHost', `Expected a configured host, found '${unknown}'`);
  const hosts = PersistentOrderedMap<string, WaveHostProgress>(
    hostIds.map((hostId) => [hostId, { kind: 'pending' }]),
  );
  const wave: Wave = {
    waveId,
    state: 'running',
    reason: `Started by ${record.issuer}`,
    startedAt: record.issuedAt,
    finishedAt: null,
    hosts,
    pendingCount: hosts.size,
    outCount: 0,
  };
  const started = { ...fleet, waves: fleet.waves.set(waveId, finishWhenDone(wave, record.issuedAt)) };
  return accept(
    recordDecision(started, subjectKey('wave', waveId), record, offset, `Started over ${hosts.size} hosts`),
  );
}

function changeState(
  fleet: FleetState,
  { offset, record }: Pick<LoggedRecord<'wave-paused'>, 'offset' | 'record'>,
  waveId: string,
  from: Wave['state'],
  to: Wave['state'],
  reason: string,
): FoldResult {
  const wave = fleet.waves.get(waveId);
  if (wave === undefined) return reject('unknownWave', `Expected a wave, found '${waveId}'`);
  if (wave.state !== from) {
    return reject('waveStateMismatch', `Expected a ${from} wave, found it ${wave.state}`);
  }
  const changed = { ...fleet, waves: fleet.waves.set(waveId, { ...wave, state: to, reason }) };
  return accept(recordDecision(changed, subjectKey('wave', waveId), record, offset, `${to}: ${reason}`));
}

/** Folds a pause: hosts that are out of service return, and no other host is drained. */
export function foldWavePaused(fleet: FleetState, logged: LoggedRecord<'wave-paused'>): FoldResult {
  return changeState(fleet, logged, logged.body.waveId, 'running', 'paused', logged.body.reason);
}

/** Folds the end of a pause. */
export function foldWaveResumed(fleet: FleetState, logged: LoggedRecord<'wave-resumed'>): FoldResult {
  return changeState(
    fleet,
    logged,
    logged.body.waveId,
    'paused',
    'running',
    `Resumed by ${logged.record.issuer}`,
  );
}

/** Folds the skipping of a host by a wave. */
export function foldWaveHostSkipped(
  fleet: FleetState,
  logged: LoggedRecord<'wave-host-skipped'>,
): FoldResult {
  const { waveId, hostId, reason } = logged.body;
  const wave = fleet.waves.get(waveId);
  if (wave === undefined) return reject('unknownWave', `Expected a wave, found '${waveId}'`);
  if (wave.hosts.get(hostId)?.kind !== 'pending') {
    return reject('waveStateMismatch', `Host '${hostId}' is not pending in wave '${waveId}'`);
  }
  const marked = markWaveHost(fleet, waveId, hostId, { kind: 'skipped', reason });
  return accept(
    recordDecision(
      marked,
      subjectKey('host', hostId),
      logged.record,
      logged.offset,
      `Skipped by wave '${waveId}': ${reason}`,
    ),
  );
}
