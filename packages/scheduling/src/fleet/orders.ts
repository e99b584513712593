/** Orders on hosts: each is recorded first, then sent until it is answered. */
import type { FleetEventOf, FleetStep } from './event.js';
import type { FleetRecordContent, FleetState, HostOrder, HostAction, HostState, WaveState } from './state.js';
import { updateFleet, updateHost } from './update.js';

/** Delay before an unanswered order is sent again. */
const RETRY_DELAY_MILLISECONDS = 300;

/** Time for which a host gets no order after it refused one. */
const REFUSED_COOLDOWN_MILLISECONDS = 1_000;

/** Time within which an unanswered order may still be carried out. */
const DELAYED_ORDER_MILLISECONDS = 13_000;

/** Delay before a refused order is sent again because an earlier attempt may still be carried out. */
const REFUSED_RETRY_DELAY_MILLISECONDS = 1_000;

/** Replaces the state of one host. */
export function setHost(state: FleetState, host: HostState): FleetState {
  return updateFleet(state, { hosts: state.hosts.set(host.listing.hostId, host) });
}

/** Adds a record to the outbox, stamped with the time of day. */
export function addRecord(state: FleetState, fact: FleetRecordContent): FleetState {
  return updateFleet(state, { outbox: [...state.outbox, { ...fact, recordedAt: state.timeOfDay }] });
}

/** Describes an order for log lines. */
export function describeOrder(what: HostAction): string {
  return what.kind === 'move' ? `move to ${what.pool}` : `maintenance of wave ${what.wave}`;
}

/** Begins an order on a host without tasks: records it, so that it can be sent once the record is stored. */
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

/** Returns whether the hosts of a pool are switched off. */
export function isStandbyPool(state: FleetState, pool: string): boolean {
  return state.pools.some((terms) => terms.pool === pool && terms.isStandby);
}

/** Requests an action on a host. A host that is switched off gets its order at once; any other is drained first. */
export function requestHostAction(
  state: FleetState,
  host: HostState,
  what: HostAction,
  isResumed = false,
): FleetState {
  return isStandbyPool(state, host.listing.pool)
    ? beginOrder(state, host, what)
    : setHost(state, updateHost(host, { requestedAction: { what, since: state.now, isResumed } }));
}

/** Returns whether ownership was proven recently enough to send orders and the fleet is not being handed over. */
export function mayOrder(state: FleetState): boolean {
  const isProven = state.now - state.provenAt < state.parameters.ownershipProofMilliseconds;
  return isProven && !state.isResigning;
}

/** Returns when every order that an earlier owner may have sent has expired, so that this owner may order any host. */
export function earlierOrdersExpireAt(state: FleetState): number {
  const { holderLeaseMilliseconds, ownershipProofMilliseconds } = state.parameters;
  return state.claimedAt + holderLeaseMilliseconds + ownershipProofMilliseconds;
}

function* sendOrder(state: FleetState, host: HostState, delayMilliseconds: number): FleetStep<void> {
  const { order, listing } = host;
  if (order === null || order.fencingEpoch === null) return;
  const { hostId } = listing;
  yield { kind: 'order-host', hostId, what: order.what, fencingEpoch: order.fencingEpoch, delayMilliseconds };
}

function* handleStoredOrder(state: FleetState, hostId: string, offset: number): FleetStep<FleetState> {
  const host = state.hosts.get(hostId);
  if (host === undefined || host.order === null || host.order.phase !== 'recording') return state;
  // Token 0 stands for an order without a fencing token, so tokens start at 1.
  const fencingEpoch = offset + 1;
  const order: HostOrder = { ...host.order, phase: 'sent', fencingEpoch };
  const sent: HostState = updateHost(host, { order, orderedAt: state.now });
  yield {
    kind: 'log',
    decision: 'hostOrdered',
    fields: { hostId, order: describeOrder(host.order.what), fencingEpoch, pool: host.listing.pool },
  };
  yield* sendOrder(state, sent, 0);
  return setHost(state, sent);
}

/** Stores the records of the outbox as one batch, unless a batch is in flight. */
export function* flushFleetRecords(state: FleetState): FleetStep<FleetState> {
  if (state.inFlight !== null || state.outbox.length === 0 || state.isSuperseded) return state;
  const appendId = state.nextAppendId;
  const records = state.outbox;
  yield { kind: 'store-fleet-records', appendId, records };
  return updateFleet(state, { outbox: [], inFlight: { appendId, records }, nextAppendId: appendId + 1 });
}

/** Processes a stored batch: sends the orders that it records. */
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

/** Replaces the state of one wave and records its progress. */
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

function recordMaintenanceBegun(state: FleetState, hostId: string, what: HostAction): FleetState {
  if (what.kind !== 'maintain') return state;
  const wave = state.waves.get(what.wave);
  if (wave === undefined) return state;
  const begunHostIds = new Set([...wave.begunHostIds, hostId]);
  return recordWave(state, { ...wave, begunHostIds });
}

/** Drops a refused order: no attempt was carried out, and none can still take effect. */
function dropOrder(state: FleetState, host: HostState): FleetState {
  const cooldownUntil = state.now + REFUSED_COOLDOWN_MILLISECONDS;
  const dropped = setHost(state, updateHost(host, { order: null, cooldownUntil }));
  return addRecord(dropped, { kind: 'host-settled', hostId: host.listing.hostId });
}

function mayStillTakeEffect(state: FleetState, { unansweredAt }: HostOrder): boolean {
  return unansweredAt !== null && state.now - unansweredAt < DELAYED_ORDER_MILLISECONDS;
}

/** Processes the outcome of an order on a host. */
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
    yield* sendOrder(state, host, RETRY_DELAY_MILLISECONDS);
    const unansweredAt = outcome === 'unanswered' ? state.now : host.order.unansweredAt;
    const orderedAt = state.now + RETRY_DELAY_MILLISECONDS;
    return setHost(state, updateHost(host, { orderedAt, order: { ...host.order, unansweredAt } }));
  }
  yield {
    kind: 'log',
    decision: 'hostOrderSettled',
    fields: { hostId, order: describeOrder(what), fencingEpoch, outcome },
  };
  if (outcome !== 'accepted' && mayStillTakeEffect(state, host.order)) {
    yield* sendOrder(state, host, REFUSED_RETRY_DELAY_MILLISECONDS);
    return state;
  }
  if (outcome !== 'accepted') return dropOrder(state, host);
  const accepted: HostState = updateHost(host, {
    order: { ...host.order, phase: 'accepted', acceptedAt: state.now },
  });
  const recorded = recordMaintenanceBegun(setHost(state, accepted), hostId, what);
  return addRecord(recorded, { kind: 'host-ordered', hostId, what, isAccepted: true });
}
