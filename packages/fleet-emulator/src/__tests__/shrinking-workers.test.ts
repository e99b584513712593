import type { ExecutionContext } from 'ava';
import { PLAIN_STEP } from '@baobabdeck/scheduling';
import { describe } from '@baobabdeck/test-tools';
import { drawLastingJob, NO_CRASHES, startCallers } from '../callers.js';
import {
  playSchedule,
  SHRINKING_PLAY,
  SMALL_PLAY,
  TROUBLED_SHRINKING_PLAY,
  type PlayOptions,
} from '../random-play.js';
import { createWorld, type World } from '../world.js';

type Play = Omit<PlayOptions, 'seed'>;

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];

const UNGUARDED_PLAY: Play = { ...SMALL_PLAY, size: SHRINKING_PLAY.size };

async function expectNoViolation(t: ExecutionContext, play: Play, seed: number): Promise<void> {
  const { violations, errors, completed } = await playSchedule({ ...play, seed });
  t.deepEqual(violations, []);
  t.deepEqual(errors, []);
  t.true(completed > 0);
}

const HOST_ID = 'host-0';
const SHRUNK_SHARE = 0.25;
const SHRUNK_MILLISECONDS = 10_000;
const LEAD_MILLISECONDS = 6_000;
const SHRINKS_AT = LEAD_MILLISECONDS + 2_000;
const GROWS_AT = SHRINKS_AT + SHRUNK_MILLISECONDS;
const FILLED_MILLISECONDS = 3_000;
const REST_MILLISECONDS = 30_000;

/** Jobs of four tasks with a core each on the only host: most of its 16 cores, and over three times what it shrinks to. */
function startTraffic(world: World): void {
  startCallers(world, {
    jobsPerSecond: () => 4,
    isDue: () => true,
    drawJob: (_random, jobId) => ({
      jobId,
      specification: `work of ${jobId}`,
      steps: [{ ...PLAIN_STEP, taskCount: 4 }],
      repetition: null,
    }),
    drawLastingJob,
    lastingJobsPerQueue: 0,
    cancelShare: 0,
    failingShare: 0,
    crashes: NO_CRASHES,
    askMilliseconds: 1_500,
    countMilliseconds: null,
    until: GROWS_AT + FILLED_MILLISECONDS,
  });
}

/** Plays until some time after the only worker has grown to its former capacity again. */
async function playOneWorker(): Promise<World> {
  const world = createWorld(1, {
    services: 1,
    hostsPerService: 1,
    standbyHosts: 0,
    nodes: 1,
    workersGuardCapacity: false,
  });
  await world.time.runUntil(LEAD_MILLISECONDS);
  startTraffic(world);
  await world.time.runUntil(SHRINKS_AT);
  world.fleet.shrink(HOST_ID, SHRUNK_SHARE, SHRUNK_MILLISECONDS);
  await world.time.runUntil(GROWS_AT + FILLED_MILLISECONDS);
  return world;
}

describe('the scheduler on workers that do not guard their capacity', ({ describe: within, it }) => {
  within('starts nothing beyond their capacity', ({ itSerially: plays }) => {
    SEEDS.forEach((seed) => {
      plays(`among troubles that leave it as it is, with seed ${seed}`, (t) =>
        expectNoViolation(t, UNGUARDED_PLAY, seed),
      );
    });

    SEEDS.forEach((seed) => {
      plays(`after it has shrunk, with seed ${seed}`, (t) => expectNoViolation(t, SHRINKING_PLAY, seed));
    });

    SEEDS.forEach((seed) => {
      plays(`after it has shrunk among all other troubles, with seed ${seed}`, (t) =>
        expectNoViolation(t, TROUBLED_SHRINKING_PLAY, seed),
      );
    });

    plays('after it has shrunk, and nothing else in the register has changed', async (t) => {
      const { referee } = await playOneWorker();
      t.deepEqual(referee.violations, []);
    });
  });

  it('fills one again once its capacity has grown, and every job is done', async (t) => {
    const { fleet, time, referee } = await playOneWorker();
    const [worker] = fleet.workers();
    const shrunkCores = (SHRUNK_SHARE * (worker?.capacity().milliCores ?? 0)) / 1_000;
    t.true((worker?.runs().length ?? 0) > shrunkCores);
    await time.runUntil(time.now() + REST_MILLISECONDS);
    const { accepted, completed } = referee.counts();
    t.true(accepted > 0);
    t.is(completed, accepted);
  });
});
