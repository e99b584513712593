/** Takes hosts out that fail everything, and lets them prove themselves again. */
import { addMilliseconds, type AttemptOutcome } from '@baobabdeck/types';
import type { Step } from '../effect.js';
import type { HostHealth, HostLoad, PoolDispatch } from './dispatch-state.js';
import { setHostLoad, updateHostLoad } from './host-load.js';
import { learnOutcome } from './work-kinds.js';

/** Failures in a row after which a host is ejected. */
const FAILURES_TO_EJECT = 5;

/** Share of a pool's hosts that may be ejected at once. */
const MAXIMUM_EJECTED_SHARE = 1 / 3;

/** Share of a pool's hosts on which a kind of work may fail before the kind itself is blamed. */
const POISONOUS_SHARE = 0.5;

/** Hosts on which a kind of work has to fail before the kind itself can be blamed. */
const POISONOUS_HOSTS = 2;

const FIRST_EJECTION_MILLISECONDS = 5_000;
const LONGEST_EJECTION_MILLISECONDS = 60_000;

function isPoisonous(dispatch: PoolDispatch, workKind: string): boolean {
  const failing = dispatch.workKinds.get(workKind)?.failingHostIds.size ?? 0;
  return failing >= POISONOUS_HOSTS && failing >= dispatch.hosts.size * POISONOUS_SHARE;
}

function ejectionMilliseconds(ejections: number): number {
  return Math.min(LONGEST_EJECTION_MILLISECONDS, FIRST_EJECTION_MILLISECONDS * 2 ** ejections);
}

function mayEject(dispatch: PoolDispatch): boolean {
  return dispatch.ejectedCount + 1 <= dispatch.hosts.size * MAXIMUM_EJECTED_SHARE;
}

function* eject(dispatch: PoolDispatch, hostId: string, load: HostLoad, now: Date): Step<PoolDispatch> {
  const milliseconds = ejectionMilliseconds(load.health.ejections);
  const health: HostHealth = {
    consecutiveFailures: 0,
    ejections: load.health.ejections + 1,
    ejectedUntil: addMilliseconds(now, milliseconds),
    probing: false,
  };
  yield {
    kind: 'log',
    decision: 'targetEjected',
    fields: { host: hostId, pool: dispatch.pool, milliseconds },
  };
  return setHostLoad(dispatch, hostId, { ...load, health });
}

function* noteFailure(
  dispatch: PoolDispatch,
  hostId: string,
  workKind: string,
  now: Date,
): Step<PoolDispatch> {
  const learned = learnOutcome(dispatch, workKind, hostId, true);
  const load = learned.hosts.get(hostId);
  if (load === undefined || isPoisonous(learned, workKind)) return learned;
  const consecutiveFailures = load.health.consecutiveFailures + 1;
  const failed = { ...load, health: { ...load.health, consecutiveFailures } };
  const condemned = consecutiveFailures >= FAILURES_TO_EJECT || load.health.probing;
  if (condemned && load.health.ejectedUntil === null && mayEject(learned)) {
    return yield* eject(learned, hostId, failed, now);
  }
  return setHostLoad(learned, hostId, failed);
}

function* noteSuccess(
  dispatch: PoolDispatch,
  hostId: string,
  workKind: string,
  slotsPerHost: number,
): Step<PoolDispatch> {
  const learned = learnOutcome(dispatch, workKind, hostId, false);
  const load = learned.hosts.get(hostId);
  if (load === undefined || load.health.ejectedUntil !== null) return learned;
  if (load.health.probing) {
    yield { kind: 'log', decision: 'targetReturned', fields: { host: hostId, pool: dispatch.pool } };
  }
  const health: HostHealth = {
    ...load.health,
    consecutiveFailures: 0,
    probing: false,
    ejections: load.health.probing ? load.health.ejections : 0,
  };
  return setHostLoad(learned, hostId, {
    ...load,
    health,
    slotLimit: Math.min(slotsPerHost, load.slotLimit + 1),
  });
}

/** The view after an attempt on a host ended. A refusal halves the slots that the host gets at once. */
export function* noteOutcome(
  dispatch: PoolDispatch,
  hostId: string,
  workKind: string,
  outcome: AttemptOutcome,
  slotsPerHost: number,
  now: Date,
): Step<PoolDispatch> {
  if (outcome === 'failed' || outcome === 'broken') {
    return yield* noteFailure(dispatch, hostId, workKind, now);
  }
  if (outcome === 'succeeded') return yield* noteSuccess(dispatch, hostId, workKind, slotsPerHost);
  if (outcome !== 'refused') return dispatch;
  const limited = updateHostLoad(dispatch, hostId, (load) => ({
    ...load,
    slotLimit: Math.max(1, Math.floor(load.slotLimit / 2)),
  }));
  return yield* noteFailure(limited, hostId, workKind, now);
}

/** The view with every host on trial whose ejection is over. */
export function endEjections(dispatch: PoolDispatch, now: Date): PoolDispatch {
  if (dispatch.ejectedCount === 0) return dispatch;
  return dispatch.hosts.reduce((view, load, hostId) => {
    const until = load.health.ejectedUntil;
    if (until === null || until > now) return view;
    return setHostLoad(view, hostId, {
      ...load,
      health: { ...load.health, ejectedUntil: null, probing: true },
    });
  }, dispatch);
}
