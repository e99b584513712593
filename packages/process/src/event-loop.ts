/** Runs the reducer on one event at a time and carries out its effects after the state has changed. */
import { performance } from 'node:perf_hooks';
import { reduce, type Effect, type Event, type State } from '@baobabdeck/core';
import type { Metrics, WriteEvent } from '@baobabdeck/observability';
import { runSteps, type Clock } from '@baobabdeck/types';

/** An event without its time; the loop adds it. */
export type EventBody = Event extends infer E ? (E extends Event ? Omit<E, 'at'> : never) : never;

/** Carries out one effect; the loop itself handles log effects. */
export type PerformEffect = (effect: Effect) => void;

/** The running reducer. */
export interface EventLoop {
  readonly state: () => State;
  /** Reduces an event. Returns false if the reducer threw; the state is unchanged then. */
  readonly dispatch: (event: EventBody) => boolean;
  /** Sets the function that carries out effects. Call it before the first dispatch: earlier effects are lost. */
  readonly attach: (perform: PerformEffect) => void;
}

/** Dependencies of the event loop. */
export interface EventLoopParts {
  readonly initial: State;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly writeEvent: WriteEvent;
}

const MILLISECONDS_PER_SECOND = 1_000;

/** Creates the event loop of a process. */
export function createEventLoop({ initial, clock, metrics, writeEvent }: EventLoopParts): EventLoop {
  let state = initial;
  let perform: PerformEffect = () => undefined;
  const queue: EventBody[] = [];
  let busy = false;

  const logDecision = (effect: Extract<Effect, { readonly kind: 'log' }>): void => {
    metrics.decisions.inc({ decision: effect.decision });
    if (effect.decision === 'invariantViolated') {
      metrics.invariantViolations.inc({ invariant: String(effect.fields.invariant) });
    }
    writeEvent(effect.decision, effect.fields);
  };

  const step = (event: EventBody): boolean => {
    const startedAt = performance.now();
    let effects: readonly Effect[] = [];
    try {
      ({ state, effects } = runSteps(reduce(state, { ...event, at: clock.now() })));
    } catch (error) {
      // The state is unchanged and none of the event's effects was carried out.
      writeEvent('unexpectedError', { kind: event.kind, err: error });
      return false;
    }
    metrics.reduceSeconds.observe(
      { event: event.kind },
      (performance.now() - startedAt) / MILLISECONDS_PER_SECOND,
    );
    effects.forEach((effect) => (effect.kind === 'log' ? logDecision(effect) : perform(effect)));
    return true;
  };

  const dispatch = (event: EventBody): boolean => {
    if (busy) {
      queue.push(event);
      return true;
    }
    busy = true;
    try {
      const understood = step(event);
      for (let next = queue.shift(); next !== undefined; next = queue.shift()) step(next);
      return understood;
    } finally {
      busy = false;
    }
  };

  return {
    state: () => state,
    dispatch,
    attach: (performEffect) => {
      perform = performEffect;
    },
  };
}
