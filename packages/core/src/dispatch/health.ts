/** Ejects hosts with consecutive failures for a time, and returns them to service after a successful probe. */
import { addMilliseconds, type AttemptOutcome } from '@baobabdeck/types';
import type { Step } from '../effect.js';
import type { HostHealth, HostLoad, PoolDispatch } from './dispatch-state.js';
import { setHostLoad, updateHostLoad } from './host-load.js';
import { recordKindOutcome } from './work-kinds.js';

/** Consecutive failures after which a host is ejected. */
const FAILURES_TO_EJECT = 5;

/** Maximum share of a pool's hosts that may be ejected at once. */
const MAXIMUM_EJECTED_SHARE = 1 / 3;

/**
 * Share of a pool's hosts on which a work kind has to fail for its failures to no longer count against the
 * hosts.
 */
const FAULTY_KIND_HOST_SHARE = 0.5;

/** Minimum number of such hosts. Below it, every failure counts against the host. */
const FAULTY_KIND_MINIMUM_HOSTS = 2;

const FIRST_EJECTION_MILLISECONDS = 5_000;
const MAXIMUM_EJECTION_MILLISECONDS = 60_000;

function isFaultyKind(dispatch: PoolDispatch, workKind: string): boolean {
  const failing = dispatch.workKinds.get(workKind)?.failingHostIds.size ?? 0;
  return failing >= FAULTY_KIND_MINIMUM_HOSTS && failing >= dispatch.hosts.size * FAULTY_KIND_HOST_SHARE;
}

function ejectionMilliseconds(ejections: number): number {
  return Math.min(MAXIMUM_EJECTION_MILLISECONDS, FIRST_EJECTION_MILLISECONDS * 2 ** ejections);
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

function* recordFailure(
  dispatch: PoolDispatch,
  hostId: string,
  workKind: string,
  now: Date,
): Step<PoolDispatch> {
  const updated = recordKindOutcome(dispatch, workKind, hostId, true);
  const load = updated.hosts.get(hostId);
  if (load === undefined || isFaultyKind(updated, workKind)) return updated;
  const consecutiveFailures = load.health.consecutiveFailures + 1;
  const failed = { ...load, health: { ...load.health, consecutiveFailures } };
  const shouldEject = consecutiveFailures >= FAILURES_TO_EJECT || load.health.probing;
  if (shouldEject && load.health.ejectedUntil === null && mayEject(updated)) {
    return yield* eject(updated, hostId, failed, now);
  }
  return setHostLoad(updated, hostId, failed);
}

function* recordSuccess(
  dispatch: PoolDispatch,
  hostId: string,
  workKind: string,
  slotsPerHost: number,
): Step<PoolDispatch> {
  const updated = recordKindOutcome(dispatch, workKind, hostId, false);
  const load = updated.hosts.get(hostId);
  if (load === undefined || load.health.ejectedUntil !== null) return updated;
  if (load.health.probing) {
    yield { kind: 'log', decision: 'targetReturned', fields: { host: hostId, pool: dispatch.pool } };
  }
  const health: HostHealth = {
    ...load.health,
    consecutiveFailures: 0,
    probing: false,
    ejections: load.health.probing ? load.health.ejections : 0,
  };
  return setHostLoad(updated, hostId, {
    ...load,
    health,
    slotLimit: Math.min(slotsPerHost, load.slotLimit + 1),
  });
}

/** Records the outcome of an attempt on a host. A refusal also halves the slot limit of the host. */
export function* recordAttemptOutcome(
  dispatch: PoolDispatch,
  hostId: string,
  workKind: string,
  outcome: AttemptOutcome,
  slotsPerHost: number,
  now: Date,
): Step<PoolDispatch> {
  if (outcome === 'failed' || outcome === 'broken') {
    return yield* recordFailure(dispatch, hostId, workKind, now);
  }
  if (outcome === 'succeeded') return yield* recordSuccess(dispatch, hostId, workKind, slotsPerHost);
  if (outcome !== 'refused') return dispatch;
  const limited = updateHostLoad(dispatch, hostId, (load) => ({
    ...load,
    slotLimit: Math.max(1, Math.floor(load.slotLimit / 2)),
  }));
  return yield* recordFailure(limited, hostId, workKind, now);
}

/** Ends the ejections whose time is over: their hosts are probed with one slot. */
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
