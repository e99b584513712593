/** Admits requests, claims their idempotency keys and handles the verdicts on the claims. */
import { failureOf } from '@baobabdeck/errors';
import { addMilliseconds, type RequestDescription, type ServiceSection } from '@baobabdeck/types';
import type { Step } from '../effect.js';
import type { EventOf } from '../event.js';
import { type ClaimVerdict, selectKey } from '../fold/keys.js';
import { canEverServe } from '../routing/can-ever-serve.js';
import { describeNeed } from '../routing/needs.js';
import type { State } from '../state.js';
import { requestSlot } from './request-slot.js';
import { startClaim } from './claim.js';
import { followHolder, notifyFollowers } from './followers.js';
import { recordKeyOutcome } from './keys.js';
import { endRequest, ranVerdictOf, refuse, refuseArrival } from './refuse.js';
import type { Deliver } from './release-slot.js';
import { deadlineTimerId } from './request-table.js';
import type { RequestState } from './requests-state.js';
import { depositRetryToken } from './retry-budget.js';

function describeNeeds(request: RequestDescription): string {
  return request.needs.map(describeNeed).join(', ') || 'anything';
}

function newRequest(state: State, description: RequestDescription, service: ServiceSection): RequestState {
  const milliseconds = description.deadlineMilliseconds ?? service.defaultDeadlineMilliseconds;
  return {
    description,
    pool: service.pool,
    longWorkThresholdMilliseconds: service.longWorkThresholdMilliseconds,
    silenceTimeoutMilliseconds: service.silenceTimeoutMilliseconds,
    arrivedAt: state.now,
    deadlineAt: addMilliseconds(state.now, milliseconds),
    phase: { kind: 'claiming', giveUpAt: state.now },
    slotRequests: 0,
    attempts: 0,
    avoidHostId: null,
    mayHaveRun: false,
  };
}

function findRefusal(state: State, description: RequestDescription) {
  const { fleet } = state.fold;
  const service = fleet.configuration.services.get(description.service);
  if (fleet.configuration.version === 0) {
    return failureOf('noConfiguration', 'Publish one with baobabdeck config publish');
  }
  if (service === undefined) {
    return failureOf('unknownService', `Expected a configured service, found '${description.service}'`);
  }
  if (!canEverServe(fleet, service.pool, description.needs)) {
    return failureOf(
      'noTargetCanServe',
      `No host of pool '${service.pool}' has ${describeNeeds(description)}`,
    );
  }
  const waiting = state.requests.waitingByService.get(description.service) ?? 0;
  if (waiting >= service.maximumWaiting) {
    return failureOf(
      'tooManyWaiting',
      `${waiting} requests wait for service '${description.service}' at this gateway`,
    );
  }
  return null;
}

function* beginRequest(state: State, request: RequestState, deliver: Deliver): Step<State> {
  const { keyHash } = request.description;
  if (keyHash === null) return yield* requestSlot(state, request, deliver);
  const holder = selectKey(state.fold.keys, keyHash);
  return holder === undefined
    ? yield* startClaim(state, request)
    : yield* followHolder(state, request, holder, deliver);
}

/** Admits or refuses a new request; starts with the claim of its key, if it has one. */
export function* handleRequestArrived(
  state: State,
  { request: description }: EventOf<'request-arrived'>,
  deliver: Deliver,
): Step<State> {
  const refusal = findRefusal(state, description);
  if (refusal !== null) return yield* refuseArrival(state, description.requestId, refusal);
  const service = state.fold.fleet.configuration.services.get(description.service) as ServiceSection;
  const request = newRequest(state, description, service);
  yield { kind: 'set-timer', timerId: deadlineTimerId(description.requestId), at: request.deadlineAt };
  return yield* beginRequest(depositRetryToken(state), request, deliver);
}

/** Ends a request whose caller has closed the connection. */
export function* handleCallerLeft(state: State, requestId: string, deliver: Deliver): Step<State> {
  const request = state.requests.byId.get(requestId);
  if (request === undefined) return state;
  const ran = ranVerdictOf(request);
  const ended = yield* endRequest(state, request, ran, deliver);
  return yield* notifyFollowers(ended, requestId, null, deliver);
}

function* handleClaimVerdict(state: State, verdict: ClaimVerdict, deliver: Deliver): Step<State> {
  const request = state.requests.byId.get(verdict.requestId);
  if (request === undefined || request.phase.kind !== 'claiming') {
    const isAbandoned = verdict.kind === 'won' && state.requests.abandonedClaims.has(verdict.requestId);
    return isAbandoned
      ? yield* recordKeyOutcome(state, verdict.requestId, verdict.keyHash, 'not-run')
      : state;
  }
  if (verdict.kind === 'won') return yield* requestSlot(state, request, deliver);
  if (verdict.kind === 'held') return yield* followHolder(state, request, verdict.holder, deliver);
  if (verdict.kind === 'too-old') {
    return yield* refuse(
      state,
      request,
      'keyTooOld',
      'Nobody can tell whether its work ran; ask before you use a new key',
      'unknown',
      deliver,
    );
  }
  return yield* refuse(
    state,
    request,
    'keysExhausted',
    'Use keys that carry their time, such as UUID version 7',
    'no',
    deliver,
  );
}

/** Handles the verdicts on claims that the fold derived from the log; ignores claims of other gateways. */
export function* handleClaimVerdicts(
  state: State,
  verdicts: readonly ClaimVerdict[],
  deliver: Deliver,
): Step<State> {
  let current = state;
  for (const verdict of verdicts) {
    current = yield* handleClaimVerdict(current, verdict, deliver);
  }
  return current;
}
