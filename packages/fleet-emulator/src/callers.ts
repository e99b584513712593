/** Callers: they hand jobs in, ask for them and cancel some, as patient as real ones. */
import { PLAIN_STEP, taskIdOf, type StepRequest, type TaskKey } from '@baobabdeck/scheduling';
import type { Queue, SubmittedJob } from '@baobabdeck/scheduler';
import type { RandomSource } from '@baobabdeck/emulator';
import type { VirtualNode } from './virtual-node.js';
import type { World } from './world.js';

/** Time for which a caller waits for an answer. */
const PATIENCE_MILLISECONDS = 3_000;

/** Time between two tries of a caller. */
const RETRY_MILLISECONDS = 500;
const MOST_TRIES = 4;

/** Time from a start until the task has crashed the worker: of most such tasks, and the longest. */
const CRASH_MILLISECONDS = 10;
const LATEST_CRASH_MILLISECONDS = 1_000;

/** Which tasks crash the workers that start them. */
export interface CrashHabits {
  /** Share of the tasks of a step that do; 0 for none. */
  readonly shareOf: (job: SubmittedJob, step: StepRequest) => number;
  /** Share of these that do so at a random time instead of at once; members of gangs all do so at once. */
  readonly lateShare: number;
}

/** No task crashes its worker. */
export const NO_CRASHES: CrashHabits = { shareOf: () => 0, lateShare: 0 };

function drawStep(random: RandomSource, index: number): StepRequest {
  const base: StepRequest = {
    ...PLAIN_STEP,
    taskCount: 1 + random.below(6),
    needs: {
      milliCores: 500 + random.below(3_000),
      memoryMegabytes: 512 + random.below(8_000),
      accelerators: 0,
    },
    estimatedMilliseconds: 300 + random.below(1_500),
    after: index === 0 ? [] : [random.below(index)],
    maximumPerWorker: random.chance(0.15) ? 1 + random.below(2) : null,
  };
  if (random.chance(0.2)) return { ...base, isGang: true, taskCount: 2 + random.below(3) };
  return { ...base, savesCheckpoints: random.chance(0.4) };
}

/** A job of one to three steps, of which one may be a gang. */
export function drawMixedJob(random: RandomSource, jobId: string): SubmittedJob {
  const steps = Array.from({ length: 1 + random.below(3) }, (_, index) => drawStep(random, index));
  return { jobId, specification: `work of ${jobId}`, steps, repetition: null };
}

/** Share of the jobs with a wide step, and the most tasks of it. */
const WIDE_SHARE = 0.15;
const WIDE_TASKS = 300;

/** Like a mixed job, but some jobs have a step of many small tasks. */
export function drawMixedOrWideJob(random: RandomSource, jobId: string): SubmittedJob {
  const job = drawMixedJob(random, jobId);
  if (!random.chance(WIDE_SHARE)) return job;
  const wide: StepRequest = {
    ...PLAIN_STEP,
    taskCount: 1 + random.below(WIDE_TASKS),
    needs: { milliCores: 50, memoryMegabytes: 64, accelerators: 0 },
    savesCheckpoints: random.chance(0.5),
    after: [0],
  };
  return { ...job, steps: [...job.steps, wide] };
}

/** A job whose tasks last. */
export function drawLastingJob(random: RandomSource, jobId: string): SubmittedJob {
  const step: StepRequest = {
    ...PLAIN_STEP,
    taskCount: 2 + random.below(3),
    maximumPerWorker: random.chance(0.5) ? 2 : null,
    isLasting: true,
    maximumAbsent: 1,
  };
  return { jobId, specification: `service of ${jobId}`, steps: [step], repetition: null };
}

/** The longest chain of estimated run times. */
function chainMilliseconds(steps: readonly StepRequest[]): number {
  const ends: number[] = [];
  steps.forEach((step) => {
    const startsAfter = Math.max(0, ...step.after.map((earlier) => ends[earlier] ?? 0));
    ends.push(startsAfter + step.estimatedMilliseconds);
  });
  return Math.max(0, ...ends);
}

