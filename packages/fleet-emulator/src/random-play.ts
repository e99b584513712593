/** Plays a random schedule of traffic and troubles from a seed, and tells which rules broke. */
import { drawLastingJob, drawMixedJob, startCallers } from './callers.js';
import { resultOf, type PlayResult } from './play-result.js';
import { beginTrouble, TROUBLE_KINDS, type TroubleKind } from './troubles.js';
import { createWorld, type WorldSize } from './world.js';

/** What to play. */
export interface PlayOptions {
  readonly seed: number;
  readonly size: WorldSize;
  /** Time with traffic and troubles. */
  readonly busyMilliseconds: number;
  /** Mean time between two troubles. */
  readonly troubleEveryMilliseconds: number;
  readonly kinds: readonly TroubleKind[];
  /** Milliseconds between two requests for the number of pending jobs of a queue; null for no such requests. */
  readonly countMilliseconds: number | null;
}

/** A small system with every kind of trouble. */
export const SMALL_PLAY: Omit<PlayOptions, 'seed'> = {
  size: { services: 2, hostsPerService: 5, standbyHosts: 2, nodes: 3 },
  busyMilliseconds: 25_000,
  troubleEveryMilliseconds: 2_500,
  kinds: TROUBLE_KINDS,
  countMilliseconds: null,
};

/** The same with callers who ask how many jobs wait. */
export const COUNTING_PLAY: Omit<PlayOptions, 'seed'> = { ...SMALL_PLAY, countMilliseconds: 400 };

const STRONG_COUNT = 3;
const STRONG_MILLI_CORES = 1_350;
const WEAK_MILLI_CORES = 324;

/** The same with processes of unequal strength. */
export const UNEVEN_PLAY: Omit<PlayOptions, 'seed'> = {
  ...SMALL_PLAY,
  size: {
    ...SMALL_PLAY.size,
    nodes: 6,
    milliCoresOf: (node) => (node < STRONG_COUNT ? STRONG_MILLI_CORES : WEAK_MILLI_CORES),
  },
};

/** Time before the first traffic. */
const LEAD_MILLISECONDS = 6_000;

/** Time after the last trouble in which all that was accepted must come to an end. */
const REST_MILLISECONDS = 60_000;

/** Plays a schedule. */
export async function playSchedule(options: PlayOptions): Promise<PlayResult> {
  const world = createWorld(options.seed, options.size);
  const { time, random, referee } = world;
  const until = LEAD_MILLISECONDS + options.busyMilliseconds;
  await time.runUntil(LEAD_MILLISECONDS);
  startCallers(world, {
    jobsPerSecond: () => 1.2,
    isDue: () => true,
    drawJob: drawMixedJob,
    drawLastingJob,
    lastingJobsPerQueue: 1,
    cancelShare: 0.1,
    failingShare: 0.02,
    askMilliseconds: 1_500,
    countMilliseconds: options.countMilliseconds,
    until,
  });
  const next = (): void => {
    if (time.now() > until) return;
    const kind = random.pick(options.kinds);
    world.log.push(`${time.now().toFixed(0)} trouble ${kind}`);
    beginTrouble(world, kind);
    world.lastTroubleAt = time.now();
    time.after(random.exponential(options.troubleEveryMilliseconds), next);
  };
  time.after(random.exponential(options.troubleEveryMilliseconds), next);
  await time.runUntil(until + REST_MILLISECONDS);
  await referee.checkRest();
  return resultOf(world);
}
