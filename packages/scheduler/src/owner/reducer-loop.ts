/** Runs the reducer of an owner: processes one event at a time, first updates the state, then performs the effects. */
import type { LogFields, WriteEvent } from '@baobabdeck/observability';
import { runSteps } from '@baobabdeck/types';
import type { OwnerLoad } from '../measure/owner-load.js';
import type { SteadyClock } from '../node/steady-clock.js';

/** Event without its timestamps, which the loop adds. */
export type EventBody<Event> = Event extends unknown ? Omit<Event, 'at' | 'timeOfDay'> : never;

/** Dependencies and parameters of a reducer loop. */
export interface ReducerLoopParts<State, Body, Effect> {
  readonly initial: State;
  /** Yields the effects of an event and returns the new state; `at` is on the steady clock. */
  readonly reduce: (state: State, body: Body, at: number, timeOfDay: Date) => Generator<Effect, State, void>;
  readonly perform: (effect: Effect) => void;
  readonly clock: SteadyClock;
  readonly writeEvent: WriteEvent;
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
export function createReducerLoop<State, Body extends { readonly kind: string }, Effect>(
  parts: ReducerLoopParts<State, Body, Effect>,
): ReducerLoop<State, Body> {
  const { reduce, perform, clock, writeEvent, load, logFields } = parts;
  let state = parts.initial;
  const pending: Body[] = [];
  let isProcessing = false;

  const processEvent = (body: Body): void => {
    let effects: readonly Effect[] = [];
    const beganAt = clock.steadyNow();
    try {
      ({ state, effects } = runSteps(reduce(state, body, beganAt, clock.now())));
    } catch (error) {
      // The event is dropped: the state is unchanged and none of its effects is performed.
      writeEvent('unexpectedError', { kind: body.kind, ...logFields, err: error });
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
