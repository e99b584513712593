/** Runs an owner's reducer: one event at a time, its effects after its state. */
import type { LogFields, WriteEvent } from '@baobabdeck/observability';
import { runSteps } from '@baobabdeck/types';
import type { OwnerLoad } from '../measure/owner-load.js';
import type { SteadyClock } from '../node/steady-clock.js';

/** An event without its times, which the loop adds. */
export type EventBody<Event> = Event extends unknown ? Omit<Event, 'at' | 'timeOfDay'> : never;

/** What a loop needs. */
export interface ReducerLoopParts<State, Body, Effect> {
  readonly initial: State;
  readonly reduce: (state: State, body: Body, at: number, timeOfDay: Date) => Generator<Effect, State, void>;
  readonly perform: (effect: Effect) => void;
  readonly clock: SteadyClock;
  readonly writeEvent: WriteEvent;
  readonly load: OwnerLoad;
  /** Names the owner in the log. */
  readonly logFields: LogFields;
}

/** The running reducer. */
export interface ReducerLoop<State, Body> {
  readonly state: () => State;
  readonly dispatch: (body: Body) => void;
}

/** Creates the loop. */
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
      // The state is as it was before the event, and no effect of it was carried out.
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
