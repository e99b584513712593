/** Orders on hosts: recorded first, then given until they are answered. */
import type { FleetEventOf, FleetStep } from './event.js';
import type { FleetRecordContent, FleetState, HostOrder, HostAction, HostState, WaveState } from './state.js';
import { updateFleet, updateHost } from './update.js';

/** Pause before an order without an answer is given again. */
const REPEAT_PAUSE_MILLISECONDS = 300;

/** Time for which a host on which an order was refused is left alone. */
const REFUSED_REST_MILLISECONDS = 1_000;

/** Time within which an order without an answer may still be carried out. */
const LATE_ORDER_MILLISECONDS = 13_000;

/** Pause before a refused order is given again because an earlier attempt may still be carried out. */
const REFUSED_PAUSE_MILLISECONDS = 1_000;

/** Sets a host. */
export function setHost(state: FleetState, host: HostState): FleetState {
  return updateFleet(state, { hosts: state.hosts.set(host.listing.hostId, host) });
}

/** Adds a record to what waits to be stored. */
export function addRecord(state: FleetState, fact: FleetRecordContent): FleetState {
  return updateFleet(state, { outbox: [...state.outbox, { ...fact, recordedAt: state.timeOfDay }] });
}

/** What an order is, as a log line tells it. */
export function describeOrder(what: HostAction): string {
  return what.kind === 'move' ? `move to ${what.pool}` : `maintenance of wave ${what.wave}`;
}

/** Begins an order on a host that is free of tasks. */
export function beginOrder(state: FleetState, host: HostState, what: HostAction): FleetState {
  const order: HostOrder = {
    what,
    phase: 'recording',
    fencingEpoch: null,
    acceptedAt: null,
    unansweredAt: null,
  };
  const { hostId } = host.listing;
  return addRecord(setHost(state, updateHost(host, { order, requestedAction: null })), {
    kind: 'host-ordered',
    hostId,
    what,
    isAccepted: false,
  });
}

/** Whether a pool's hosts are off. */
export function isStandbyPool(state: FleetState, pool: string): boolean {
  return state.pools.some((terms) => terms.pool === pool && terms.isStandby);
}

/** Wants a host for something: one that is off gets its order at once, others are emptied first. */
export function requestHostAction(state: FleetState, host: HostState, what: HostAction): FleetState {
  return isStandbyPool(state, host.listing.pool)
    ? beginOrder(state, host, what)
    : setHost(state, updateHost(host, { requestedAction: { what, since: state.now } }));
}

/** Whether our ownership is proven recently enough to give orders. */
export function mayOrder(state: FleetState): boolean {
  const isProven = state.now - state.provenAt < state.parameters.ownershipProofMilliseconds;
  return isProven && !state.isResigning;
}

/** When an earlier owner's last order on a host is certainly long enough ago for ours. */
export function earlierOrdersExpireAt(state: FleetState): number {
  const { holderLeaseMilliseconds, ownershipProofMilliseconds } = state.parameters;
  return state.claimedAt + holderLeaseMilliseconds + ownershipProofMilliseconds;
}

function* giveOrder(state: FleetState, host: HostState, delayMilliseconds: number): FleetStep<void> {
  const { order, listing } = host;
  if (order === null || order.fencingEpoch === null) return;
  const { hostId } = listing;
  yield { kind: 'order-host', hostId, what: order.what, fencingEpoch: order.fencingEpoch, delayMilliseconds };
}

function* handleStoredOrder(state: FleetState, hostId: string, offset: number): FleetStep<FleetState> {
  const host = state.hosts.get(hostId);
  if (host === undefined || host.order === null || host.order.phase !== 'recording') return state;
  // Token 0 is that of orders without one.
  const fencingEpoch = offset + 1;
  const order: HostOrder = { ...host.order, phase: 'sent', fencingEpoch };
  const sent: HostState = updateHost(host, { order, orderedAt: state.now });
  yield {
    kind: 'log',
    decision: 'hostOrdered',
    fields: { hostId, order: describeOrder(host.order.what), fencingEpoch, pool: host.listing.pool },
  };
  yield* giveOrder(state, sent, 0);
  return setHost(state, sent);
}

