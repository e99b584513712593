/** What callers, workers and hosts showed, and the rules that were broken by it. */
import { taskIdOf, type JobStatus, type TaskKey } from '@baobabdeck/scheduling';
import { occurrencesOf, type JobPlans } from './job-plans.js';
import type { ObservedEnd, ObservedStart } from './observer.js';
import type { VirtualTime } from './virtual-time.js';

/** The rules, by name. */
export type RuleName =
  | 'runs-once'
  | 'steps-in-order'
  | 'attempts-within-limit'
  | 'crashing-task-starts-limited'
  | 'gangs-together'
  | 'only-what-was-asked'
  | 'refused-never-runs'
  | 'spread-kept'
  | 'capacity-kept'
  | 'workspace-within-cap'
  | 'absent-within-limit'
  | 'wave-within-limit'
  | 'one-holder-a-host'
  | 'status-is-true'
  | 'pending-count-is-true'
  | 'accepted-is-known'
  | 'work-goes-on'
  | 'nothing-waits-beside-room'
  | 'enough-is-served'
  | 'harm-within-limit'
  | 'wave-truly-completed';

/** A broken rule. */
export interface Violation {
  readonly rule: RuleName;
  readonly at: number;
  readonly detail: string;
}

/** A run as a worker showed it. */
export interface SeenRun {
  readonly start: ObservedStart;
  readonly at: number;
  end: ObservedEnd['end'] | null;
  endedAt: number | null;
  isAcknowledged: boolean;
  wasAwayByOrder: boolean;
  /** The life of its worker ended with it. */
  isLostWithWorker: boolean;
  /** It crashed its worker. */
  hasCrashedWorker: boolean;
}

/** A job as its callers saw it. */
export interface SeenJob {
  isAccepted: boolean;
  wasRefused: boolean;
  hasUnknownAnswer: boolean;
  acceptedAt: number;
  /** When its cancelling was sent, and when that was acknowledged. */
  cancelSentAt: number | null;
  cancelledAt: number | null;
  shown: JobStatus | null;
}

/** What has been seen so far. */
export interface Sightings {
  readonly violations: readonly Violation[];
  readonly report: (rule: RuleName, detail: string) => void;
  readonly jobs: ReadonlyMap<string, SeenJob>;
  readonly jobOf: (jobId: string) => SeenJob;
  /** Runs of a task, oldest first; a run that is seen is added to them. */
  readonly runsOf: (key: TaskKey) => SeenRun[];
  readonly countRuns: () => number;
  readonly countLostRuns: () => number;
  /** Runs of each task that has crashed a worker. */
  readonly countStartsOfCrashingTasks: () => readonly number[];
  readonly isOn: (run: SeenRun) => boolean;
  readonly hasDone: (key: TaskKey) => boolean;
  readonly tasksOfStep: (key: TaskKey, step: number) => readonly TaskKey[];
  readonly isStepDone: (key: TaskKey, step: number) => boolean;
  /** Whether a task is done; all tasks of a gang are done with one of them. */
  readonly isTaskDone: (key: TaskKey) => boolean;
  /** Whether one of its tasks has failed as often as one may. */
  readonly hasFailedOften: (jobId: string) => boolean;
  /** Whether one of its tasks has crashed so many workers that it may be given up. */
  readonly mayBeGivenUp: (jobId: string) => boolean;
  readonly allTasks: (jobId: string) => readonly TaskKey[];
}

/** Workers that a task must have crashed before it may be given up. */
const CRASHES_TO_GIVE_UP = 2;

/** Creates sightings of nothing. */
export function createSightings(time: VirtualTime, plans: JobPlans): Sightings {
  const violations: Violation[] = [];
  const runs = new Map<string, SeenRun[]>();
  const jobs = new Map<string, SeenJob>();

  const jobOf = (jobId: string): SeenJob => {
    const known = jobs.get(jobId);
    if (known !== undefined) return known;
    const job: SeenJob = {
      isAccepted: false,
      wasRefused: false,
      hasUnknownAnswer: false,
      acceptedAt: 0,
      cancelSentAt: null,
      cancelledAt: null,
      shown: null,
    };
    jobs.set(jobId, job);
    return job;
  };

  const runsOf = (key: TaskKey): SeenRun[] => {
    const id = taskIdOf(key);
    const known = runs.get(id);
    if (known !== undefined) return known;
    const seen: SeenRun[] = [];
    runs.set(id, seen);
    return seen;
  };

  const isOn = (run: SeenRun): boolean => run.end === null && run.start.worker.isUp();

  const hasDone = (key: TaskKey): boolean => runsOf(key).some((run) => run.end === 'done');

  const tasksOfStep = (key: TaskKey, step: number): readonly TaskKey[] => {
    const count = plans.get(key.jobId)?.job.steps[step]?.taskCount ?? 0;
    return Array.from({ length: count }, (_, index) => ({ ...key, step, index }));
  };

  const isStepDone = (key: TaskKey, step: number): boolean => {
    const tasks = tasksOfStep(key, step);
    const isGang = plans.get(key.jobId)?.job.steps[step]?.isGang === true;
    return isGang ? tasks.some(hasDone) : tasks.every(hasDone);
  };
  const isTaskDone = (key: TaskKey): boolean =>
    plans.get(key.jobId)?.job.steps[key.step]?.isGang === true ? isStepDone(key, key.step) : hasDone(key);

  const allTasks = (jobId: string): readonly TaskKey[] => {
    const plan = plans.get(jobId);
    if (plan === undefined) return [];
    return Array.from({ length: occurrencesOf(plan.job) }, (_, occurrence) =>
      plan.job.steps.flatMap((_step, step) => tasksOfStep({ jobId, occurrence, step: 0, index: 0 }, step)),
    ).flat();
  };

  const hasFailedOften = (jobId: string): boolean => {
    const plan = plans.get(jobId);
    if (plan === undefined) return false;
    const failedRuns = (key: TaskKey): number => runsOf(key).filter((run) => run.end === 'failed').length;
    return allTasks(jobId).some((key) => {
      const isGang = plan.job.steps[key.step]?.isGang === true;
      const failed = isGang
        ? tasksOfStep(key, key.step).reduce((sum, member) => sum + failedRuns(member), 0)
        : failedRuns(key);
      return failed >= plan.maximumFailedRuns;
    });
  };

  const mayBeGivenUp = (jobId: string): boolean =>
    allTasks(jobId).some(
      (key) => runsOf(key).filter((run) => run.hasCrashedWorker).length >= CRASHES_TO_GIVE_UP,
    );

  return {
    violations,
    report: (rule, detail) => {
      violations.push({ rule, at: Math.round(time.now()), detail });
    },
    jobs,
    jobOf,
    runsOf,
    countRuns: () => [...runs.values()].reduce((sum, seen) => sum + seen.length, 0),
    countLostRuns: () => [...runs.values()].flat().filter((run) => run.isLostWithWorker).length,
    countStartsOfCrashingTasks: () =>
      [...runs.values()]
        .filter((seen) => seen.some((run) => run.hasCrashedWorker))
        .map((seen) => seen.length),
    isOn,
    hasDone,
    tasksOfStep,
    isStepDone,
    isTaskDone,
    hasFailedOften,
    mayBeGivenUp,
    allTasks,
  };
}
