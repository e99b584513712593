/** Background work for tests in which no unexpected error may occur. */
import type { SteadyClock } from '../node/steady-clock.js';
import { createBackgroundWork, type BackgroundWork } from '../unexpected-errors/index.js';

/** Creates background work that throws its errors again, so that they fail the test. */
export function createTestBackground(clock: SteadyClock): BackgroundWork {
  return createBackgroundWork(clock, (activity, error) => {
    throw new Error(`unexpected error in ${activity}`, { cause: error });
  });
}
