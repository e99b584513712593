/** Folds which processes take part and which controller decides for which pool. */
import type { FleetState } from './fold-state.js';
import { accept, reject, type FoldResult, type PlacedRecord } from './fold-step.js';
import { remember, subjectKey } from './history.js';

/** Folds a process that joins. A newer incarnation takes the place of the older one. */
export function foldProcessRegistered(
  fleet: FleetState,
  { body, offset, record }: PlacedRecord<'process-registered'>,
): FoldResult {
  const { identity } = body;
  const members = fleet.members.set(identity.processId, { identity, registeredAtOffset: offset });
  const gatewayViewOffset = identity.role === 'gateway' ? offset : fleet.gatewayViewOffset;
  const text = `Process joined as ${identity.role}, incarnation ${identity.incarnation}`;
  return accept(
    remember(
      { ...fleet, members, gatewayViewOffset },
      subjectKey('process', identity.processId),
      record,
      offset,
      text,
    ),
  );
}

/** Folds a process that left or was found silent. */
export function foldProcessRemoved(
  fleet: FleetState,
  { body, offset, record }: PlacedRecord<'process-removed'>,
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
    remember(
      { ...fleet, members, gatewayViewOffset },
      subjectKey('process', body.processId),
      record,
      offset,
      text,
    ),
  );
}

/** Folds a claim of a pool: accepted only for the epoch that follows the present one. */
export function foldPoolControlClaimed(
  fleet: FleetState,
  { body, offset, record }: PlacedRecord<'pool-control-claimed'>,
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
  return accept(remember({ ...fleet, pools }, subjectKey('pool', body.pool), record, offset, text));
}

/** Whether an epoch gives its issuer the say over a pool; an operator's null always does. */
export function hasControl(fleet: FleetState, pool: string, issuer: string, epoch: number | null): boolean {
  if (epoch === null) return true;
  const control = fleet.pools.get(pool)?.control;
  return control !== null && control !== undefined && control.processId === issuer && control.epoch === epoch;
}
