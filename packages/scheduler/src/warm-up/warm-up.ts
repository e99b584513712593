/** Runs the warm-up play in the background of a starting process. */
import type { WriteEvent } from '@baobabdeck/observability';
import type { SchedulingParameters } from '@baobabdeck/scheduling';
import { sleepAndMeasureLateness } from '../measure/event-loop-monitor.js';
import type { SteadyClock } from '../node/steady-clock.js';
import { playWarmUp, type WarmUpResult } from './warm-up-play.js';

/** Number of plays: the engine optimizes code in stages, so one is not enough. */
const PLAYS = 4;

/** Longest time that the play occupies the event loop at once. */
const SLICE_MILLISECONDS = 6;

/** Pause between two slices, so that the play takes a minor share of the processor. */
const PAUSE_MILLISECONDS = 10;

/** Time between two checks whether this process may be assigned services. */
const CANDIDACY_CHECK_INTERVAL_MILLISECONDS = 100;

/** Lateness of the event loop above which a slice is left out: the process has real work. */
const BUSY_LATENESS_MILLISECONDS = 8;

/** Dependencies of the warm-up. */
export interface WarmUpParts {
  readonly clock: SteadyClock;
  readonly parameters: SchedulingParameters;
  readonly writeEvent: WriteEvent;
  /** Returns whether this process may be assigned services; the play waits until it may. */
  readonly isCandidate: () => boolean;
  /** Returns true once the process stops; the play is then abandoned. */
  readonly isStopping: () => boolean;
}

function* playRepeatedly(parts: WarmUpParts): Generator<void, readonly WarmUpResult[], void> {
  const results: WarmUpResult[] = [];
  for (let play = 0; play < PLAYS; play += 1) {
    results.push(yield* playWarmUp(parts.parameters, parts.clock.now()));
  }
  return results;
}

/** Plays the warm-up load in short slices while the event loop has time; resolves once it is over. */
export async function warmUp(parts: WarmUpParts): Promise<void> {
  const { clock, writeEvent, isCandidate, isStopping } = parts;
  while (!isCandidate() && !isStopping()) await clock.sleep(CANDIDACY_CHECK_INTERVAL_MILLISECONDS);
  const beganAt = clock.steadyNow();
  const play = playRepeatedly(parts);
  let busyMilliseconds = 0;
  let step = play.next();
  while (step.done !== true && !isStopping()) {
    const lateness = await sleepAndMeasureLateness(clock, PAUSE_MILLISECONDS);
    const sliceBeganAt = clock.steadyNow();
    const sliceEndsAt = sliceBeganAt + (lateness < BUSY_LATENESS_MILLISECONDS ? SLICE_MILLISECONDS : 0);
    while (step.done !== true && clock.steadyNow() < sliceEndsAt) step = play.next();
    busyMilliseconds += clock.steadyNow() - sliceBeganAt;
  }
  if (step.done !== true) return;
  writeEvent('warmedUp', {
    plays: step.value.length,
    events: step.value.reduce((sum, { events }) => sum + events, 0),
    milliseconds: Math.round(clock.steadyNow() - beganAt),
    busyMilliseconds: Math.round(busyMilliseconds),
  });
}