/** Stores what waits, unless a batch is under way. */
export function* flushFleetRecords(state: FleetState): FleetStep<FleetState> {
  if (state.inFlight !== null || state.outbox.length === 0 || state.isSuperseded) return state;
  const appendId = state.nextAppendId;
  const records = state.outbox;
  yield { kind: 'store-fleet-records', appendId, records };
  return updateFleet(state, { outbox: [], inFlight: { appendId, records }, nextAppendId: appendId + 1 });
}

/** Works in that a batch is stored: orders that it holds may be given. */
export function* handleFleetRecordsStored(
  state: FleetState,
  { appendId, firstOffset, askedAt }: FleetEventOf<'fleet-records-stored'>,
): FleetStep<FleetState> {
  const { inFlight } = state;
  if (inFlight === null || inFlight.appendId !== appendId) return state;
  let next: FleetState = updateFleet(state, { inFlight: null, provenAt: Math.max(state.provenAt, askedAt) });
  for (const [index, record] of inFlight.records.entries()) {
    if (record.kind === 'host-ordered' && !record.isAccepted) {
      next = yield* handleStoredOrder(next, record.hostId, firstOffset + index);
    }
  }
  return next;
}

/** Sets a wave and records it. */
export function recordWave(state: FleetState, wave: WaveState): FleetState {
  const { seenSince, begunHostIds, isCompleted } = wave;
  return addRecord(updateFleet(state, { waves: state.waves.set(wave.wave, wave) }), {
    kind: 'wave-progress',
    wave: wave.wave,
    seenSince,
    begunHostIds: [...begunHostIds],
    isCompleted,
  });
}

function noteBegun(state: FleetState, hostId: string, what: HostAction): FleetState {
  if (what.kind !== 'maintain') return state;
  const wave = state.waves.get(what.wave);
  if (wave === undefined) return state;
  const begunHostIds = new Set([...wave.begunHostIds, hostId]);
  return recordWave(state, { ...wave, begunHostIds });
}

/** Drops an order that was refused: nothing was done, and nothing of it can come late. */
function dropOrder(state: FleetState, host: HostState): FleetState {
  const cooldownUntil = state.now + REFUSED_REST_MILLISECONDS;
  const dropped = setHost(state, updateHost(host, { order: null, cooldownUntil }));
  return addRecord(dropped, { kind: 'host-settled', hostId: host.listing.hostId });
}

function mayComeLate(state: FleetState, { unansweredAt }: HostOrder): boolean {
  return unansweredAt !== null && state.now - unansweredAt < LATE_ORDER_MILLISECONDS;
}

/** Works in how an order on a host ended. */
export function* handleHostOrderSettled(
  state: FleetState,
  { hostId, fencingEpoch, outcome }: FleetEventOf<'host-order-settled'>,
): FleetStep<FleetState> {
  const host = state.hosts.get(hostId);
  if (host === undefined || host.order?.fencingEpoch !== fencingEpoch || host.order.phase !== 'sent') {
    return state;
  }
  const { what } = host.order;
  if (outcome === 'unanswered' || outcome === 'throttled' || outcome === 'withheld') {
    yield* giveOrder(state, host, REPEAT_PAUSE_MILLISECONDS);
    const unansweredAt = outcome === 'unanswered' ? state.now : host.order.unansweredAt;
    const orderedAt = state.now + REPEAT_PAUSE_MILLISECONDS;
    return setHost(state, updateHost(host, { orderedAt, order: { ...host.order, unansweredAt } }));
  }
  yield {
    kind: 'log',
    decision: 'hostOrderSettled',
    fields: { hostId, order: describeOrder(what), fencingEpoch, outcome },
  };
  if (outcome !== 'accepted' && mayComeLate(state, host.order)) {
    yield* giveOrder(state, host, REFUSED_PAUSE_MILLISECONDS);
    return state;
  }
  if (outcome !== 'accepted') return dropOrder(state, host);
  const accepted: HostState = updateHost(host, {
    order: { ...host.order, phase: 'accepted', acceptedAt: state.now },
  });
  const noted = noteBegun(setHost(state, accepted), hostId, what);
  return addRecord(noted, { kind: 'host-ordered', hostId, what, isAccepted: true });
}
