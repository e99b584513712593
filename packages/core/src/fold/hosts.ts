/** Folds records about hosts: presence, drain, return and move. */
import type { DrainPermit, FleetState, Host } from './fold-state.js';
import { findDrainObstacle } from './budget.js';
import { accept, reject, type FoldResult, type LoggedRecord } from './fold-step.js';
import { recordDecision, subjectKey } from './history.js';
import { hasControl } from './members.js';
import { removeHost, setHost } from './set-host.js';
import { markWaveHost } from './waves.js';

function recordHostDecision(
  fleet: FleetState,
  hostId: string,
  { record, offset }: Pick<LoggedRecord<'host-drained'>, 'record' | 'offset'>,
  text: string,
): FleetState {
  return recordDecision(fleet, subjectKey('host', hostId), record, offset, text);
}

/** Folds a host's presence as observed in the platform's host list. */
export function foldHostPresenceObserved(
  fleet: FleetState,
  logged: LoggedRecord<'host-presence-observed'>,
): FoldResult {
  const { hostId, presence } = logged.body;
  const host = fleet.hosts.get(hostId);
  if (host === undefined) return reject('unknownHost', `Expected a configured host, found '${hostId}'`);
  const changed = setHost(fleet, { ...host, presence });
  return accept(
    recordHostDecision(
      changed,
      hostId,
      logged,
      `The host list shows it as ${presence}, before as ${host.presence}`,
    ),
    [hostId],
  );
}

function describePermit(permit: DrainPermit): string {
  if (permit.purpose === 'move') return `Drain permitted to move it to pool '${permit.destinationPool}'`;
  if (permit.waveId !== null) return `Drain permitted for wave '${permit.waveId}'`;
  return `Drain permitted for ${permit.purpose}`;
}

/** Folds a drain request: permitted only if the pool's budget allows it at this offset. */
export function foldHostDrainRequested(
  fleet: FleetState,
  logged: LoggedRecord<'host-drain-requested'>,
): FoldResult {
  const { body, offset, record } = logged;
  const host = fleet.hosts.get(body.hostId);
  if (host === undefined) return reject('unknownHost', `Expected a configured host, found '${body.hostId}'`);
  if (!hasControl(fleet, host.pool, record.issuer, body.epoch)) {
    return reject(
      'staleEpoch',
      `'${record.issuer}' does not control pool '${host.pool}' with epoch ${body.epoch}`,
    );
  }
  if (body.destinationPool !== null && !fleet.configuration.pools.has(body.destinationPool)) {
    return reject('unknownPool', `Expected a configured pool, found '${body.destinationPool}'`);
  }
  if (body.waveId !== null && fleet.waves.get(body.waveId)?.state !== 'running') {
    return reject('waveStateMismatch', `Wave '${body.waveId}' is not running`);
  }
  const obstacle = findDrainObstacle(fleet, host, body.hostListAgeMilliseconds);
  if (obstacle !== null) return { accepted: false, failure: obstacle };
  const permit: DrainPermit = {
    purpose: body.purpose,
    waveId: body.waveId,
    destinationPool: body.destinationPool,
    permitOffset: offset,
    permittedAt: record.issuedAt,
  };
  const drained = setHost(fleet, { ...host, duty: { kind: 'draining', permit } });
  const marked = markWaveHost(drained, body.waveId, host.hostId, { kind: 'out', since: record.issuedAt });
  return accept(recordHostDecision(marked, host.hostId, logged, describePermit(permit)), [host.hostId]);
}

/** Folds the completion of a drain. */
export function foldHostDrained(fleet: FleetState, logged: LoggedRecord<'host-drained'>): FoldResult {
  const { body, record } = logged;
  const host = fleet.hosts.get(body.hostId);
  if (host === undefined) return reject('unknownHost', `Expected a configured host, found '${body.hostId}'`);
  if (host.duty.kind !== 'draining') {
    return reject('hostNotDraining', `Host '${host.hostId}' is ${host.duty.kind}`);
  }
  if (!hasControl(fleet, host.pool, record.issuer, body.epoch)) {
    return reject(
      'staleEpoch',
      `'${record.issuer}' does not control pool '${host.pool}' with epoch ${body.epoch}`,
    );
  }
  if (host.retired) {
    return accept(
      recordHostDecision(removeHost(fleet, host.hostId), host.hostId, logged, 'Drained and forgotten'),
      [host.hostId],
    );
  }
  const duty = { kind: 'drained', permit: host.duty.permit, drainedAt: record.issuedAt } as const;
  return accept(
    recordHostDecision(setHost(fleet, { ...host, duty }), host.hostId, logged, 'No work is left on it'),
    [host.hostId],
  );
}

function poolAfterReturn(host: Host): string {
  if (host.duty.kind !== 'drained') return host.pool;
  return host.duty.permit.destinationPool ?? host.pool;
}

/** Folds the return of a host to service; a host drained for a move joins its new pool at this offset. */
export function foldHostReturned(fleet: FleetState, logged: LoggedRecord<'host-returned'>): FoldResult {
  const { body, record } = logged;
  const host = fleet.hosts.get(body.hostId);
  if (host === undefined) return reject('unknownHost', `Expected a configured host, found '${body.hostId}'`);
  if (host.duty.kind === 'in-service') {
    return reject('hostNotDraining', `Host '${host.hostId}' is in service`);
  }
  if (!hasControl(fleet, host.pool, record.issuer, body.epoch)) {
    return reject(
      'staleEpoch',
      `'${record.issuer}' does not control pool '${host.pool}' with epoch ${body.epoch}`,
    );
  }
  const pool = poolAfterReturn(host);
  const { waveId } = host.duty.permit;
  const drainedFirst = host.duty.kind === 'drained';
  const joinedAt = pool === host.pool ? host.joinedAt : record.issuedAt;
  const returned = setHost(fleet, { ...host, pool, joinedAt, duty: { kind: 'in-service' } });
  const progress = drainedFirst
    ? ({ kind: 'done', at: record.issuedAt } as const)
    : ({ kind: 'pending' } as const);
  const marked = markWaveHost(returned, waveId, host.hostId, progress);
  const text =
    pool === host.pool ? `Back in service in pool '${pool}'` : `Moved from pool '${host.pool}' to '${pool}'`;
  return accept(recordHostDecision(marked, host.hostId, logged, text), [host.hostId]);
}
