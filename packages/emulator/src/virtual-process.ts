/** One process in virtual time: the reducer, its timers, and what pauses and crashes do to it. */
import {
  initialState,
  reduce,
  type Effect,
  type Event,
  type FoldState,
  type Parameters,
  type State,
} from '@baobabdeck/core';
import type { ProcessIdentity } from '@baobabdeck/types';
import type { Schedule } from './schedule.js';

/** Time of the start of virtual time. */
export const EPOCH_MILLISECONDS = Date.UTC(2026, 0, 1);

const TICK_MILLISECONDS = 250;

/** An event without its time. */
export type EventBody = Event extends infer E ? (E extends Event ? Omit<E, 'at'> : never) : never;

/** A process. */
export interface VirtualProcess {
  readonly identity: ProcessIdentity;
  readonly state: () => State;
  readonly dispatch: (event: EventBody) => void;
  /** Runs at once, or when the process goes on after a pause. */
  readonly whenRunning: (run: () => void) => void;
  readonly isAlive: () => boolean;
  readonly kill: () => void;
  /** Stops the process as a signal would; what comes meanwhile waits. */
  readonly pause: () => void;
  readonly resume: () => void;
  readonly eventCount: () => number;
}

/** What a process is made of. */
export interface VirtualProcessParts {
  readonly identity: ProcessIdentity;
  readonly parameters: Parameters;
  readonly fold: FoldState;
  readonly schedule: Schedule;
  readonly perform: (effect: Effect) => void;
  /** Called after each step with the states before and after it. */
  readonly onStep?: (before: State, after: State) => void;
}

/** The date of a virtual time. */
export function dateAt(milliseconds: number): Date {
  return new Date(EPOCH_MILLISECONDS + milliseconds);
}

/** Starts a process. */
export function createVirtualProcess(parts: VirtualProcessParts): VirtualProcess {
  const { identity, parameters, fold, schedule, perform, onStep } = parts;
  let state = initialState(identity, parameters, fold, dateAt(schedule.now()));
  let alive = true;
  let paused = false;
  let events = 0;
  const backlog: (() => void)[] = [];
  const queue: EventBody[] = [];
  const timers = new Map<string, number>();
  let timerCount = 0;
  let busy = false;

  const step = (body: EventBody): void => {
    const before = state;
    const effects: Effect[] = [];
    const steps = reduce(before, { ...body, at: dateAt(schedule.now()) });
    for (let next = steps.next(); ; next = steps.next()) {
      if (next.done) {
        state = next.value;
        break;
      }
      effects.push(next.value);
    }
    events += 1;
    onStep?.(before, state);
    effects.forEach(carryOut);
  };
  const dispatch = (body: EventBody): void => {
    if (!alive) return;
    if (paused) {
      backlog.push(() => dispatch(body));
      return;
    }
    queue.push(body);
    if (busy) return;
    busy = true;
    for (let next = queue.shift(); next !== undefined; next = queue.shift()) step(next);
    busy = false;
  };
  function carryOut(effect: Effect): void {
    if (effect.kind === 'set-timer') {
      timerCount += 1;
      const mine = timerCount;
      timers.set(effect.timerId, mine);
      schedule.after(effect.at.getTime() - EPOCH_MILLISECONDS - schedule.now(), () => {
        if (timers.get(effect.timerId) !== mine) return;
        timers.delete(effect.timerId);
        dispatch({ kind: 'timer-fired', timerId: effect.timerId });
      });
    } else if (effect.kind === 'clear-timer') {
      timers.delete(effect.timerId);
    } else {
      perform(effect);
    }
  }
  const tick = (): void => {
    if (!alive) return;
    if (!paused) dispatch({ kind: 'ticked' });
    schedule.after(TICK_MILLISECONDS, tick);
  };
  schedule.after(0, tick);
  return {
    identity,
    state: () => state,
    dispatch,
    whenRunning: (run) => {
      if (paused) backlog.push(run);
      else run();
    },
    isAlive: () => alive,
    kill: () => {
      alive = false;
    },
    pause: () => {
      paused = true;
    },
    resume: () => {
      paused = false;
      backlog.splice(0).forEach((run) => run());
    },
    eventCount: () => events,
  };
}
