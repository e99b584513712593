/** Hands out the slots of a pool from one queue, at the gateway that the log's view names. */
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
import { countArrival, countRun, measureDemand } from './demand.js';
import type { Grant, PoolDispatch, UnsettledRecord, WaitingRequest } from './dispatch-state.js';
import {
  addGrant,
  reclassifyOverdue,
  removeGrant,
  selectUnsettledHostIds,
  settleByTime,
  unsettleGrant,
} from './grants.js';
import { endEjections, noteOutcome } from './health.js';
import { enqueue, removeWaiting, rotate, selectHead, selectLaneOrder } from './queue.js';
import { judgeReports } from './usage-reports.js';
import { becomeReady, dropSurplusUnsettled, grantOfUnsettled } from './unknown-slots.js';
import { classify, learnRun } from './work-kinds.js';

/** Requests that may wait for one pool at its dispatcher. */
const MAXIMUM_WAITING_PER_POOL = 10_000;

type Deliver = (state: State, to: string, message: PeerMessage) => Step<State>;

/** The state with a changed view of a pool. */
export function setDispatch(state: State, dispatch: PoolDispatch): State {
  return { ...state, dispatch: state.dispatch.set(dispatch.pool, dispatch) };
}

function slotsPerHostOf(state: State, pool: string): number {
  return state.fold.fleet.configuration.pools.get(pool)?.slotsPerHost ?? 1;
}

function longRoom(state: State, dispatch: PoolDispatch): number {
  const reserved = state.fold.fleet.configuration.pools.get(dispatch.pool)?.slotsReservedForShort ?? 0;
  return Math.max(1, dispatch.totalSlots - reserved) - dispatch.longBusy;
}

interface Placement {
  readonly entry: WaitingRequest;
  readonly hostId: string;
  readonly isLong: boolean;
}

function findPlacement(state: State, dispatch: PoolDispatch): Placement | null {
  const { hardware } = state.fold.fleet.configuration;
  for (const name of selectLaneOrder(dispatch, state.now)) {
    const lane = dispatch.lanes.get(name);
    const entry = selectHead(dispatch, name);
    if (lane === undefined || entry === null) continue;
    if (lane.isLong && longRoom(state, dispatch) < 1) continue;
    if (dispatch.awaiting.has(entry.holder)) continue;
    const hostId = chooseTarget(dispatch, hardware, lane.needs, entry.request.avoidHostId);
    if (hostId !== null) return { entry, hostId, isLong: lane.isLong };
  }
  return null;
}

