/** Grants the slots of a pool from one queue. Runs on the gateway that is the pool's dispatcher. */
import {
  addMilliseconds,
  type AttemptOutcome,
  type PeerMessage,
  type SlotHolding,
  type SlotRequest,
  type UnsettledSlot,
} from '@baobabdeck/types';
import type { Step } from '../effect.js';
import { findSlotFaults } from '../invariants/check-slots.js';
import { reportFaults } from '../invariants/fault.js';
import { isLapsed } from '../membership/contact.js';
import type { State } from '../state.js';
import { chooseTarget } from './choose-target.js';
import { countArrival, measureDemand, recordRunTime } from './demand.js';
import type { Grant, PoolDispatch, UnsettledRecord, WaitingRequest } from './dispatch-state.js';
import {
  addGrant,
  markUnsettled,
  reclassifyLongRuns,
  removeGrant,
  selectUnsettledHostIds,
  settleExpired,
} from './grants.js';
import { endEjections, recordAttemptOutcome } from './health.js';
import { dequeueAndRotate, enqueue, removeWaiting, selectHead, selectQueueClassOrder } from './queue.js';
import { evaluateUsageReports } from './usage-reports.js';
import { dropSurplusUnsettled, grantOfUnsettled, updateReadiness } from './unknown-slots.js';
import { classify, recordRunClass } from './work-kinds.js';

/** Maximum number of requests in a pool's queue. */
const MAXIMUM_WAITING_PER_POOL = 10_000;

type Deliver = (state: State, to: string, message: PeerMessage) => Step<State>;

/** Replaces the dispatch state of a pool. */
export function setDispatch(state: State, dispatch: PoolDispatch): State {
  return { ...state, dispatch: state.dispatch.set(dispatch.pool, dispatch) };
}

function slotsPerHostOf(state: State, pool: string): number {
  return state.fold.fleet.configuration.pools.get(pool)?.slotsPerHost ?? 1;
}

function freeLongSlots(state: State, dispatch: PoolDispatch): number {
  const reserved = state.fold.fleet.configuration.pools.get(dispatch.pool)?.slotsReservedForShort ?? 0;
  return Math.max(1, dispatch.totalSlots - reserved) - dispatch.longBusySlots;
}

interface Placement {
  readonly entry: WaitingRequest;
  readonly hostId: string;
  readonly isLong: boolean;
}

function findPlacement(state: State, dispatch: PoolDispatch): Placement | null {
  const { hardware } = state.fold.fleet.configuration;
  for (const name of selectQueueClassOrder(dispatch, state.now)) {
    const queueClass = dispatch.queueClasses.get(name);
    const entry = selectHead(dispatch, name);
    if (queueClass === undefined || entry === null) continue;
    if (queueClass.isLong && freeLongSlots(state, dispatch) < 1) continue;
    if (dispatch.awaitingHoldingsFrom.has(entry.holder)) continue;
    const hostId = chooseTarget(dispatch, hardware, queueClass.needs, entry.request.avoidHostId);
    if (hostId !== null) return { entry, hostId, isLong: queueClass.isLong };
  }
  return null;
}

function makeGrant(state: State, dispatch: PoolDispatch, { entry, hostId, isLong }: Placement): Grant {
  const { request } = entry;
  const learnedClass = classify(dispatch, request.workKind, request.hint);
  return {
    slotRequestId: request.slotRequestId,
    holder: entry.holder,
    hostId,
    caller: request.caller,
    workKind: request.workKind,
    workClass: isLong && learnedClass === 'short' ? 'long' : learnedClass,
    longWorkThresholdMilliseconds: request.longWorkThresholdMilliseconds,
    grantedAt: state.now,
    unsettledSince: null,
    settleBy: null,
    countedAsLong: false,
  };
}

function* sendGrant(state: State, pool: string, grant: Grant, deliver: Deliver): Step<State> {
  const address = state.fold.fleet.hosts.get(grant.hostId)?.address ?? '';
  const target = { hostId: grant.hostId, address };
  const message = {
    kind: 'slot-granted',
    pool,
    slotRequestId: grant.slotRequestId,
    target,
    workClass: grant.workClass,
  } as const;
  return yield* deliver(state, grant.holder, message);
}

