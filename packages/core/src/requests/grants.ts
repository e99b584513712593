/** Starts attempts on granted slots. */
import { addMilliseconds, type PeerMessage, type TargetAddress, type WorkClass } from '@baobabdeck/types';
import { selectGatewayIds } from '../dispatch/assign-dispatchers.js';
import { isRoutable } from '../dispatch/update-from-fold.js';
import type { Step } from '../effect.js';
import { yieldChecked } from '../invariants/check-effect.js';
import { isLapsed } from '../membership/contact.js';
import type { State } from '../state.js';
import { waitForNewSlot } from './ask-slot.js';
import { refuse, verdictOf } from './refuse.js';
import type { Deliver } from './release-slot.js';
import { selectRequestOf, setRequest, silenceTimer } from './request-table.js';
import type { RequestState } from './requests-state.js';

type SlotGranted = Extract<PeerMessage, { readonly kind: 'slot-granted' }>;

/** How many times longer work of an unknown kind may be silent. */
const UNPROVEN_PATIENCE = 10;

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

function holdSlot(state: State, request: RequestState, slotRequestId: string, target: TargetAddress): State {
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

/** Time of silence after which the connection is suspected; null for work that may well take as long. */
function silenceMilliseconds(request: RequestState, workClass: WorkClass): number | null {
  if (!request.description.repeatable || workClass === 'long') return null;
  const short = Math.max(request.silenceTimeoutMilliseconds, request.longWorkThresholdMilliseconds);
  return workClass === 'short' ? short : short * UNPROVEN_PATIENCE;
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
      timerId: silenceTimer(slotRequestId),
      at: addMilliseconds(state.now, silence),
    };
  }
  return setRequest(state, { ...request, phase, attempts: request.attempts + 1 });
}

/** A slot was granted: the attempt starts, or the slot goes back unused. */
export function* handleSlotGranted(
  state: State,
  from: string,
  granted: SlotGranted,
  deliver: Deliver,
): Step<State> {
  const { pool, slotRequestId, target } = granted;
  if (state.dispatchers.get(pool) !== from) return state;
  if (state.requests.heldSlots.has(slotRequestId)) return state;
  const request = selectRequestOf(state, slotRequestId);
  const wanted =
    request !== undefined &&
    request.phase.kind === 'waiting' &&
    request.phase.slotRequestId === slotRequestId;
  if (wanted && mayStart(state, request, target)) {
    const held = holdSlot(state, request, slotRequestId, target);
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
  // The request is asked for again by the clock, so that a lapse or a lagging view does not spin.
  const again = returned.requests.byId.get(request?.description.requestId ?? '');
  return wanted && again !== undefined ? setRequest(returned, waitForNewSlot(returned, again)) : returned;
}

/** The dispatcher has no room for one more request. */
export function* handleSlotRefused(state: State, slotRequestId: string, deliver: Deliver): Step<State> {
  const request = selectRequestOf(state, slotRequestId);
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
    verdictOf(request),
    deliver,
  );
}
