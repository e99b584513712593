/** Plays a fleet of some hundred hosts on which each queue in turn asks for more than its pool holds. */
import { PLAIN_STEP, type StepRequest } from '@baobabdeck/scheduling';
import type { Queue, SubmittedJob } from '@baobabdeck/scheduler';
import type { RandomSource } from '@baobabdeck/emulator';
import { drawLastingJob, NO_CRASHES, startCallers } from './callers.js';
import type { ProcessorCosts } from './processor.js';
import { resultOf, type PlayResult } from './play-result.js';
import { countedWork } from './work-counter.js';
import { createWorld, type WorldSize } from './world.js';

/** What to play. */
export interface GrownPlayOptions {
  readonly seed: number;
  readonly size: WorldSize;
  /** How many queues have their turn. */
  readonly turns: number;
}

/** Thousandths of a core of most machines; every fourth is four times as fast. */
const SLOW_MILLI_CORES = 324;
const FAST_MILLI_CORES = 1_296;
const MACHINES_PER_FAST_ONE = 4;

/** What a call costs a core by way of an HTTP client, and what a core does of counted work. */
export const USUAL_COSTS: ProcessorCosts = { callMilliseconds: 0.4, unitsPerMillisecond: 30_000 };

/** Four services with their hosts and 32 processes on machines with a bounded processor. */
export const GROWN_SIZE: WorldSize = {
  services: 4,
  hostsPerService: 52,
  standbyHosts: 40,
  nodes: 32,
  milliCoresOf: (node) =>
    node % MACHINES_PER_FAST_ONE === MACHINES_PER_FAST_ONE - 1 ? FAST_MILLI_CORES : SLOW_MILLI_CORES,
  costs: USUAL_COSTS,
};

/** Time before the first traffic. */
const LEAD_MILLISECONDS = 10_000;

/** Time for which one queue asks for more than its mean. */
const TURN_MILLISECONDS = 4_000;

/** What a queue asks in its turn and between its turns, as shares of its mean. */
const SHARE_IN_TURN = 5;
const SHARE_BETWEEN = 0.05;

/** Time after the traffic in which what was handed in must have come to an end. */
const REST_MILLISECONDS = 14_000;

/** Share of the jobs that must be served. */
const SERVED_FLOOR = 0.5;

/** Milliseconds between two questions on a job. */
const ASK_MILLISECONDS = 6_000;

/** Work of one kind of queue. */
interface JobKind {
  readonly jobsPerSecond: number;
  readonly meanSteps: number;
  readonly estimatedMilliseconds: number;
  readonly milliCores: number;
  readonly memoryMegabytes: number;
}

/** Much short work, and less work that is longer and larger; the queues have them by turns. */
const SHORT: JobKind = {
  jobsPerSecond: 15,
  meanSteps: 1.6,
  estimatedMilliseconds: 850,
  milliCores: 1_500,
  memoryMegabytes: 3_200,
};
const LONG: JobKind = {
  jobsPerSecond: 4,
  meanSteps: 2,
  estimatedMilliseconds: 1_400,
  milliCores: 3_300,
  memoryMegabytes: 6_400,
};

const TASKS_PER_STEP = 8;

function numberOf(queue: Queue): number {
  return Number(queue.name.slice(queue.name.lastIndexOf('-') + 1));
}

function kindOf(queue: Queue): JobKind {
  return numberOf(queue) % 2 === 0 ? SHORT : LONG;
}

/** Between half of a value and one and a half. */
function around(random: RandomSource, value: number): number {
  const LEAST = 0.5;
  return Math.round(value * (LEAST + random.uniform()));
}

function drawJob(random: RandomSource, jobId: string, queue: Queue): SubmittedJob {
  const kind = kindOf(queue);
  const least = Math.floor(kind.meanSteps);
  const count = least + Number(random.chance(kind.meanSteps - least));
  const steps = Array.from({ length: count }, (_, index): StepRequest => ({
    ...PLAIN_STEP,
    taskCount: around(random, TASKS_PER_STEP),
    needs: {
      milliCores: around(random, kind.milliCores),
      memoryMegabytes: around(random, kind.memoryMegabytes),
      accelerators: 0,
    },
    estimatedMilliseconds: kind.estimatedMilliseconds,
    after: index === 0 ? [] : [index - 1],
  }));
  return { jobId, specification: `work of ${jobId}`, steps, repetition: null };
}

/** Plays the turns and the rest after them. */
export async function playTurns({ seed, size, turns }: GrownPlayOptions): Promise<PlayResult> {
  const world = createWorld(seed, size);
  const { time, referee } = world;
  await time.runUntil(LEAD_MILLISECONDS);
  if (size.costs !== undefined && countedWork() === 0) {
    throw new Error('Expected count-from-now-on to be imported before the processes, found nothing counted');
  }
  const isInTurn = (queue: Queue, now: number): boolean =>
    Math.floor((now - LEAD_MILLISECONDS) / TURN_MILLISECONDS) % size.services === numberOf(queue);
  startCallers(world, {
    jobsPerSecond: (queue) => SHARE_IN_TURN * kindOf(queue).jobsPerSecond,
    isDue: (random, queue, now) => isInTurn(queue, now) || random.chance(SHARE_BETWEEN / SHARE_IN_TURN),
    drawJob,
    drawLastingJob,
    lastingJobsPerQueue: 2,
    cancelShare: 0,
    failingShare: 0.002,
    crashes: NO_CRASHES,
    askMilliseconds: ASK_MILLISECONDS,
    countMilliseconds: null,
    until: LEAD_MILLISECONDS + turns * TURN_MILLISECONDS,
  });
  await time.runUntil(LEAD_MILLISECONDS + turns * TURN_MILLISECONDS);
  await referee.watchRest(REST_MILLISECONDS);
  referee.checkServed(SERVED_FLOOR);
  return resultOf(world);
}
