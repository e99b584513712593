/** Folds membership records and the claims by which controllers take control of pools. */
import type { FleetState } from './fold-state.js';
import { accept, reject, type FoldResult, type LoggedRecord } from './fold-step.js';
import { recordDecision, subjectKey } from './history.js';

/** Folds the registration of a process. A newer incarnation replaces the older one. */
export function foldProcessRegistered(
  fleet: FleetState,
  { body, offset, record }: LoggedRecord<'process-registered'>,
): FoldResult {
  const { identity } = body;
  const members = fleet.members.set(identity.processId, { identity, registeredAtOffset: offset });
  const gatewayViewOffset = identity.role === 'gateway' ? offset : fleet.gatewayViewOffset;
  const text = `Process joined as ${identity.role}, incarnation ${identity.incarnation}`;
  return accept(
    recordDecision(
      { ...fleet, members, gatewayViewOffset },
      subjectKey('process', identity.processId),
      record,
      offset,
      text,
    ),
  );
}

/** Folds the removal of a process that left or stopped sending heartbeats. */
export function foldProcessRemoved(
  fleet: FleetState,
  { body, offset, record }: LoggedRecord<'process-removed'>,
): FoldResult {
  const member = fleet.members.get(body.processId);
  if (member === undefined || member.identity.incarnation !== body.incarnation) {
    return reject(
      'unknownSubject',
      `Process '${body.processId}' with incarnation ${body.incarnation} does not take part`,
    );
  }
  const members = fleet.members.remove(body.processId);
  const gatewayViewOffset = member.identity.role === 'gateway' ? offset : fleet.gatewayViewOffset;
  const text = `Process was removed by ${record.issuer}`;
  return accept(
    recordDecision(
      { ...fleet, members, gatewayViewOffset },
      subjectKey('process', body.processId),
      record,
      offset,
      text,
    ),
  );
}

/** Folds a claim of a pool: accepted only for the epoch that follows the current one. */
export function foldPoolControlClaimed(
  fleet: FleetState,
  { body, offset, record }: LoggedRecord<'pool-control-claimed'>,
): FoldResult {
  const pool = fleet.pools.get(body.pool);
  if (pool === undefined) return reject('unknownPool', `Expected a configured pool, found '${body.pool}'`);
  const present = pool.control?.epoch ?? 0;
  if (body.epoch !== present + 1) {
    return reject('staleEpoch', `Expected epoch ${present + 1}, found ${body.epoch}`);
  }
  const control = { processId: record.issuer, epoch: body.epoch };
  const pools = fleet.pools.set(body.pool, { ...pool, control });
  const text = `Controller ${record.issuer} took control with epoch ${body.epoch}`;
  return accept(recordDecision({ ...fleet, pools }, subjectKey('pool', body.pool), record, offset, text));
}

/** Returns whether an issuer controls a pool with this epoch; the null epoch of an operator always does. */
export function hasControl(fleet: FleetState, pool: string, issuer: string, epoch: number | null): boolean {
  if (epoch === null) return true;
  const control = fleet.pools.get(pool)?.control;
  return control !== null && control !== undefined && control.processId === issuer && control.epoch === epoch;
}
