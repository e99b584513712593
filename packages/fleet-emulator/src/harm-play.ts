/** Plays serving tasks beside filling tasks that disturb them, with or without troubles. */
import { PLAIN_STEP, type StepRequest } from '@baobabdeck/scheduling';
import type { SubmittedJob } from '@baobabdeck/scheduler';
import type { RandomSource } from '@baobabdeck/emulator';
import { NO_CRASHES, startCallers } from './callers.js';
import { resultOf, type PlayResult } from './play-result.js';
import type { Disturbance } from './tail-meter.js';
import { beginTrouble, type TroubleKind } from './troubles.js';
import { createWorld } from './world.js';

/** What to play. */
export interface HarmPlayOptions {
  readonly seed: number;
  /** Kinds of trouble; none for a calm play. */
  readonly kinds: readonly TroubleKind[];
  /** Workers acknowledge pace orders and carry none out. */
  readonly ignoresPaces: boolean;
}

const TARGET_MILLISECONDS = 100;
const QUIET_TAIL_MILLISECONDS = 40;

/** What one filling task adds to a tail, by image. */
const HARMS: Readonly<Record<string, number>> = { loud: 90, middling: 30, calm: 1 };
const IMAGES = Object.keys(HARMS);

const DISTURBANCE: Disturbance = {
  quietTail: () => QUIET_TAIL_MILLISECONDS,
  harm: (_serving, { image }) => HARMS[image ?? ''] ?? 0,
};

const SERVING_STEP: StepRequest = {
  ...PLAIN_STEP,
  taskCount: 4,
  isLasting: true,
  image: 'shop',
  tailTargetMilliseconds: TARGET_MILLISECONDS,
  maximumAbsent: 1,
};

function drawFillingJob(random: RandomSource, jobId: string): SubmittedJob {
  const step: StepRequest = {
    ...PLAIN_STEP,
    taskCount: 1 + random.below(3),
    estimatedMilliseconds: 4_000 + random.below(8_000),
    usesSpareCapacity: true,
    image: random.pick(IMAGES),
  };
  return { jobId, specification: `filling of ${jobId}`, steps: [step], repetition: null };
}

const LEAD_MILLISECONDS = 6_000;
const BUSY_MILLISECONDS = 40_000;
const TROUBLE_EVERY_MILLISECONDS = 4_000;

/** Plays a small service. */
export async function playHarm({ seed, kinds, ignoresPaces }: HarmPlayOptions): Promise<PlayResult> {
  const size = { services: 1, hostsPerService: 3, standbyHosts: 1, nodes: 2 };
  const world = createWorld(seed, { ...size, disturbance: DISTURBANCE, workersIgnorePaces: ignoresPaces });
  const { time, random } = world;
  const until = LEAD_MILLISECONDS + BUSY_MILLISECONDS;
  await time.runUntil(LEAD_MILLISECONDS);
  startCallers(world, {
    jobsPerSecond: () => 0.8,
    isDue: () => true,
    drawJob: drawFillingJob,
    drawLastingJob: (_random, jobId) => ({
      jobId,
      specification: `service of ${jobId}`,
      steps: [SERVING_STEP],
      repetition: null,
    }),
    lastingJobsPerQueue: 1,
    cancelShare: 0,
    failingShare: 0,
    crashes: NO_CRASHES,
    askMilliseconds: 1_500,
    countMilliseconds: null,
    until,
  });
  const next = (): void => {
    if (time.now() > until) return;
    const kind = random.pick(kinds);
    world.log.push(`${time.now().toFixed(0)} trouble ${kind}`);
    beginTrouble(world, kind);
    world.lastTroubleAt = time.now();
    time.after(random.exponential(TROUBLE_EVERY_MILLISECONDS), next);
  };
  if (kinds.length > 0) time.after(random.exponential(TROUBLE_EVERY_MILLISECONDS), next);
  await time.runUntil(until);
  return resultOf(world);
}
