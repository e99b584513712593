/** Checks effects against the current state before they are yielded. */
import { isRoutable } from '../dispatch/update-from-fold.js';
import type { Effect, Step } from '../effect.js';
import { selectKey } from '../fold/keys.js';
import { selectRequestBySlot } from '../requests/request-table.js';
import type { State } from '../state.js';
import { reportFaults, type InvariantFault } from './fault.js';

type StartAttempt = Extract<Effect, { readonly kind: 'start-attempt' }>;
type Refuse = Extract<Effect, { readonly kind: 'refuse' }>;

function checkTarget(state: State, effect: StartAttempt): readonly InvariantFault[] {
  const host = state.fold.fleet.hosts.get(effect.target.hostId);
  if (host !== undefined && isRoutable(host)) return [];
  return [
    { invariant: 'leaving-target-gets-no-work', detail: `${effect.attemptId} to ${effect.target.hostId}` },
  ];
}

function checkOnce(state: State, effect: StartAttempt): readonly InvariantFault[] {
  const request = selectRequestBySlot(state, effect.attemptId);
  if (request === undefined) {
    return [
      { invariant: 'non-repeatable-at-most-once', detail: `${effect.attemptId} belongs to no request` },
    ];
  }
  const { keyHash, requestId, repeatable } = request.description;
  const ownsKey = keyHash === null || selectKey(state.fold.keys, keyHash)?.requestId === requestId;
  if (repeatable || (ownsKey && !request.mayHaveRun && request.phase.kind !== 'running')) return [];
  return [{ invariant: 'non-repeatable-at-most-once', detail: effect.attemptId }];
}

function checkRefusal(state: State, effect: Refuse): readonly InvariantFault[] {
  if (effect.ran !== 'no') return [];
  const request = state.requests.byId.get(effect.requestId);
  if (request === undefined || (!request.mayHaveRun && request.phase.kind !== 'running')) return [];
  return [
    { invariant: 'not-run-is-true', detail: `${effect.requestId} refused with ${effect.failure.code}` },
  ];
}

function findFaults(state: State, effect: Effect): readonly InvariantFault[] {
  if (effect.kind === 'start-attempt') return [...checkTarget(state, effect), ...checkOnce(state, effect)];
  return effect.kind === 'refuse' ? checkRefusal(state, effect) : [];
}

/** Yields an effect, preceded by a log entry for each invariant that it violates. */
export function* yieldChecked(state: State, effect: Effect): Step<void> {
  yield* reportFaults(findFaults(state, effect));
  yield effect;
}
