import { describe } from '@baobabdeck/test-tools';
import type { TaskKey } from '../model/job.js';
import { selectJobStatus } from '../service/selectors.js';
import { createCrashingWorkers, type CrashingWorkers } from './crashing-workers.js';
import { QUOTES, createServiceHarness, jobOf } from './service-harness.js';

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10];

const BUSY_ROUNDS = 300;
const LAST_ROUNDS = 900;
const TASKS_PER_JOB = 5;

/** Starts that the rule on attempts allows: three crashes and two more starts. */
const MAXIMUM_STARTS = 5;

type Random = () => number;

/** Returns a generator of random numbers from 0 to 1 (Lehmer's, with the multiplier 48271). */
function createRandom(seed: number): Random {
  const MODULUS = 2 ** 31 - 1;
  let state = (seed * 69_621) % MODULUS;
  return () => {
    state = (state * 48_271) % MODULUS;
    return state / MODULUS;
  };
}

function pick<T>(random: Random, items: readonly T[]): T {
  const item = items[Math.floor(random() * items.length)];
  if (item === undefined) throw new RangeError('Expected a choice, found no items');
  return item;
}

interface Play {
  readonly workers: CrashingWorkers;
  readonly jobIds: readonly string[];
  readonly violations: number;
}

function durationOf({ jobId }: TaskKey): number {
  if (jobId.startsWith('lasting')) return Infinity;
  return jobId.includes('long') ? 5_000 : 600;
}

function playSeed(seed: number): Play {
  const random = createRandom(seed);
  const racks = Array.from({ length: pick(random, [4, 6, 9, 12, 16]) }, (_, index) => index);
  const workersPerRack = pick(random, [1, 2, 4]);
  const workers = createCrashingWorkers(createServiceHarness(), {
    racks: racks.map((index) => `rack-${Math.floor(index / workersPerRack)}`),
    isDeadly: ({ jobId, index }) => jobId.startsWith('deadly') && index === 0,
    durationOf,
    keepsIds: random() < 0.25,
    losesAnswers: random() < 0.25,
  });
  const crashShare = pick(random, [0, 0, 0.005, 0.02]);
  const deadlyShare = pick(random, [0.02, 0.1, 0.3]);
  const ownerShare = pick(random, [0, 0, 0.005]);
  const jobIds: string[] = ['lasting'];
  let violations = 0;
  workers.harness().accept(jobOf('lasting', [{ taskCount: 2, isLasting: true }]));
  for (let round = 0; round < BUSY_ROUNDS; round += 1) {
    if (random() < 0.15) {
      const kind = random() < deadlyShare ? 'deadly' : 'sound';
      const jobId = `${kind}-${random() < 0.2 ? 'long' : 'short'}-${round}`;
      jobIds.push(jobId);
      workers.harness().accept(jobOf(jobId, [{ taskCount: 1 + Math.floor(random() * TASKS_PER_JOB) }]));
    }
    const ids = workers.workerIds();
    if (random() < crashShare && ids.length > 2) workers.crash([pick(random, ids)]);
    workers.play(1);
    if (random() < ownerShare) {
      violations += workers.harness().violations().length;
      workers.changeOwner();
    }
  }
  workers.play(LAST_ROUNDS);
  return { workers, jobIds, violations: violations + workers.harness().violations().length };
}

function countMostCrashes(workers: CrashingWorkers, jobId: string): number {
  const counts = Array.from({ length: TASKS_PER_JOB }, (_, index) =>
    workers.countCrashes(`${jobId}/0/0/${index}`),
  );
  return Math.max(...counts);
}

describe('random plays with tasks that crash their workers', ({ it }) => {
  SEEDS.forEach((seed) => {
    it(`gives up each such task in time and no task without two crashes, seed ${seed}`, (t) => {
      const { workers, jobIds, violations } = playSeed(seed);
      const statusOf = (jobId: string) => selectJobStatus(workers.harness().state(), QUOTES, jobId);
      t.is(violations, 0);
      for (const jobId of jobIds) {
        const isDeadly = jobId.startsWith('deadly');
        if (isDeadly) t.is(statusOf(jobId), 'failed', jobId);
        if (isDeadly) t.true(workers.countStarts(`${jobId}/0/0/0`) <= MAXIMUM_STARTS, jobId);
        const isGivenUp = statusOf(jobId) === 'failed';
        if (isGivenUp) t.true(countMostCrashes(workers, jobId) >= 2, jobId);
        else t.is(statusOf(jobId), jobId === 'lasting' ? 'running' : 'completed', jobId);
      }
    });
  });
});