function makeGrant(state: State, dispatch: PoolDispatch, { entry, hostId, isLong }: Placement): Grant {
  const { request } = entry;
  const learned = classify(dispatch, request.workKind, request.hint);
  return {
    slotRequestId: request.slotRequestId,
    holder: entry.holder,
    hostId,
    caller: request.caller,
    workKind: request.workKind,
    workClass: isLong && learned === 'short' ? 'long' : learned,
    longWorkThresholdMilliseconds: request.longWorkThresholdMilliseconds,
    grantedAt: state.now,
    unsettledSince: null,
    settleBy: null,
    seenLong: false,
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

/** Grants slots for as long as some waiting request can have one. */
export function* serveWaiting(state: State, pool: string, deliver: Deliver): Step<State> {
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
    const served = addGrant(rotate(dispatch, placement.entry), grant);
    yield* reportFaults(findSlotFaults(served, [grant.hostId], slotsPerHostOf(current, pool)));
    current = setDispatch(current, served);
    current = yield* sendGrant(current, pool, grant, deliver);
  }
}

/** Sends a grant once more that may be lost; not while its holder is asked whether it ever came. */
function* grantAgain(
  state: State,
  dispatch: PoolDispatch,
  holder: string,
  granted: Grant,
  deliver: Deliver,
): Step<State> {
  if (granted.holder !== holder || dispatch.awaiting.has(holder)) return state;
  return yield* sendGrant(state, dispatch.pool, granted, deliver);
}

/** A gateway asks for a slot, perhaps again. */
export function* handleSlotRequested(
  state: State,
  holder: string,
  request: SlotRequest,
  deliver: Deliver,
): Step<State> {
  const dispatch = state.dispatch.get(request.pool);
  // Not this process's pool as far as it has folded: the gateway asks again.
  if (dispatch === undefined) return state;
  const granted = dispatch.grants.get(request.slotRequestId);
  if (granted !== undefined) return yield* grantAgain(state, dispatch, holder, granted, deliver);
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
  return yield* serveWaiting(queued, request.pool, deliver);
}

/** A gateway no longer wants a slot. One that was granted meanwhile comes back unused. */
export function handleSlotCancelled(state: State, pool: string, slotRequestId: string): State {
  const dispatch = state.dispatch.get(pool);
  return dispatch === undefined ? state : setDispatch(state, removeWaiting(dispatch, slotRequestId));
}

function learnSuccess(dispatch: PoolDispatch, grant: Grant, runMilliseconds: number): PoolDispatch {
  const counted = countRun(dispatch, runMilliseconds);
  if (grant.seenLong) return counted;
  return learnRun(counted, grant.workKind, runMilliseconds > grant.longWorkThresholdMilliseconds);
}

function* settleRelease(
  state: State,
  dispatch: PoolDispatch,
  grant: Grant,
  outcome: AttemptOutcome,
  runMilliseconds: number,
): Step<PoolDispatch> {
  const slotsPerHost = slotsPerHostOf(state, dispatch.pool);
  const mayRunOn = outcome === 'abandoned' || outcome === 'broken';
  const freed = mayRunOn ? unsettleGrant(dispatch, grant, state.now) : removeGrant(dispatch, grant);
  const learned = outcome === 'succeeded' ? learnSuccess(freed, grant, runMilliseconds) : freed;
  return yield* noteOutcome(learned, grant.hostId, grant.workKind, outcome, slotsPerHost, state.now);
}

/** A gateway is done with a slot, or has given up work that may still run. */
export function* handleSlotReleased(
  state: State,
  holder: string,
  message: Extract<PeerMessage, { readonly kind: 'slot-released' }>,
  deliver: Deliver,
): Step<State> {
  const dispatch = state.dispatch.get(message.pool);
  const grant = dispatch?.grants.get(message.slotRequestId);
  if (dispatch === undefined || grant === undefined || grant.holder !== holder) return state;
  const settled = yield* settleRelease(state, dispatch, grant, message.outcome, message.runMilliseconds);
  return yield* serveWaiting(setDispatch(state, settled), message.pool, deliver);
}

function grantOfHolding(state: State, holder: string, holding: SlotHolding): Grant {
  return {
    ...holding,
    holder,
    workClass: 'unproven',
    grantedAt: state.now,
    unsettledSince: null,
    settleBy: null,
    seenLong: false,
  };
}

function recordOf(state: State, slot: UnsettledSlot): UnsettledRecord {
  const { slotRequestId, hostId } = slot;
  return {
    slotRequestId,
    hostId,
    settleBy: addMilliseconds(state.now, slot.settleInMilliseconds),
  };
}

function reconcile(
  state: State,
  dispatch: PoolDispatch,
  holder: string,
  holdings: readonly SlotHolding[],
  givenUp: ReadonlySet<string>,
): PoolDispatch {
  const reported = new Set(holdings.map((holding) => holding.slotRequestId));
  const lost = [...dispatch.grants.values()].filter(
    (grant) => grant.holder === holder && grant.unsettledSince === null && !reported.has(grant.slotRequestId),
  );
  const cleaned = lost.reduce(
    (view, grant) =>
      givenUp.has(grant.slotRequestId) ? unsettleGrant(view, grant, state.now) : removeGrant(view, grant),
    dispatch,
  );
  return holdings
    .filter((holding) => !cleaned.grants.has(holding.slotRequestId))
    .reduce((view, holding) => addGrant(view, grantOfHolding(state, holder, holding)), cleaned);
}

/** A gateway tells which slots it uses: its word stands against what was believed before. */
export function* handleHoldingsReported(
  state: State,
  holder: string,
  message: Extract<PeerMessage, { readonly kind: 'holdings-reported' }>,
  deliver: Deliver,
): Step<State> {
  const dispatch = state.dispatch.get(message.pool);
  if (dispatch === undefined || !dispatch.awaiting.has(holder)) return state;
  if (message.viewOffset < dispatch.viewOffset) return state;
  const awaiting = dispatch.awaiting.remove(holder);
  const givenUp = new Set(message.unsettled.map((slot) => slot.slotRequestId));
  const reconciled = reconcile(state, dispatch, holder, message.holdings, givenUp);
  // A dispatcher that was ready before has settled what the former one left.
  const left = dispatch.ready ? [] : message.unsettled;
  const inherited = left.reduce(
    (view, slot) => addGrant(view, grantOfUnsettled(recordOf(state, slot), holder, state.now)),
    reconciled,
  );
  const slotsPerHost = slotsPerHostOf(state, message.pool);
  const counted = dropSurplusUnsettled(inherited, slotsPerHost);
  yield* reportFaults(findSlotFaults(counted, counted.hosts.keys(), slotsPerHost));
  const known = setDispatch(state, becomeReady({ ...counted, awaiting }, state.now));
  return yield* serveWaiting(known, message.pool, deliver);
}

/** A link to a gateway is new: what was sent on the old one may be lost, so its holdings are asked for. */
export function awaitHoldings(state: State, holder: string): State {
  if (!state.fold.fleet.members.has(holder)) return state;
  return {
    ...state,
    dispatch: state.dispatch.map((dispatch) => ({ ...dispatch, awaiting: dispatch.awaiting.add(holder) })),
  };
}

function* requestHoldings(dispatch: PoolDispatch): Step<void> {
  for (const holder of dispatch.awaiting) {
    yield {
      kind: 'send',
      to: holder,
      message: { kind: 'holdings-requested', pool: dispatch.pool, viewOffset: dispatch.viewOffset },
    };
  }
}

/** Lets time pass over every pool that this process dispatches. */
export function* tickDispatch(state: State, deliver: Deliver): Step<State> {
  let current = state;
  const unsettled = new Set<string>();
  for (const pool of state.dispatch.keys()) {
    const dispatch = current.dispatch.get(pool);
    if (dispatch === undefined) continue;
    yield* requestHoldings(dispatch);
    const judged = judgeReports(current, dispatch);
    const settled = settleByTime(judged, state.now);
    const aged = measureDemand(endEjections(reclassifyOverdue(settled, state.now), state.now), state.now);
    selectUnsettledHostIds(aged).forEach((hostId) => unsettled.add(hostId));
    current = aged === dispatch ? current : setDispatch(current, aged);
    current = yield* serveWaiting(current, pool, deliver);
  }
  if (unsettled.size > 0) yield { kind: 'read-usage', hostIds: [...unsettled] };
  return current;
}
