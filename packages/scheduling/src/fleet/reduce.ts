/** Reducer of the fleet owner: maps a state and an event to effects and the next state. */
import { Map as PersistentMap } from 'immutable';
import type { Instant } from '../model/instant.js';
import type { FleetEvent, FleetStep } from './event.js';
import {
  handleFleetWorkspacesConfigured,
  handleGrantsDue,
  initialGrants,
  recordGrantReport,
} from './grants.js';
import { handleFleetHostsListed } from './hosts.js';
import {
  addRecord,
  earlierOrdersExpireAt,
  flushFleetRecords,
  handleFleetRecordsStored,
  handleHostOrderSettled,
  requestHostAction,
} from './orders.js';
import { balancePools } from './pools.js';
import type { FleetParameters, FleetRecord, FleetState, HostAction, HostState, WaveState } from './state.js';
import { advanceWaves, handleWaveRequested, handleWaveStatusReported } from './waves.js';
import { dropStaleRequests, handleServiceReported } from './requested-actions.js';
import { updateFleet } from './update.js';

/** Input from which a new fleet owner restores its state. */
export interface FleetRestoreParts {
  readonly parameters: FleetParameters;
  readonly now: Instant;
  readonly timeOfDay: Date;
  readonly claimedAt: Instant;
  readonly provenAt: Instant;
  readonly records: readonly FleetRecord[];
  /** Epoch of the new owner; 1, the default, for the first owner of the fleet. */
  readonly fencingEpoch?: number;
}

function restoreWave(
  record: Extract<FleetRecord, { readonly kind: 'wave-progress' }>,
  now: Instant,
): WaveState {
  return {
    wave: record.wave,
    hostIds: [],
    maximumDown: 0,
    durationMilliseconds: 0,
    seenAt: now,
    seenSince: record.seenSince,
    begunHostIds: new Set(record.begunHostIds),
    isCompleted: record.isCompleted,
    reportedStatus: null,
    isReporting: false,
  };
}

/** Maximum difference between the times of day of two processes. */
const CLOCK_TOLERANCE_MILLISECONDS = 4_000;

/**
 * Returns when this owner may order a host that an earlier owner ordered. An order is recorded before it is sent and
 * again once it is accepted, so a completed order was sent before its newest record.
 */
function inheritedCooldownOf(record: FleetRecord, parts: FleetRestoreParts): Instant {
  const { now, timeOfDay, claimedAt } = parts;
  const { holderLeaseMilliseconds, ownershipProofMilliseconds } = parts.parameters;
  const longest = claimedAt + holderLeaseMilliseconds + ownershipProofMilliseconds;
  const isOpen = record.kind === 'host-ordered' && !record.isAccepted;
  if (isOpen) return longest;
  const newest = parts.records.at(-1);
  if (newest?.kind === 'fleet-resigned' && 'hostId' in record) {
    const cooldown = newest.rests.find(({ hostId }) => hostId === record.hostId);
    return claimedAt + (cooldown?.milliseconds ?? 0);
  }
  const age = timeOfDay.getTime() - record.recordedAt.getTime();
  return Math.min(longest, now + holderLeaseMilliseconds + CLOCK_TOLERANCE_MILLISECONDS - age);
}

/** Restores the state of a new owner. The hosts and limits of waves follow once they are read from the operator. */
export function restoreFleet(parts: FleetRestoreParts): FleetState {
  const { parameters, now, timeOfDay, claimedAt, provenAt, records } = parts;
  const waves = records.flatMap((record) =>
    record.kind === 'wave-progress' ? [restoreWave(record, now)] : [],
  );
  const open = new Map<string, HostAction>();
  for (const record of records) {
    if (record.kind === 'host-ordered' && !record.isAccepted) open.set(record.hostId, record.what);
    else if ('hostId' in record) open.delete(record.hostId);
  }
  return {
    parameters,
    now,
    timeOfDay,
    claimedAt,
    provenAt,
    pools: [],
    hosts: PersistentMap(),
    listedAt: null,
    waves: PersistentMap(waves.map((wave) => [wave.wave, wave])),
    reports: PersistentMap(),
    outbox: [],
    inFlight: null,
    nextAppendId: 1,
    inheritedCooldowns: new Map(
      records.flatMap((record) =>
        'hostId' in record ? [[record.hostId, inheritedCooldownOf(record, parts)]] : [],
      ),
    ),
    inheritedOrders: PersistentMap(open),
    isSuperseded: false,
    isResigning: false,
    grants: initialGrants(
      parts.fencingEpoch ?? 1,
      claimedAt,
      parameters.ownershipProofMilliseconds,
      records.at(-1)?.kind === 'fleet-resigned',
    ),
  };
}

