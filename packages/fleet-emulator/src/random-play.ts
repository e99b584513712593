/** Plays a random schedule of traffic and troubles from a seed, and tells which rules broke. */
import type { Queue, SubmittedJob } from '@baobabdeck/scheduler';
import type { RandomSource } from '@baobabdeck/emulator';
import {
  drawLastingJob,
  drawMixedJob,
  drawMixedOrWideJob,
  NO_CRASHES,
  startCallers,
  type CrashHabits,
} from './callers.js';
import { TIGHT_LIMITS } from './played-limits.js';
import { resultOf, type PlayResult } from './play-result.js';
import {
  beginTrouble,
  CAPACITY_TROUBLE_KINDS,
  LOW_CAP_TROUBLE_KINDS,
  QUEUE_TROUBLE_KINDS,
  RELAY_TROUBLE_KINDS,
  TROUBLE_KINDS,
  type TroubleKind,
} from './troubles.js';
import {
  allowNoOversizedStarts,
  grantWholeCaps,
  LOW_CAP_WORKSPACES,
  PLAYED_WORKSPACES,
} from './workspace-play.js';
import { createWorld, type WorldSize } from './world.js';

/** What to play. */
export interface PlayOptions {
  readonly seed: number;
  readonly size: WorldSize;
  /** Time with traffic and troubles. */
  readonly busyMilliseconds: number;
  /** Mean time between two troubles. */
  readonly troubleEveryMilliseconds: number;
  /** Kinds of trouble; none for a calm play. */
  readonly kinds: readonly TroubleKind[];
  readonly drawJob: (random: RandomSource, jobId: string, queue: Queue) => SubmittedJob;
  readonly crashes: CrashHabits;
  /** Milliseconds between two requests for the number of pending jobs of a queue; null for no such requests. */
  readonly countMilliseconds: number | null;
  /** Time after the rest in which no job may stand still for long beside capacity; none where left out. */
  readonly watchedMilliseconds?: number;
}

/** A small system with every kind of trouble. */
export const SMALL_PLAY: Omit<PlayOptions, 'seed'> = {
  size: { services: 2, hostsPerService: 5, standbyHosts: 2, nodes: 3 },
  busyMilliseconds: 25_000,
  troubleEveryMilliseconds: 2_500,
  kinds: TROUBLE_KINDS,
  drawJob: drawMixedJob,
  crashes: NO_CRASHES,
  countMilliseconds: null,
};

/** Share of the tasks that crash their workers in plays of such tasks, and the share of these that do so late. */
const CRASHING_SHARE = 0.02;
const LATE_CRASH_SHARE = 0.25;

/** The same with tasks that crash the workers that start them, in steps that are neither gangs nor last. */
export const CRASHING_PLAY: Omit<PlayOptions, 'seed'> = {
  ...SMALL_PLAY,
  crashes: {
    shareOf: (_job, { isGang, isLasting }) => (isGang || isLasting ? 0 : CRASHING_SHARE),
    lateShare: LATE_CRASH_SHARE,
  },
};

/** Limits so small that most lists and records reach them, and entries of another writer, among all troubles. */
export const TIGHT_LIMITS_PLAY: Omit<PlayOptions, 'seed'> = {
  ...SMALL_PLAY,
  size: { ...SMALL_PLAY.size, limits: TIGHT_LIMITS, hasForeignEntries: true },
  drawJob: drawMixedOrWideJob,
};

/** Such tasks and no other trouble. */
export const CALM_CRASHING_PLAY: Omit<PlayOptions, 'seed'> = { ...CRASHING_PLAY, kinds: [] };

/** Sound tasks on hosts that crash often by themselves, some with their whole rack. */
export const CRASHING_HOSTS_PLAY: Omit<PlayOptions, 'seed'> = {
  ...SMALL_PLAY,
  troubleEveryMilliseconds: 500,
  kinds: ['crash-worker', 'crash-rack', 'reborn-worker'],
};

/** Small hosts, which the traffic fills, with workers that start whatever they are told to start. */
const UNGUARDED_SIZE: WorldSize = {
  ...SMALL_PLAY.size,
  hostCapacity: { milliCores: 6_000, memoryMegabytes: 24_576, accelerators: 0 },
  workersGuardCapacity: false,
};

/** Workers that do not guard their capacity, which shrinks and grows while they run. */
export const SHRINKING_PLAY: Omit<PlayOptions, 'seed'> = {
  ...SMALL_PLAY,
  size: UNGUARDED_SIZE,
  troubleEveryMilliseconds: 400,
  kinds: CAPACITY_TROUBLE_KINDS,
};

