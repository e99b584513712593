import type { ExecutionContext } from 'ava';
import type { RandomSource } from '@baobabdeck/emulator';
import type { SubmittedJob } from '@baobabdeck/scheduler';
import { describe } from '@baobabdeck/test-tools';
import { drawMixedJob, type CrashHabits } from '../callers.js';
import type { PlayResult } from '../play-result.js';
import {
  CALM_CRASHING_PLAY,
  CRASHING_HOSTS_PLAY,
  CRASHING_PLAY,
  playSchedule,
  type PlayOptions,
} from '../random-play.js';

type Play = Omit<PlayOptions, 'seed'>;

const SEEDS = [1, 2, 3, 4, 5, 6];
const DIRECTED_SEEDS = [1, 2, 3];

/** Shares of the tasks that crash their workers in plays about one kind of task: some in each play. */
const GANG_SHARE = 0.08;
const LASTING_SHARE = 0.4;
const REPEATED_SHARE = 0.005;
const COPIED_SHARE = 0.02;

function crashingSteps(shareOf: CrashHabits['shareOf']): Play {
  return { ...CALM_CRASHING_PLAY, crashes: { shareOf, lateShare: 0 } };
}

function drawRepeatingJob(random: RandomSource, jobId: string): SubmittedJob {
  const repetition = { times: 4, firstDueAt: new Date('2026-01-01T00:00:10Z'), intervalMilliseconds: 4_000 };
  return { ...drawMixedJob(random, jobId), repetition };
}

function drawCopiedJob(random: RandomSource, jobId: string): SubmittedJob {
  const job = drawMixedJob(random, jobId);
  return { ...job, steps: job.steps.map((step) => ({ ...step, allowsCopies: !step.isGang })) };
}

function logCounts(t: ExecutionContext, play: PlayResult): void {
  const { runs, lostRuns, startsOfCrashingTasks: starts, violations } = play;
  const rules = [...new Set(violations.map(({ rule }) => rule))];
  const broken = rules.map((rule) => `${rule} ${violations.filter((one) => one.rule === rule).length}`);
  t.log(`${lostRuns} of ${runs} runs lost with their worker; starts of crashing tasks: ${starts.join(', ')}`);
  if (broken.length > 0) t.log(`broken: ${broken.join(', ')}`);
}

/** Plays with tasks that crash their workers, and expects every rule to be kept. */
async function playCrashingTasks(t: ExecutionContext, play: Play, seed: number): Promise<void> {
  const result = await playSchedule({ ...play, seed });
  logCounts(t, result);
  t.true(result.startsOfCrashingTasks.length > 0);
  t.deepEqual(result.violations, []);
  t.deepEqual(result.errors, []);
}

describe('the scheduler', ({ describe: within }) => {
  within('gives up a task that crashes its workers before it has crashed them again and again', (group) => {
    group.describe('without other troubles', ({ itSerially: plays }) => {
      SEEDS.forEach((seed) => {
        plays(`with seed ${seed}`, (t) => playCrashingTasks(t, CALM_CRASHING_PLAY, seed));
      });
    });

    group.describe('among all other troubles', ({ itSerially: plays }) => {
      SEEDS.forEach((seed) => {
        plays(`with seed ${seed}`, (t) => playCrashingTasks(t, CRASHING_PLAY, seed));
      });
    });

    group.describe('among hosts that crash often by themselves', ({ itSerially: plays }) => {
      const play: Play = { ...CRASHING_HOSTS_PLAY, crashes: CRASHING_PLAY.crashes };
      SEEDS.forEach((seed) => {
        plays(`with seed ${seed}`, (t) => playCrashingTasks(t, play, seed));
      });
    });

    const kinds: readonly (readonly [name: string, play: Play])[] = [
      ['a member of a gang', crashingSteps((_job, { isGang }) => (isGang ? GANG_SHARE : 0))],
      ['a lasting task', crashingSteps((_job, { isLasting }) => (isLasting ? LASTING_SHARE : 0))],
      [
        'a task of a repeating job',
        {
          ...crashingSteps(({ repetition }) => (repetition === null ? 0 : REPEATED_SHARE)),
          drawJob: drawRepeatingJob,
        },
      ],
      [
        'a task of which several runs may overlap',
        {
          ...crashingSteps((_job, { allowsCopies }) => (allowsCopies ? COPIED_SHARE : 0)),
          drawJob: drawCopiedJob,
        },
      ],
    ];
    kinds.forEach(([name, play]) =>
      group.describe(`if it is ${name}`, ({ itSerially: plays }) => {
        DIRECTED_SEEDS.forEach((seed) => {
          plays(`with seed ${seed}`, (t) => playCrashingTasks(t, play, seed));
        });
      }),
    );
  });

  within('gives up no sound task because hosts and racks crash under it', ({ itSerially: plays }) => {
    SEEDS.forEach((seed) => {
      plays(`with seed ${seed}`, async (t) => {
        const result = await playSchedule({ ...CRASHING_HOSTS_PLAY, seed });
        logCounts(t, result);
        t.true(result.lostRuns > 0);
        t.deepEqual(result.violations, []);
        t.deepEqual(result.errors, []);
      });
    });
  });
});