/** Grants slots to waiting requests until no request can get one. */
export function* grantWaiting(state: State, pool: string, deliver: Deliver): Step<State> {
  let current = state;
  for (;;) {
    const dispatch = current.dispatch.get(pool);
    if (dispatch === undefined || !dispatch.ready || isLapsed(current)) return current;
    if (dispatch.freeSlots === 0 || dispatch.waiting.isEmpty()) return current;
    const placement = findPlacement(current, dispatch);
    if (placement === null) return current;
    if (placement.entry.deadlineAt <= current.now) {
      current = setDispatch(current, removeWaiting(dispatch, placement.entry.request.slotRequestId));
      continue;
    }
    const grant = makeGrant(current, dispatch, placement);
    const served = addGrant(dequeueAndRotate(dispatch, placement.entry), grant);
    yield* reportFaults(findSlotFaults(served, [grant.hostId], slotsPerHostOf(current, pool)));
    current = setDispatch(current, served);
    current = yield* sendGrant(current, pool, grant, deliver);
  }
}

/** Resends a grant that may have been lost, unless the held slots of its holder are being requested. */
function* resendGrant(
  state: State,
  dispatch: PoolDispatch,
  holder: string,
  granted: Grant,
  deliver: Deliver,
): Step<State> {
  if (granted.holder !== holder || dispatch.awaitingHoldingsFrom.has(holder)) return state;
  return yield* sendGrant(state, dispatch.pool, granted, deliver);
}

/** Queues the slot request of a gateway, or resends the grant if the request is a repetition. */
export function* handleSlotRequested(
  state: State,
  holder: string,
  request: SlotRequest,
  deliver: Deliver,
): Step<State> {
  const dispatch = state.dispatch.get(request.pool);
  // As of the folded log, this process does not dispatch the pool; the gateway resends its request.
  if (dispatch === undefined) return state;
  const granted = dispatch.grants.get(request.slotRequestId);
  if (granted !== undefined) return yield* resendGrant(state, dispatch, holder, granted, deliver);
  if (dispatch.waiting.has(request.slotRequestId)) return state;
  if (dispatch.waiting.size >= MAXIMUM_WAITING_PER_POOL) {
    const refusal = {
      kind: 'slot-refused',
      pool: request.pool,
      slotRequestId: request.slotRequestId,
      reason: 'queue-full',
    } as const;
    return yield* deliver(state, holder, refusal);
  }
  const workClass = classify(dispatch, request.workKind, request.hint);
  const deadlineAt = addMilliseconds(state.now, request.remainingMilliseconds);
  const queued = setDispatch(
    state,
    enqueue(countArrival(dispatch), workClass, { request, holder, arrivedAt: state.now, deadlineAt }),
  );
  return yield* grantWaiting(queued, request.pool, deliver);
}

/**
 * Removes a cancelled request from the queue. If its slot was granted meanwhile, the gateway releases it as
 * unused.
 */
export function handleSlotCancelled(state: State, pool: string, slotRequestId: string): State {
  const dispatch = state.dispatch.get(pool);
  return dispatch === undefined ? state : setDispatch(state, removeWaiting(dispatch, slotRequestId));
}

function recordSuccessfulRun(dispatch: PoolDispatch, grant: Grant, runMilliseconds: number): PoolDispatch {
  const counted = recordRunTime(dispatch, runMilliseconds);
  if (grant.countedAsLong) return counted;
  return recordRunClass(counted, grant.workKind, runMilliseconds > grant.longWorkThresholdMilliseconds);
}

function* applyRelease(
  state: State,
  dispatch: PoolDispatch,
  grant: Grant,
  outcome: AttemptOutcome,
  runMilliseconds: number,
): Step<PoolDispatch> {
  const slotsPerHost = slotsPerHostOf(state, dispatch.pool);
  const mayStillRun = outcome === 'abandoned' || outcome === 'broken';
  const freed = mayStillRun ? markUnsettled(dispatch, grant, state.now) : removeGrant(dispatch, grant);
  const recorded = outcome === 'succeeded' ? recordSuccessfulRun(freed, grant, runMilliseconds) : freed;
  return yield* recordAttemptOutcome(
    recorded,
    grant.hostId,
    grant.workKind,
    outcome,
    slotsPerHost,
    state.now,
  );
}

/** Frees a released slot, or marks it as unsettled if the gateway abandoned work that may still run. */
export function* handleSlotReleased(
  state: State,
  holder: string,
  message: Extract<PeerMessage, { readonly kind: 'slot-released' }>,
  deliver: Deliver,
): Step<State> {
  const dispatch = state.dispatch.get(message.pool);
  const grant = dispatch?.grants.get(message.slotRequestId);
  if (dispatch === undefined || grant === undefined || grant.holder !== holder) return state;
  const settled = yield* applyRelease(state, dispatch, grant, message.outcome, message.runMilliseconds);
  return yield* grantWaiting(setDispatch(state, settled), message.pool, deliver);
}

function grantOfHolding(state: State, holder: string, holding: SlotHolding): Grant {
  return {
    ...holding,
    holder,
    workClass: 'unproven',
    grantedAt: state.now,
    unsettledSince: null,
    settleBy: null,
    countedAsLong: false,
  };
}

