/** The clocks of a process, passed in so that tests can replace them. */
import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Clock } from '@baobabdeck/types';
import { systemClock } from '@baobabdeck/types';

/** The time of day, and a monotonic clock that never jumps. */
export interface SteadyClock extends Clock {
  /** Milliseconds on the steady clock. */
  readonly steadyNow: () => number;
  /** Resolves after a number of milliseconds on the steady clock. */
  readonly sleep: (milliseconds: number) => Promise<void>;
}

/** The clocks of the machine. */
export const machineClock: SteadyClock = {
  ...systemClock,
  steadyNow: () => performance.now(),
  sleep: (milliseconds) => sleep(milliseconds),
};
