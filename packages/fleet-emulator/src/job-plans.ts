/** What the tasks of the emulated jobs really do, which their callers only estimate. */
import type { JobRequest, Resources, StepRequest, TaskKey } from '@baobabdeck/scheduling';
import type { SubmittedJob } from '@baobabdeck/scheduler';

/** The truth about one task. */
export interface TaskPlan {
  readonly runMilliseconds: number;
  /** Runs that fail by the task's own fault before one succeeds. */
  readonly failingRuns: number;
}

/** The truth about one job. */
export interface JobPlan {
  readonly job: SubmittedJob;
  readonly service: string;
  readonly maximumFailedRuns: number;
  /** When it is first handed in, and in how many milliseconds from then its caller wants its result. */
  readonly handedInAt: number;
  readonly objectiveMilliseconds: number;
  readonly taskPlan: (key: TaskKey) => TaskPlan;
  /** Milliseconds from a start of a task until it crashes the worker; null for a task that crashes none. */
  readonly crashDelayMilliseconds: (key: TaskKey) => number | null;
}

/** The jobs that callers have handed in, or tried to. */
export type JobPlans = Map<string, JobPlan>;

/** The step of a task, or null for one that nobody asked for. */
export function stepOfTask(plans: JobPlans, key: TaskKey): StepRequest | null {
  return plans.get(key.jobId)?.job.steps[key.step] ?? null;
}

/** What tasks that run on one worker take of its capacity together. */
export function sumOfNeeds(plans: JobPlans, keys: readonly TaskKey[]): Resources {
  const sum = { milliCores: 0, memoryMegabytes: 0, accelerators: 0 };
  keys.forEach((key) => {
    const step = stepOfTask(plans, key);
    if (step === null) return;
    sum.milliCores += step.usesSpareCapacity ? 0 : step.needs.milliCores;
    sum.memoryMegabytes += step.needs.memoryMegabytes;
    sum.accelerators += step.needs.accelerators;
  });
  return sum;
}

/** How often the steps of a job run. */
export function occurrencesOf({ repetition }: Pick<JobRequest, 'repetition'>): number {
  return repetition?.times ?? 1;
}
