/** Callers: they hand jobs in, ask for them and cancel some, as patient as real ones. */
import { PLAIN_STEP, type StepRequest } from '@baobabdeck/scheduling';
import type { CallerService, Queue, SubmittedJob } from '@baobabdeck/scheduler';
import type { RandomSource } from '@baobabdeck/emulator';
import type { World } from './world.js';

/** Time for which a caller waits for an answer. */
const PATIENCE_MILLISECONDS = 3_000;

/** Time between two tries of a caller. */
const RETRY_MILLISECONDS = 500;
const MOST_TRIES = 4;

/** Time between two questions on a job. */
const ASK_MILLISECONDS = 1_500;

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

function drawJob(random: RandomSource, jobId: string): SubmittedJob {
  const steps = Array.from({ length: 1 + random.below(3) }, (_, index) => drawStep(random, index));
  return { jobId, specification: `work of ${jobId}`, steps, repetition: null };
}

function drawLastingJob(random: RandomSource, jobId: string): SubmittedJob {
  const step: StepRequest = {
    ...PLAIN_STEP,
    taskCount: 2 + random.below(3),
    maximumPerWorker: random.chance(0.5) ? 2 : null,
    isLasting: true,
    maximumAbsent: 1,
  };
  return { jobId, specification: `service of ${jobId}`, steps: [step], repetition: null };
}

/** Registers the truth about a job. */
function plan(world: World, job: SubmittedJob, queue: Queue): void {
  const { random } = world;
  const drawn = new Map<string, { readonly runMilliseconds: number; readonly failingRuns: number }>();
  world.plans.set(job.jobId, {
    job,
    service: queue.service,
    maximumFailedRuns: queue.maximumFailedRuns,
    taskPlan: ({ occurrence, step, index }) => {
      const id = `${occurrence}/${step}/${index}`;
      const known = drawn.get(id);
      if (known !== undefined) return known;
      const estimate = job.steps[step]?.estimatedMilliseconds ?? 0;
      const isStraggler = random.chance(0.03);
      const truth = {
        runMilliseconds: estimate * (0.5 + random.uniform()) * (isStraggler ? 7 : 1),
        failingRuns: random.chance(0.02) ? 1 + random.below(3) : 0,
      };
      drawn.set(id, truth);
      return truth;
    },
  });
}

function pickCallers(world: World): CallerService | null {
  const running = world.nodes.flatMap((node) => node.running()?.callers ?? []);
  return running.length === 0 ? null : world.random.pick(running);
}

/** Hands one job in, again and again until it is answered for good or the caller gives up. */
function handIn(world: World, job: SubmittedJob, queue: Queue, tries: number, onAccepted: () => void): void {
  const again = (): void => {
    if (tries < MOST_TRIES) {
      world.time.after(RETRY_MILLISECONDS, () => handIn(world, job, queue, tries + 1, onAccepted));
    }
  };
  const callers = pickCallers(world);
  const found = callers?.findQueue(queue.hostName, queue.pathPrefix + job.jobId);
  if (callers === null || found?.kind !== 'found') {
    again();
    return;
  }
  // A process that dies with the request leaves the caller without an answer.
  world.referee.onSubmitAnswered(job.jobId, 'unknown');
  void callers.submit(found.queue, job, PATIENCE_MILLISECONDS).then((answer) => {
    world.referee.onSubmitAnswered(job.jobId, answer.kind);
    if (answer.kind === 'accepted') onAccepted();
    else again();
  });
}

/** Asks for a job now and then until it is over. */
function follow(world: World, jobId: string, queue: Queue): void {
  const callers = pickCallers(world);
  const again = (): void => world.time.after(ASK_MILLISECONDS, () => follow(world, jobId, queue));
  if (callers === null) {
    again();
    return;
  }
  let isAnswered = false;
  void callers.askStatus(queue, jobId, PATIENCE_MILLISECONDS).then((answer) => {
    isAnswered = true;
    if (answer.kind !== 'unavailable') {
      world.referee.onStatusShown(jobId, answer.kind === 'known' ? answer.status : null);
    }
    const isOver = answer.kind === 'known' && answer.status !== 'queued' && answer.status !== 'running';
    if (!isOver) again();
  });
  // A process that dies with the question never answers it.
  world.time.after(2 * PATIENCE_MILLISECONDS, () => {
    if (!isAnswered) again();
  });
}

function cancel(world: World, jobId: string, queue: Queue): void {
  const callers = pickCallers(world);
  world.referee.onCancelSent(jobId);
  if (callers === null) {
    world.time.after(RETRY_MILLISECONDS, () => cancel(world, jobId, queue));
    return;
  }
  let isAnswered = false;
  void callers.cancel(queue, jobId, PATIENCE_MILLISECONDS).then((answer) => {
    isAnswered = true;
    if (answer.kind === 'unavailable') {
      world.time.after(RETRY_MILLISECONDS, () => cancel(world, jobId, queue));
    } else world.referee.onCancelAcknowledged(jobId);
  });
  world.time.after(2 * PATIENCE_MILLISECONDS, () => {
    if (!isAnswered) cancel(world, jobId, queue);
  });
}

/** How callers behave. */
export interface CallerHabits {
  /** Jobs a second of each queue. */
  readonly jobsPerSecond: number;
  readonly lastingJobsPerQueue: number;
  readonly cancelShare: number;
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
    plan(world, job, queue);
    handIn(world, job, queue, 0, () => {
      follow(world, job.jobId, queue);
      if (random.chance(habits.cancelShare)) {
        time.after(random.exponential(2_000), () => cancel(world, job.jobId, queue));
      }
    });
  };

  operator.configuration.queues.forEach((queue) => {
    for (let index = 0; index < habits.lastingJobsPerQueue; index += 1) {
      begin(drawLastingJob(random, nextId()), queue);
    }
    const next = (): void => {
      if (time.now() > habits.until) return;
      begin(drawJob(random, nextId()), queue);
      time.after(random.exponential(MILLISECONDS_PER_SECOND / habits.jobsPerSecond), next);
    };
    time.after(random.exponential(MILLISECONDS_PER_SECOND / habits.jobsPerSecond), next);
  });
}