function recordOfUnsettledSlot(state: State, slot: UnsettledSlot): UnsettledRecord {
  const { slotRequestId, hostId } = slot;
  return {
    slotRequestId,
    hostId,
    settleBy: addMilliseconds(state.now, slot.settleInMilliseconds),
  };
}

function reconcileHoldings(
  state: State,
  dispatch: PoolDispatch,
  holder: string,
  holdings: readonly SlotHolding[],
  abandonedIds: ReadonlySet<string>,
): PoolDispatch {
  const reported = new Set(holdings.map((holding) => holding.slotRequestId));
  const unreported = [...dispatch.grants.values()].filter(
    (grant) => grant.holder === holder && grant.unsettledSince === null && !reported.has(grant.slotRequestId),
  );
  const cleaned = unreported.reduce(
    (view, grant) =>
      abandonedIds.has(grant.slotRequestId)
        ? markUnsettled(view, grant, state.now)
        : removeGrant(view, grant),
    dispatch,
  );
  return holdings
    .filter((holding) => !cleaned.grants.has(holding.slotRequestId))
    .reduce((view, holding) => addGrant(view, grantOfHolding(state, holder, holding)), cleaned);
}

/** Replaces the known grants of a gateway by the held slots that it reports. */
export function* handleHoldingsReported(
  state: State,
  holder: string,
  message: Extract<PeerMessage, { readonly kind: 'holdings-reported' }>,
  deliver: Deliver,
): Step<State> {
  const dispatch = state.dispatch.get(message.pool);
  if (dispatch === undefined || !dispatch.awaitingHoldingsFrom.has(holder)) return state;
  if (message.viewOffset < dispatch.viewOffset) return state;
  const awaitingHoldingsFrom = dispatch.awaitingHoldingsFrom.remove(holder);
  const abandonedIds = new Set(message.unsettled.map((slot) => slot.slotRequestId));
  const reconciled = reconcileHoldings(state, dispatch, holder, message.holdings, abandonedIds);
  // A dispatcher that is ready already has taken over the unsettled slots of its predecessor.
  const unsettled = dispatch.ready ? [] : message.unsettled;
  const inherited = unsettled.reduce(
    (view, slot) => addGrant(view, grantOfUnsettled(recordOfUnsettledSlot(state, slot), holder, state.now)),
    reconciled,
  );
  const slotsPerHost = slotsPerHostOf(state, message.pool);
  const trimmed = dropSurplusUnsettled(inherited, slotsPerHost);
  yield* reportFaults(findSlotFaults(trimmed, trimmed.hosts.keys(), slotsPerHost));
  const updated = setDispatch(state, updateReadiness({ ...trimmed, awaitingHoldingsFrom }, state.now));
  return yield* grantWaiting(updated, message.pool, deliver);
}

/** Requests the held slots of a gateway after a reconnect, as messages on the old connection may be lost. */
export function awaitHoldings(state: State, holder: string): State {
  if (!state.fold.fleet.members.has(holder)) return state;
  return {
    ...state,
    dispatch: state.dispatch.map((dispatch) => ({
      ...dispatch,
      awaitingHoldingsFrom: dispatch.awaitingHoldingsFrom.add(holder),
    })),
  };
}

function* requestHoldings(dispatch: PoolDispatch): Step<void> {
  for (const holder of dispatch.awaitingHoldingsFrom) {
    yield {
      kind: 'send',
      to: holder,
      message: { kind: 'holdings-requested', pool: dispatch.pool, viewOffset: dispatch.viewOffset },
    };
  }
}

/** Runs the periodic work of every pool that this process dispatches: expiry, usage reports, demand and grants. */
export function* tickDispatch(state: State, deliver: Deliver): Step<State> {
  let current = state;
  const unsettledHostIds = new Set<string>();
  for (const pool of state.dispatch.keys()) {
    const dispatch = current.dispatch.get(pool);
    if (dispatch === undefined) continue;
    yield* requestHoldings(dispatch);
    const evaluated = evaluateUsageReports(current, dispatch);
    const settled = settleExpired(evaluated, state.now);
    const updated = measureDemand(endEjections(reclassifyLongRuns(settled, state.now), state.now), state.now);
    selectUnsettledHostIds(updated).forEach((hostId) => unsettledHostIds.add(hostId));
    current = updated === dispatch ? current : setDispatch(current, updated);
    current = yield* grantWaiting(current, pool, deliver);
  }
  if (unsettledHostIds.size > 0) yield { kind: 'read-usage', hostIds: [...unsettledHostIds] };
  return current;
}
