/** Schedule of maintenance waves, and the hosts that moves between pools leave to them. */
import type { FleetState, HostState, WaveState } from './state.js';

/** Share of a wave's duration in which it should finish; the remainder is left for stragglers. */
const TARGET_SHARE = 0.7;

function elapsedOf(state: FleetState, { seenSince }: WaveState): number {
  return state.timeOfDay.getTime() - seenSince.getTime();
}

/** Returns whether fewer hosts have begun maintenance than an even pace to the end of the target time requires. */
export function isBehindSchedule(state: FleetState, wave: WaveState, left: number): boolean {
  const target = wave.durationMilliseconds * TARGET_SHARE;
  const expected = wave.hostIds.length * (1 - elapsedOf(state, wave) / target);
  return left > Math.ceil(expected);
}

/** Hosts that running waves have yet to take, by how moves treat them. */
export interface PendingWaveHosts {
  /** Moves take others first. */
  readonly deferred: ReadonlySet<string>;
  /** Moves do not take them: their wave is behind its schedule and its duration is not over. */
  readonly excluded: ReadonlySet<string>;
}

/** Returns the hosts that running waves have yet to take. A move would delay their maintenance. */
export function pendingWaveHosts(state: FleetState): PendingWaveHosts {
  const deferred = new Set<string>();
  const excluded = new Set<string>();
  for (const wave of state.waves.values()) {
    if (!wave.isCompleted) {
      const left = wave.hostIds.filter((hostId) => !wave.begunHostIds.has(hostId));
      const isRunning = elapsedOf(state, wave) < wave.durationMilliseconds;
      const isUrgent = isRunning && isBehindSchedule(state, wave, left.length);
      left.forEach((hostId) => (isUrgent ? excluded : deferred).add(hostId));
    }
  }
  return { deferred, excluded };
}

/** Orders hosts for a move: those that no wave has yet to take first; leaves out those that waves need now. */
export function selectMovable<T>(
  candidates: readonly T[],
  hostIdOf: (candidate: T) => HostState['listing']['hostId'],
  { deferred, excluded }: PendingWaveHosts,
): readonly T[] {
  const allowed = candidates.filter((candidate) => !excluded.has(hostIdOf(candidate)));
  const isDeferred = (candidate: T): boolean => deferred.has(hostIdOf(candidate));
  return [
    ...allowed.filter((candidate) => !isDeferred(candidate)),
    ...allowed.filter((candidate) => isDeferred(candidate)),
  ];
}