/** Draws after how many milliseconds a task of a step crashes its worker. Nothing is drawn where no task does. */
function drawCrashDelay(
  random: RandomSource,
  { shareOf, lateShare }: CrashHabits,
  job: SubmittedJob,
  step: StepRequest | undefined,
): number | null {
  const share = step === undefined ? 0 : shareOf(job, step);
  if (share === 0 || !random.chance(share)) return null;
  const isLate = step?.isGang !== true && random.chance(lateShare);
  return isLate ? random.uniform() * LATEST_CRASH_MILLISECONDS : CRASH_MILLISECONDS;
}

/** What is drawn for each task at its first use and stays so. */
function drawOnce<T>(draw: (key: TaskKey) => T): (key: TaskKey) => T {
  const drawn = new Map<string, { readonly value: T }>();
  return (key) => {
    const known = drawn.get(taskIdOf(key)) ?? { value: draw(key) };
    drawn.set(taskIdOf(key), known);
    return known.value;
  };
}

/** Registers the truth about a job. */
function plan(world: World, job: SubmittedJob, queue: Queue, habits: CallerHabits): void {
  const { random } = world;
  world.plans.set(job.jobId, {
    job,
    service: queue.service,
    maximumFailedRuns: queue.maximumFailedRuns,
    handedInAt: world.time.now(),
    objectiveMilliseconds: queue.targetMilliseconds + queue.stretch * chainMilliseconds(job.steps),
    taskPlan: drawOnce(({ step }) => {
      const estimate = job.steps[step]?.estimatedMilliseconds ?? 0;
      const isStraggler = random.chance(0.03);
      return {
        runMilliseconds: estimate * (0.5 + random.uniform()) * (isStraggler ? 7 : 1),
        failingRuns: random.chance(habits.failingShare) ? 1 + random.below(3) : 0,
      };
    }),
    crashDelayMilliseconds: drawOnce(({ step }) =>
      drawCrashDelay(random, habits.crashes, job, job.steps[step]),
    ),
  });
}

function pickNode(world: World): VirtualNode | null {
  const running = world.nodes.filter((node) => node.running() !== null);
  return running.length === 0 ? null : world.random.pick(running);
}

/** Hands one job in, again and again until it is answered for good or the caller gives up. */
function handIn(world: World, job: SubmittedJob, queue: Queue, tries: number, onAccepted: () => void): void {
  const again = (): void => {
    if (tries < MOST_TRIES) {
      world.time.after(RETRY_MILLISECONDS, () => handIn(world, job, queue, tries + 1, onAccepted));
    }
  };
  const node = pickNode(world);
  if (node === null) {
    again();
    return;
  }
  node.receive(({ callers }) => {
    const found = callers.findQueue(queue.hostName, queue.pathPrefix + job.jobId);
    if (found.kind !== 'found') {
      again();
      return;
    }
    // A process that dies with the request leaves the caller without an answer.
    world.referee.onSubmitAnswered(job.jobId, 'unknown');
    void callers.submit(found.queue, job, PATIENCE_MILLISECONDS, null).then((answer) => {
      world.referee.onSubmitAnswered(job.jobId, answer.kind);
      if (answer.kind === 'accepted') onAccepted();
      else if (answer.kind !== 'too-large') again();
    });
  });
}

/** Asks for a job now and then until it is over. */
function follow(world: World, jobId: string, queue: Queue, askMilliseconds: number): void {
  const node = pickNode(world);
  const again = (): void =>
    world.time.after(askMilliseconds, () => follow(world, jobId, queue, askMilliseconds));
  if (node === null) {
    again();
    return;
  }
  let isAnswered = false;
  node.receive(({ callers }) => {
    const found = callers.findQueue(queue.hostName, queue.pathPrefix + jobId);
    if (found.kind !== 'found') {
      isAnswered = true;
      again();
      return;
    }
    void callers.getJobStatus(found.queue, jobId, PATIENCE_MILLISECONDS, null).then((answer) => {
      isAnswered = true;
      if (answer.kind !== 'unavailable') {
        world.referee.onStatusShown(jobId, answer.kind === 'known' ? answer.status : null);
      }
      const isOver = answer.kind === 'known' && answer.status !== 'queued' && answer.status !== 'running';
      if (!isOver) again();
    });
  });
  // A process that dies with the question never answers it.
  world.time.after(2 * PATIENCE_MILLISECONDS, () => {
    if (!isAnswered) again();
  });
}

