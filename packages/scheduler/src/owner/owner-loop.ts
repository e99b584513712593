/** Runs one service's reducer: one event at a time, its effects after its state. */
import {
  reduceService,
  type ServiceEffect,
  type ServiceEvent,
  type ServiceState,
} from '@baobabdeck/scheduling';
import type { WriteEvent } from '@baobabdeck/observability';
import type { SteadyClock } from '../node/steady-clock.js';

/** An event without its times, which the loop adds. */
export type ServiceEventBody = ServiceEvent extends infer E
  ? E extends ServiceEvent
    ? Omit<E, 'at' | 'timeOfDay'>
    : never
  : never;

/** The running reducer of one service. */
export interface OwnerLoop {
  readonly state: () => ServiceState;
  readonly dispatch: (event: ServiceEventBody) => void;
}

/** Creates the loop. */
export function createOwnerLoop(
  initial: ServiceState,
  clock: SteadyClock,
  writeEvent: WriteEvent,
  perform: (effect: ServiceEffect) => void,
): OwnerLoop {
  let state = initial;
  const queue: ServiceEventBody[] = [];
  let busy = false;

  const step = (body: ServiceEventBody): void => {
    const event: ServiceEvent = { ...body, at: clock.steadyNow(), timeOfDay: clock.now() };
    const effects: ServiceEffect[] = [];
    try {
      const steps = reduceService(state, event);
      let result = steps.next();
      while (!result.done) {
        effects.push(result.value);
        result = steps.next();
      }
      state = result.value;
    } catch (error) {
      // The state is as it was before the event, and no effect of it was carried out.
      writeEvent('unexpectedError', { kind: event.kind, service: state.service, err: error });
      return;
    }
    effects.forEach(perform);
  };

  const dispatch = (body: ServiceEventBody): void => {
    queue.push(body);
    if (busy) return;
    busy = true;
    for (let next = queue.shift(); next !== undefined; next = queue.shift()) step(next);
    busy = false;
  };

  return { state: () => state, dispatch };
}
