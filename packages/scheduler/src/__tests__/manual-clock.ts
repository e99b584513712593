/** Clock for tests that advances only on request. */
import type { SteadyClock } from '../node/steady-clock.js';

/** Steady clock that a test advances. */
export interface ManualClock extends SteadyClock {
  /** Advances the clock without waking any sleeper, like code that blocks the event loop. */
  readonly block: (milliseconds: number) => void;
  /** Advances the clock, wakes the sleepers that are due and lets them run. */
  readonly advance: (milliseconds: number) => Promise<void>;
}

/** Creates a manual clock at 1,000 ms. */
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
      // The woken sleepers continue in later turns of the event loop.
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    },
  };
}