function cancel(world: World, jobId: string, queue: Queue): void {
  const node = pickNode(world);
  world.referee.onCancelSent(jobId);
  if (node === null) {
    world.time.after(RETRY_MILLISECONDS, () => cancel(world, jobId, queue));
    return;
  }
  let isAnswered = false;
  node.receive(({ callers }) => {
    const found = callers.findQueue(queue.hostName, queue.pathPrefix + jobId);
    if (found.kind !== 'found') {
      isAnswered = true;
      world.time.after(RETRY_MILLISECONDS, () => cancel(world, jobId, queue));
      return;
    }
    void callers.cancel(found.queue, jobId, PATIENCE_MILLISECONDS, null).then((answer) => {
      isAnswered = true;
      if (answer.kind === 'unavailable') {
        world.time.after(RETRY_MILLISECONDS, () => cancel(world, jobId, queue));
      } else world.referee.onCancelAcknowledged(jobId);
    });
  });
  world.time.after(2 * PATIENCE_MILLISECONDS, () => {
    if (!isAnswered) cancel(world, jobId, queue);
  });
}

/** Asks each running process in turn how many jobs of a queue wait to start. */
function countPending(world: World, queue: Queue, intervalMilliseconds: number, until: number): void {
  const { time, nodes, referee } = world;
  if (time.now() > until) return;
  const askedAt = time.now();
  const running = nodes.filter((node) => node.running() !== null);
  const node = running[Math.floor(askedAt / intervalMilliseconds) % Math.max(1, running.length)];
  node?.receive(({ callers }) => {
    void callers.countPending(queue, PATIENCE_MILLISECONDS).then((answer) => {
      if (answer.kind === 'counted') referee.onPendingCounted(queue.service, answer.pending, askedAt);
    });
  });
  time.after(intervalMilliseconds, () => countPending(world, queue, intervalMilliseconds, until));
}

/** How callers behave. */
export interface CallerHabits {
  /** Jobs a second of a queue at the most. */
  readonly jobsPerSecond: (queue: Queue) => number;
  /** Whether a job is handed in now that would be at the highest rate. */
  readonly isDue: (random: RandomSource, queue: Queue, now: number) => boolean;
  readonly drawJob: (random: RandomSource, jobId: string, queue: Queue) => SubmittedJob;
  readonly drawLastingJob: (random: RandomSource, jobId: string) => SubmittedJob;
  /** Milliseconds between two questions on a job. */
  readonly askMilliseconds: number;
  /** Milliseconds between two requests for the number of pending jobs of a queue; null for no such requests. */
  readonly countMilliseconds: number | null;
  readonly lastingJobsPerQueue: number;
  readonly cancelShare: number;
  /** Share of the tasks that fail by their own fault, once to three times. */
  readonly failingShare: number;
  readonly crashes: CrashHabits;
  /** Until when jobs are handed in. */
  readonly until: number;
}

const MILLISECONDS_PER_SECOND = 1_000;

/** Lets callers hand jobs in from now on. */
export function startCallers(world: World, habits: CallerHabits): void {
  const { time, random, operator } = world;
  let count = 0;
  const nextId = (): string => {
    count += 1;
    const HEXADECIMAL = 16;
    return count.toString(HEXADECIMAL).padStart(16, '0');
  };

  const begin = (job: SubmittedJob, queue: Queue): void => {
    plan(world, job, queue, habits);
    handIn(world, job, queue, 0, () => {
      follow(world, job.jobId, queue, habits.askMilliseconds);
      if (random.chance(habits.cancelShare)) {
        time.after(random.exponential(2_000), () => cancel(world, job.jobId, queue));
      }
    });
  };

  operator.configuration.queues.forEach((queue) => {
    if (habits.countMilliseconds !== null) {
      countPending(world, queue, habits.countMilliseconds, habits.until);
    }
    for (let index = 0; index < habits.lastingJobsPerQueue; index += 1) {
      begin(habits.drawLastingJob(random, nextId()), queue);
    }
    const pause = (): number => random.exponential(MILLISECONDS_PER_SECOND / habits.jobsPerSecond(queue));
    const next = (): void => {
      if (time.now() > habits.until) return;
      if (habits.isDue(random, queue, time.now())) {
        begin(habits.drawJob(random, nextId(), queue), queue);
      }
      time.after(pause(), next);
    };
    time.after(pause(), next);
  });
}
