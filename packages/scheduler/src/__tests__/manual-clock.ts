/** A clock that a test moves by hand. */
import type { SteadyClock } from '../node/steady-clock.js';

/** A clock for tests. */
export interface ManualClock extends SteadyClock {
  /** Moves the clock while nothing else can run, as busy code does: nobody wakes. */
  readonly block: (milliseconds: number) => void;
  /** Lets time pass, and those that sleep wake. */
  readonly advance: (milliseconds: number) => Promise<void>;
}

/** Creates a clock that stands still. */
export function createManualClock(): ManualClock {
  let now = 1_000;
  let sleepers: readonly { readonly until: number; readonly wake: () => void }[] = [];
  return {
    now: () => new Date(now),
    steadyNow: () => now,
    sleep: (milliseconds) =>
      new Promise((resolve) => {
        sleepers = [...sleepers, { until: now + milliseconds, wake: resolve }];
      }),
    block: (milliseconds) => {
      now += milliseconds;
    },
    advance: async (milliseconds) => {
      now += milliseconds;
      const due = sleepers.filter(({ until }) => until <= now);
      sleepers = sleepers.filter(({ until }) => until > now);
      due.forEach(({ wake }) => wake());
      // What woke goes on in the next turns of the loop.
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    },
  };
}
