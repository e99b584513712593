/** Runs maintenance waves: drains as many hosts as the budgets allow, and pauses if a host does not return. */
import { millisecondsBetween, type RecordBody } from '@baobabdeck/types';
import type { Step } from '../effect.js';
import { findDrainObstacle } from '../fold/budget.js';
import type { Host, Wave } from '../fold/fold-state.js';
import type { State } from '../state.js';
import { selectHostListAge } from './hosts.js';
import { propose } from './propose.js';

/** Maximum time from drain to return of a host; a wave is paused automatically beyond it. */
const HOST_RETURN_LIMIT_MILLISECONDS = 1_800_000;

function findPending(wave: Wave, state: State, pool: string): readonly Host[] {
  const pending: Host[] = [];
  for (const [hostId, progress] of wave.hosts) {
    const host = state.fold.fleet.hosts.get(hostId);
    if (progress.kind === 'pending' && host?.pool === pool) pending.push(host);
  }
  return pending;
}

function* skip(state: State, wave: Wave, hostId: string, reason: string): Step<State> {
  const body = { kind: 'wave-host-skipped', waveId: wave.waveId, hostId, reason } as const;
  return yield* propose(state, `skip/${wave.waveId}/${hostId}`, body);
}

function* requestDrain(state: State, wave: Wave, host: Host, epoch: number): Step<State> {
  const body: RecordBody = {
    kind: 'host-drain-requested',
    hostId: host.hostId,
    purpose: 'maintenance',
    waveId: wave.waveId,
    destinationPool: null,
    hostListAgeMilliseconds: selectHostListAge(state),
    epoch,
  };
  return yield* propose(state, `drain/${host.hostId}`, body);
}

/** Counts drains that were appended but not yet read back; they use the budget as if permitted. */
function countPendingDrains(state: State, pool: string): number {
  return [...state.control.proposed.keys()].filter((subject) => {
    if (!subject.startsWith('drain/')) return false;
    const host = state.fold.fleet.hosts.get(subject.slice('drain/'.length));
    return host?.pool === pool && host.duty.kind === 'in-service';
  }).length;
}

function* advancePool(state: State, wave: Wave, pool: string, epoch: number): Step<State> {
  const { fleet } = state.fold;
  const section = fleet.configuration.pools.get(pool);
  const absent = fleet.pools.get(pool)?.absentHostIds.size ?? 0;
  let remainingBudget =
    (section?.maximumAbsentHosts ?? 0) -
    (section?.failureReserveHosts ?? 0) -
    absent -
    countPendingDrains(state, pool);
  let current = state;
  for (const host of findPending(wave, state, pool)) {
    if (host.presence === 'failed') {
      current = yield* skip(current, wave, host.hostId, 'The host is down; maintain it when it is back');
      continue;
    }
    if (remainingBudget < 1) break;
    if (findDrainObstacle(fleet, host, selectHostListAge(state)) !== null) continue;
    current = yield* requestDrain(current, wave, host, epoch);
    remainingBudget -= 1;
  }
  return current;
}

function findOverdueHost(state: State, wave: Wave): string | null {
  for (const [hostId, progress] of wave.hosts) {
    if (
      progress.kind === 'out' &&
      millisecondsBetween(progress.since, state.now) > HOST_RETURN_LIMIT_MILLISECONDS
    ) {
      return hostId;
    }
  }
  return null;
}

/** Returns the pending hosts of a wave that are no longer configured. */
function findUnconfiguredHostIds(state: State, wave: Wave): readonly string[] {
  return [...wave.hosts.entries()]
    .filter(([hostId, progress]) => progress.kind === 'pending' && !state.fold.fleet.hosts.has(hostId))
    .map(([hostId]) => hostId);
}

/** Advances every running wave in the pools of this controller. */
export function* advanceWaves(state: State, ownPools: ReadonlyMap<string, number>): Step<State> {
  let current = state;
  for (const wave of state.fold.fleet.waves.values()) {
    if (wave.state !== 'running') continue;
    const overdue = findOverdueHost(current, wave);
    if (overdue !== null) {
      const reason = `Host '${overdue}' did not come back in time`;
      yield { kind: 'log', decision: 'wavePaused', fields: { wave: wave.waveId, reason } };
      current = yield* propose(current, `pause/${wave.waveId}`, {
        kind: 'wave-paused',
        waveId: wave.waveId,
        reason,
      });
      continue;
    }
    for (const hostId of findUnconfiguredHostIds(current, wave)) {
      current = yield* skip(current, wave, hostId, 'The host is no longer configured');
    }
    for (const [pool, epoch] of ownPools) {
      current = yield* advancePool(current, wave, pool, epoch);
    }
  }
  return current;
}
