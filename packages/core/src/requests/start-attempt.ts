/** Starts attempts on granted slots, and handles refused slot requests. */
import { addMilliseconds, type PeerMessage, type TargetAddress, type WorkClass } from '@baobabdeck/types';
import { selectGatewayIds } from '../dispatch/assign-dispatchers.js';
import { isRoutable } from '../dispatch/update-from-fold.js';
import type { Step } from '../effect.js';
import { yieldChecked } from '../invariants/check-effect.js';
import { isLapsed } from '../membership/contact.js';
import type { State } from '../state.js';
import { withNewSlotRequest } from './request-slot.js';
import { ranVerdictOf, refuse } from './refuse.js';
import type { Deliver } from './release-slot.js';
import { selectRequestBySlot, setRequest, silenceTimerId } from './request-table.js';
import type { RequestState } from './requests-state.js';

type SlotGranted = Extract<PeerMessage, { readonly kind: 'slot-granted' }>;

/** Factor by which the silence timeout is longer for work that is not classified yet. */
const UNPROVEN_SILENCE_FACTOR = 10;

function connectionLimit(state: State, pool: string): number {
  const connections = state.fold.fleet.configuration.pools.get(pool)?.connectionsPerHost ?? 1;
  const gateways = Math.max(1, selectGatewayIds(state.fold.fleet).length);
  return Math.max(1, Math.floor(connections / gateways));
}

function mayStart(state: State, request: RequestState, target: TargetAddress): boolean {
  const host = state.fold.fleet.hosts.get(target.hostId);
  return (
    host !== undefined &&
    host.pool === request.pool &&
    isRoutable(host) &&
    !isLapsed(state) &&
    request.deadlineAt > state.now
  );
}

function recordHeldSlot(
  state: State,
  request: RequestState,
  slotRequestId: string,
  target: TargetAddress,
): State {
  const slot = {
    slotRequestId,
    pool: request.pool,
    hostId: target.hostId,
    requestId: request.description.requestId,
    startedAt: state.now,
  };
  return {
    ...state,
    requests: { ...state.requests, heldSlots: state.requests.heldSlots.set(slotRequestId, slot) },
  };
}

/** Returns the silence timeout of an attempt, or null if the work is long or not repeatable. */
function silenceMilliseconds(request: RequestState, workClass: WorkClass): number | null {
  if (!request.description.repeatable || workClass === 'long') return null;
  const short = Math.max(request.silenceTimeoutMilliseconds, request.longWorkThresholdMilliseconds);
  return workClass === 'short' ? short : short * UNPROVEN_SILENCE_FACTOR;
}

function* startAttempt(state: State, request: RequestState, granted: SlotGranted): Step<State> {
  const { requestId } = request.description;
  const { slotRequestId, target } = granted;
  const phase = {
    kind: 'running',
    attemptId: slotRequestId,
    target,
    startedAt: state.now,
    responded: false,
  } as const;
  const limit = connectionLimit(state, request.pool);
  yield* yieldChecked(state, {
    kind: 'start-attempt',
    requestId,
    attemptId: slotRequestId,
    target,
    connectionLimit: limit,
  });
  const silence = silenceMilliseconds(request, granted.workClass);
  if (silence !== null) {
    yield {
      kind: 'set-timer',
      timerId: silenceTimerId(slotRequestId),
      at: addMilliseconds(state.now, silence),
    };
  }
  return setRequest(state, { ...request, phase, attempts: request.attempts + 1 });
}

/** Starts an attempt on a granted slot, or releases the slot as unused. */
export function* handleSlotGranted(
  state: State,
  from: string,
  granted: SlotGranted,
  deliver: Deliver,
): Step<State> {
  const { pool, slotRequestId, target } = granted;
  if (state.dispatchers.get(pool) !== from) return state;
  if (state.requests.heldSlots.has(slotRequestId)) return state;
  const request = selectRequestBySlot(state, slotRequestId);
  const isExpected =
    request !== undefined &&
    request.phase.kind === 'waiting' &&
    request.phase.slotRequestId === slotRequestId;
  if (isExpected && mayStart(state, request, target)) {
    const held = recordHeldSlot(state, request, slotRequestId, target);
    return yield* startAttempt(held, request, granted);
  }
  const message = {
    kind: 'slot-released',
    pool,
    slotRequestId,
    outcome: 'unused',
    runMilliseconds: 0,
  } as const;
  const returned = yield* deliver(state, from, message);
  // The next tick requests a new slot. Doing so here would loop while this process is lapsed or its fold lags
  // behind.
  const current = returned.requests.byId.get(request?.description.requestId ?? '');
  return isExpected && current !== undefined
    ? setRequest(returned, withNewSlotRequest(returned, current))
    : returned;
}

/** Refuses a request because the dispatcher's queue is full. */
export function* handleSlotRefused(state: State, slotRequestId: string, deliver: Deliver): Step<State> {
  const request = selectRequestBySlot(state, slotRequestId);
  if (
    request === undefined ||
    request.phase.kind !== 'waiting' ||
    request.phase.slotRequestId !== slotRequestId
  ) {
    return state;
  }
  return yield* refuse(
    state,
    request,
    'tooManyWaiting',
    `The queue of pool '${request.pool}' is full`,
    ranVerdictOf(request),
    deliver,
  );
}
