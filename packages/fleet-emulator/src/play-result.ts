/** What came of a play. */
import type { PlayCounts } from './referee-types.js';
import type { Violation } from './sightings.js';
import type { World } from './world.js';

/** What came of a play. */
export interface PlayResult extends PlayCounts {
  readonly violations: readonly Violation[];
  /** Log lines on unexpected errors and on violations of what must hold. */
  readonly errors: readonly string[];
  readonly world: World;
}

/** Log events that no play should bring about. */
const UNEXPECTED = ['unexpectedError', 'invariantViolated'];

/** The result of a world that was played. */
export function resultOf(world: World): PlayResult {
  const { referee, log } = world;
  const errors = log.filter((line) => UNEXPECTED.some((name) => line.includes(name)));
  return { violations: referee.violations, ...referee.counts(), errors, world };
}