/** Returns whether a host is up in the pool to which an earlier owner ordered it, so that the order was carried out. */
function isMoveCarriedOut({ listing }: HostState, what: HostAction): boolean {
  return what.kind === 'move' && listing.pool === what.pool && listing.state === 'up';
}

/**
 * Requests the orders of an earlier owner again, unless the list of hosts shows that they were carried out. A host that
 * serves a pool is drained again first, since its service may have used it meanwhile.
 */
function resumeOrders(before: FleetState): FleetState {
  if (before.inheritedOrders.isEmpty() || before.listedAt === null) return before;
  if (before.now < earlierOrdersExpireAt(before)) return before;
  let state: FleetState = updateFleet(before, { inheritedOrders: before.inheritedOrders.clear() });
  for (const [hostId, what] of before.inheritedOrders) {
    const host = state.hosts.get(hostId);
    if (host !== undefined && host.order === null) {
      state = isMoveCarriedOut(host, what)
        ? addRecord(state, { kind: 'host-settled', hostId })
        : requestHostAction(state, host, what, true);
    }
  }
  return state;
}

/** Stops sending orders, and records for how long the next owner must send none to recently ordered hosts. */
function resign(state: FleetState): FleetState {
  const { holderLeaseMilliseconds } = state.parameters;
  const remainingCooldownOf = ({ cooldownUntil, orderedAt }: HostState): number =>
    Math.max(cooldownUntil, (orderedAt ?? -Infinity) + holderLeaseMilliseconds) - state.now;
  const rests = [...state.hosts.values()]
    .map((host) => ({ hostId: host.listing.hostId, milliseconds: remainingCooldownOf(host) }))
    .filter(({ milliseconds }) => milliseconds > 0);
  return addRecord(updateFleet(state, { isResigning: true }), { kind: 'fleet-resigned', rests });
}

function* tick(state: FleetState): FleetStep<FleetState> {
  const resumed = dropStaleRequests(resumeOrders(state));
  return yield* balancePools(yield* advanceWaves(resumed));
}

function* handle(state: FleetState, event: FleetEvent): FleetStep<FleetState> {
  switch (event.kind) {
    case 'ticked':
      return yield* tick(state);
    case 'ownership-proven':
      return updateFleet(state, { provenAt: Math.max(state.provenAt, event.askedAt) });
    case 'pools-known':
      return updateFleet(state, { pools: event.pools });
    case 'wave-asked':
      return yield* handleWaveRequested(state, event);
    case 'hosts-listed':
      return yield* handleFleetHostsListed(state, event);
    case 'service-reported':
      return handleServiceReported(recordGrantReport(state, event.report), event);
    case 'workspaces-configured':
      return handleFleetWorkspacesConfigured(state, event);
    case 'grants-due':
      return handleGrantsDue(state, event);
    case 'fleet-records-stored':
      return yield* handleFleetRecordsStored(state, event);
    case 'host-order-settled':
      if (event.outcome === 'fenced') {
        yield { kind: 'give-up-ownership', reason: `host ${event.hostId} has seen a newer owner` };
        return updateFleet(state, { isSuperseded: true });
      }
      return yield* handleHostOrderSettled(state, event);
    case 'wave-status-told':
      return handleWaveStatusReported(state, event);
    case 'resign-requested':
      return resign(state);
    case 'ownership-lost':
      yield { kind: 'give-up-ownership', reason: 'the store has seen a newer owner' };
      return updateFleet(state, { isSuperseded: true });
    default:
      return state;
  }
}

/** Reduces one event. Pure: equal states and events give equal effects and states. */
export function* reduceFleet(before: FleetState, event: FleetEvent): FleetStep<FleetState> {
  if (before.isSuperseded) return before;
  const now = Math.max(before.now, event.at);
  const handled = yield* handle(updateFleet(before, { now, timeOfDay: event.timeOfDay }), event);
  return yield* flushFleetRecords(handled);
}
