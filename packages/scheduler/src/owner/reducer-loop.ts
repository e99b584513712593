/** Runs the reducer of an owner: processes one event at a time, first updates the state, then performs the effects. */
import type { LogFields } from '@baobabdeck/observability';
import { runSteps } from '@baobabdeck/types';
import type { OwnerLoad } from '../measure/owner-load.js';
import type { SteadyClock } from '../node/steady-clock.js';
import type { ReportUnexpectedError } from '../unexpected-errors/report-unexpected-error.js';

/** Event without its timestamps, which the loop adds. */
export type EventBody<Event> = Event extends unknown ? Omit<Event, 'at' | 'timeOfDay'> : never;

/** Dependencies and parameters of a reducer loop. */
export interface ReducerLoopParts<State, Body, Effect extends { readonly kind: string }> {
  readonly initial: State;
  /** Yields the effects of an event and returns the new state; `at` is on the steady clock. */
  readonly reduce: (state: State, body: Body, at: number, timeOfDay: Date) => Generator<Effect, State, void>;
  readonly perform: (effect: Effect) => void;
  readonly clock: SteadyClock;
  readonly reportError: ReportUnexpectedError;
  readonly load: OwnerLoad;
  /** Fields that identify the owner in log lines. */
  readonly logFields: LogFields;
}

/** Current state of a reducer, and access to its event queue. */
export interface ReducerLoop<State, Body> {
  readonly state: () => State;
  /** Processes an event at once, or after the current one when called during its processing. */
  readonly dispatch: (body: Body) => void;
}

/** Creates a reducer loop. */
export function createReducerLoop<
  State,
  Body extends { readonly kind: string },
  Effect extends { readonly kind: string },
>(parts: ReducerLoopParts<State, Body, Effect>): ReducerLoop<State, Body> {
  const { reduce, clock, reportError, load, logFields } = parts;
  let state = parts.initial;
  const pending: Body[] = [];
  let isProcessing = false;

  /** Performs an effect; an error in it must not keep the other effects and the next events from their turn. */
  const perform = (effect: Effect): void => {
    try {
      parts.perform(effect);
    } catch (error) {
      reportError(effect.kind, error, logFields);
    }
  };

  const processEvent = (body: Body): void => {
    let effects: readonly Effect[] = [];
    const beganAt = clock.steadyNow();
    try {
      ({ state, effects } = runSteps(reduce(state, body, beganAt, clock.now())));
    } catch (error) {
      // The event is dropped: the state is unchanged and none of its effects is performed.
      reportError(body.kind, error, logFields);
    }
    const reducedAt = clock.steadyNow();
    effects.forEach(perform);
    load.recordEvent(body.kind, beganAt, reducedAt);
  };

  const dispatch = (body: Body): void => {
    pending.push(body);
    if (isProcessing) return;
    isProcessing = true;
    for (let next = pending.shift(); next !== undefined; next = pending.shift()) processEvent(next);
    isProcessing = false;
  };

  return { state: () => state, dispatch };
}