/** The same among all other troubles; every second trouble changes the capacity of a worker. */
export const TROUBLED_SHRINKING_PLAY: Omit<PlayOptions, 'seed'> = {
  ...SHRINKING_PLAY,
  troubleEveryMilliseconds: 1_250,
  kinds: TROUBLE_KINDS.flatMap((kind) => [kind, ...CAPACITY_TROUBLE_KINDS]),
};

/** Workspaces whose caps bind and change, among all troubles. */
export const WORKSPACE_PLAY: Omit<PlayOptions, 'seed'> = {
  ...SMALL_PLAY,
  size: { ...SMALL_PLAY.size, services: 3, nodes: 4, workspaces: PLAYED_WORKSPACES },
  kinds: TROUBLE_KINDS.flatMap((kind, index) => (index % 2 === 0 ? [kind, 'caps-changed'] : [kind])),
};

/** The same where every service gets the whole cap, which the assertion on caps must notice. */
export const WHOLE_CAPS_PLAY: Omit<PlayOptions, 'seed'> = {
  ...WORKSPACE_PLAY,
  size: { ...WORKSPACE_PLAY.size, alterPeerRequest: grantWholeCaps },
  kinds: [],
};

/** Workspaces whose caps are lowered below the tasks that wait and run, in series, among all troubles. */
export const LOW_CAPS_PLAY: Omit<PlayOptions, 'seed'> = {
  ...WORKSPACE_PLAY,
  size: { ...WORKSPACE_PLAY.size, workspaces: LOW_CAP_WORKSPACES },
  troubleEveryMilliseconds: 1_500,
  kinds: TROUBLE_KINDS.flatMap((kind) => [kind, ...LOW_CAP_TROUBLE_KINDS]),
  watchedMilliseconds: 15_000,
};

/** The same without other troubles. */
export const CALM_LOW_CAPS_PLAY: Omit<PlayOptions, 'seed'> = {
  ...LOW_CAPS_PLAY,
  troubleEveryMilliseconds: 6_000,
  kinds: LOW_CAP_TROUBLE_KINDS,
};

/** The same where no start that exceeds a cap is allowed, which the rule on work that stands still must notice. */
export const NO_OVERSIZED_STARTS_PLAY: Omit<PlayOptions, 'seed'> = {
  ...CALM_LOW_CAPS_PLAY,
  size: { ...LOW_CAPS_PLAY.size, alterPeerRequest: allowNoOversizedStarts },
};

/** The small system with callers who ask how many jobs wait. */
export const COUNTING_PLAY: Omit<PlayOptions, 'seed'> = { ...SMALL_PLAY, countMilliseconds: 400 };

const STRONG_COUNT = 3;
const STRONG_MILLI_CORES = 1_350;
const WEAK_MILLI_CORES = 324;

/** The same where queues get other services and other names, among all other troubles. */
export const MOVED_QUEUES_PLAY: Omit<PlayOptions, 'seed'> = {
  ...SMALL_PLAY,
  size: { ...SMALL_PLAY.size, services: 3, nodes: 4 },
  troubleEveryMilliseconds: 1_250,
  kinds: TROUBLE_KINDS.flatMap((kind) => [kind, ...QUEUE_TROUBLE_KINDS]),
};

/** The same with processes of unequal strength. */
export const UNEVEN_PLAY: Omit<PlayOptions, 'seed'> = {
  ...SMALL_PLAY,
  size: {
    ...SMALL_PLAY.size,
    nodes: 6,
    milliCoresOf: (node) => (node < STRONG_COUNT ? STRONG_MILLI_CORES : WEAK_MILLI_CORES),
  },
};

/** Orders that always go through other processes, which crash, freeze and are cut off. */
export const RELAYED_PLAY: Omit<PlayOptions, 'seed'> = {
  ...SMALL_PLAY,
  size: { ...SMALL_PLAY.size, nodes: 6, relays: 'always' },
  troubleEveryMilliseconds: 1_250,
  kinds: RELAY_TROUBLE_KINDS,
};

/** The same among all other troubles. */
export const TROUBLED_RELAYED_PLAY: Omit<PlayOptions, 'seed'> = {
  ...RELAYED_PLAY,
  kinds: [...TROUBLE_KINDS, ...RELAY_TROUBLE_KINDS],
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
    drawJob: options.drawJob,
    drawLastingJob,
    lastingJobsPerQueue: 1,
    cancelShare: 0.1,
    failingShare: 0.02,
    crashes: options.crashes,
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
  if (options.kinds.length > 0) time.after(random.exponential(options.troubleEveryMilliseconds), next);
  await time.runUntil(until + REST_MILLISECONDS);
  if (options.watchedMilliseconds !== undefined) await referee.watchRest(options.watchedMilliseconds);
  await referee.checkRest();
  return resultOf(world);
}
