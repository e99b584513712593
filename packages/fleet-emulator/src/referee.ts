/** Checks the rules after every event, by what callers, workers and hosts saw and by nothing else. */
import { taskIdOf, type JobStatus, type TaskKey } from '@baobabdeck/scheduling';
import { occurrencesOf, stepOfTask, type JobPlans } from './job-plans.js';
import type { HostObserver, ModelHost } from './model-fleet.js';
import type { ModelWorker } from './model-worker.js';
import type { ObservedEnd, ObservedStart, WorkerObserver } from './observer.js';
import type { VirtualTime } from './virtual-time.js';

/** The rules, by name; docs/INVARIANTS.md tells what each means. */
export type RuleName =
  | 'runs-once'
  | 'steps-in-order'
  | 'attempts-within-limit'
  | 'gangs-together'
  | 'only-what-was-asked'
  | 'refused-never-runs'
  | 'spread-kept'
  | 'absent-within-limit'
  | 'wave-within-limit'
  | 'one-holder-a-host'
  | 'status-is-true'
  | 'accepted-is-known'
  | 'work-goes-on'
  | 'wave-truly-completed';

/** A broken rule. */
export interface Violation {
  readonly rule: RuleName;
  readonly at: number;
  readonly detail: string;
}

interface SeenRun {
  readonly start: ObservedStart;
  readonly at: number;
  end: ObservedEnd['end'] | null;
  endedAt: number | null;
  isAcknowledged: boolean;
  wasAwayByOrder: boolean;
}

interface SeenJob {
  isAccepted: boolean;
  wasRefused: boolean;
  hasUnknownAnswer: boolean;
  acceptedAt: number;
  /** When its cancelling was sent, and when that was acknowledged. */
  cancelSentAt: number | null;
  cancelledAt: number | null;
  shown: JobStatus | null;
}

/** The referee. */
export interface Referee extends WorkerObserver, HostObserver {
  readonly onSubmitAnswered: (jobId: string, answer: 'accepted' | 'refused' | 'unknown') => void;
  readonly onCancelSent: (jobId: string) => void;
  readonly onCancelAcknowledged: (jobId: string) => void;
  readonly onStatusShown: (jobId: string, status: JobStatus | null) => void;
  readonly onWaveCompleted: (wave: number) => void;
  /** A wave is asked for; its hosts may be down for it up to a limit. */
  readonly onWaveAsked: (wave: number, hostIds: readonly string[], maximumDown: number) => void;
  /** Checks at the end of a calm stretch that nothing was left undone. */
  readonly checkRest: () => Promise<void>;
  readonly violations: readonly Violation[];
  readonly counts: () => { readonly runs: number; readonly completed: number; readonly accepted: number };
}

/** What the referee knows beforehand. */
export interface RefereeParts {
  readonly time: VirtualTime;
  readonly plans: JobPlans;
  readonly hosts: () => ReadonlyMap<string, ModelHost>;
  /** When a trouble last began or ended. */
  readonly lastTroubleAt: () => number;
}

/** Time after an acknowledged cancelling within which a run may still start. */
const CANCEL_MILLISECONDS = 3_000;

/** Time between the orders of two holders on one host. */
const HOLDER_LEASE_MILLISECONDS = 3_000;

/** Time after the acceptance of a job from which on it must be known everywhere. */
const VISIBLE_MILLISECONDS = 3_000;

/** Time without trouble after which nothing excuses a gang that waits in vain. */
const CALM_MILLISECONDS = 10_000;

/** Time in which work that has ended by itself starts again. */
const RESTART_MILLISECONDS = 2_000;

/** Creates a referee that has seen nothing. */
export function createReferee({ time, plans, hosts, lastTroubleAt }: RefereeParts): Referee {
  const violations: Violation[] = [];
  const runs = new Map<string, SeenRun[]>();
  const jobs = new Map<string, SeenJob>();
  const holders = new Map<string, { readonly holder: string; readonly token: number; readonly at: number }>();
  const waves = new Map<number, { readonly hostIds: readonly string[]; readonly maximumDown: number }>();
  let completed = 0;

  const report = (rule: RuleName, detail: string): void => {
    violations.push({ rule, at: Math.round(time.now()), detail });
  };

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

  const checkOnce = (key: TaskKey, started: ObservedStart): void => {
    const step = stepOfTask(plans, key);
    if (step?.allowsCopies === true) return;
    const others = runsOf(key);
    if (others.some(isOn)) report('runs-once', `${taskIdOf(key)} runs twice at the same time`);
    if (others.some((run) => run.end === 'done' && run.isAcknowledged)) {
      report('runs-once', `${taskIdOf(key)} run ${started.run} starts after it was done`);
    }
  };

  const checkOrder = (key: TaskKey): void => {
    const step = stepOfTask(plans, key);
    const missing = step?.after.filter((earlier) => !isStepDone(key, earlier)) ?? [];
    if (missing.length > 0) {
      report('steps-in-order', `${taskIdOf(key)} starts before step ${missing[0]} is done`);
    }
  };

  const checkAttempts = (key: TaskKey): void => {
    const plan = plans.get(key.jobId);
    const step = stepOfTask(plans, key);
    if (plan === undefined || step === null || step.isLasting) return;
    const failed = runsOf(key).filter((run) => run.end === 'failed' && run.isAcknowledged).length;
    if (failed >= plan.maximumFailedRuns) {
      report('attempts-within-limit', `${taskIdOf(key)} starts after ${failed} failed runs`);
    }
  };

  const checkAsked = (started: ObservedStart): void => {
    const { task } = started;
    const plan = plans.get(task.jobId);
    if (plan === undefined || stepOfTask(plans, task) === null) {
      report('only-what-was-asked', `${taskIdOf(task)} was never handed in`);
      return;
    }
    if (plan.job.specification !== started.specification) {
      report('only-what-was-asked', `${taskIdOf(task)} starts with another specification`);
    }
    const isOwn = runsOf(task).some((run) => run.end !== null) || started.checkpoint === '';
    if (!isOwn) report('only-what-was-asked', `${taskIdOf(task)} starts with a checkpoint of no run`);
    const { cancelledAt, wasRefused, isAccepted, hasUnknownAnswer } = jobOf(task.jobId);
    if (!started.isLate && cancelledAt !== null && time.now() > cancelledAt + CANCEL_MILLISECONDS) {
      report('only-what-was-asked', `${taskIdOf(task)} starts after its job was cancelled`);
    }
    if (wasRefused && !isAccepted && !hasUnknownAnswer) {
      report('refused-never-runs', `${taskIdOf(task)} starts, and its job was refused`);
    }
  };

  const checkSpread = (started: ObservedStart): void => {
    const step = stepOfTask(plans, started.task);
    if (step === null || step.maximumPerWorker === null) return;
    const { jobId, occurrence, step: index } = started.task;
    const beside = started.worker
      .runs()
      .filter(
        (run) => run.task.jobId === jobId && run.task.occurrence === occurrence && run.task.step === index,
      );
    if (beside.length > step.maximumPerWorker) {
      report('spread-kept', `${taskIdOf(started.task)} is one too many on its worker`);
    }
  };

  const onStart = (started: ObservedStart): void => {
    checkAsked(started);
    checkOnce(started.task, started);
    checkOrder(started.task);
    checkAttempts(started.task);
    checkSpread(started);
    runsOf(started.task).push({
      start: started,
      at: time.now(),
      end: null,
      endedAt: null,
      isAcknowledged: false,
      wasAwayByOrder: false,
    });
  };

  const isAtWork = (run: SeenRun): boolean => {
    const FULL_PERCENT = 100;
    const onWorker = run.start.worker
      .runs()
      .find((one) => taskIdOf(one.task) === taskIdOf(run.start.task) && one.run === run.start.run);
    return isOn(run) && onWorker !== undefined && run.start.worker.percentOf(onWorker) === FULL_PERCENT;
  };

  /** A task that is at work is about to be ended by an order. */
  const checkAbsent = (worker: ModelWorker, key: TaskKey): void => {
    const step = stepOfTask(plans, key);
    if (step?.isLasting !== true || step.maximumAbsent === null || worker.mood.isDraining) return;
    if (jobOf(key.jobId).cancelSentAt !== null) return;
    const run = runsOf(key).findLast((one) => one.start.worker === worker && one.end === null);
    if (run === undefined || !isAtWork(run)) return;
    const away = tasksOfStep(key, key.step).filter(
      (other) =>
        other.index !== key.index &&
        runsOf(other).at(-1)?.wasAwayByOrder === true &&
        !runsOf(other).some(isAtWork),
    );
    if (away.length >= step.maximumAbsent) {
      report('absent-within-limit', `${taskIdOf(key)} is ended while ${away.length} others are away`);
    }
    run.wasAwayByOrder = true;
  };

  const onEnd = (ended: ObservedEnd): void => {
    const seen = runsOf(ended.task).find(
      (run) => run.start.worker === ended.worker && run.start.run === ended.run,
    );
    if (seen === undefined) return;
    seen.end = ended.isSilent ? 'lapsed' : ended.end;
    seen.endedAt = time.now();
    const isCalm = time.now() - lastTroubleAt() > CALM_MILLISECONDS;
    if (ended.end === 'alone' && isCalm && jobOf(ended.task.jobId).cancelSentAt === null) {
      report('gangs-together', `${taskIdOf(ended.task)} waited for its gang in vain`);
    }
  };

  const onForgotten = (worker: ModelWorker, task: TaskKey, run: number, wasLapsedSince: boolean): void => {
    const seen = runsOf(task).find((one) => one.start.worker === worker && one.start.run === run);
    if (seen === undefined || wasLapsedSince) return;
    seen.isAcknowledged = true;
    const index = runsOf(task).indexOf(seen);
    const later = runsOf(task).slice(index + 1);
    if (seen.end === 'done' && later.length > 0 && stepOfTask(plans, task)?.allowsCopies !== true) {
      report('runs-once', `${taskIdOf(task)} started again after run ${run} was done`);
    }
  };

  const checkHostTaken: HostObserver['onHostTaken'] = (host, _holder, _token, wave) => {
    host.worker?.runs().forEach((run) => {
      if (host.worker !== null) checkAbsent(host.worker, run.task);
    });
    const asked = wave === null ? undefined : waves.get(wave);
    if (wave === null || asked === undefined) return;
    const down = asked.hostIds.filter((hostId) => {
      const one = hosts().get(hostId);
      return one?.state === 'upkeep' && one.downFor === wave;
    });
    if (down.length >= asked.maximumDown) {
      report('wave-within-limit', `${host.hostId} goes down while ${down.length} others of wave ${wave} are`);
    }
  };

  const checkHolder: HostObserver['onHostOrdered'] = (host, holder, token) => {
    const last = holders.get(host.hostId);
    if (last !== undefined && last.holder !== holder) {
      if (last.token === token) {
        report('one-holder-a-host', `${host.hostId}: two holders with token ${token}`);
      }
      if (time.now() - last.at < HOLDER_LEASE_MILLISECONDS) {
        report('one-holder-a-host', `${host.hostId}: ${last.holder} and ${holder} take turns`);
      }
    }
    holders.set(host.hostId, { holder, token, at: time.now() });
  };

  const allTasks = (jobId: string): readonly TaskKey[] => {
    const plan = plans.get(jobId);
    if (plan === undefined) return [];
    return Array.from({ length: occurrencesOf(plan.job) }, (_, occurrence) =>
      plan.job.steps.flatMap((_step, step) => tasksOfStep({ jobId, occurrence, step: 0, index: 0 }, step)),
    ).flat();
  };

  const isTrulyDone = (jobId: string): boolean => {
    const plan = plans.get(jobId);
    if (plan === undefined) return false;
    return allTasks(jobId).every((key) =>
      plan.job.steps[key.step]?.isGang === true ? isStepDone(key, key.step) : hasDone(key),
    );
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

  const onStatusShown: Referee['onStatusShown'] = (jobId, status) => {
    const job = jobOf(jobId);
    if (status === null) {
      const isVisible = job.isAccepted && time.now() > job.acceptedAt + VISIBLE_MILLISECONDS;
      if (isVisible) report('accepted-is-known', `${jobId} was accepted and is not known`);
      return;
    }
    if (!job.isAccepted && !job.hasUnknownAnswer) {
      report('status-is-true', `${jobId} is shown and was not accepted`);
    }
    if (status === 'completed' && job.shown !== 'completed') completed += 1;
    job.shown = status;
    if (status === 'completed' && !isTrulyDone(jobId)) {
      report('status-is-true', `${jobId} is shown as completed and is not`);
    }
    if (status === 'failed' && !hasFailedOften(jobId)) {
      report('status-is-true', `${jobId} is shown as failed without cause`);
    }
    if (status === 'cancelled' && job.cancelSentAt === null) {
      report('status-is-true', `${jobId} is shown as cancelled and was not`);
    }
  };

  /** What should go on and does not, by job. */
  const findIdle = (): ReadonlyMap<string, string> => {
    const idle = new Map<string, string>();
    for (const [jobId, job] of jobs) {
      const isOver = job.shown === 'completed' || job.shown === 'failed' || job.shown === 'cancelled';
      if (!job.isAccepted || isOver || job.cancelSentAt !== null) continue;
      const tasks = allTasks(jobId);
      const lasting = tasks.filter((key) => stepOfTask(plans, key)?.isLasting === true);
      const lastingOff = lasting.filter((key) => !runsOf(key).some(isOn));
      if (!tasks.some((key) => runsOf(key).some(isOn))) idle.set(jobId, 'nothing of it runs');
      else if (lastingOff.length > 0) idle.set(jobId, `${lastingOff.length} lasting tasks do not run`);
    }
    return idle;
  };

  const checkCancelled = (): void => {
    for (const [jobId, job] of jobs) {
      const runsOn = allTasks(jobId).some((key) => runsOf(key).some(isOn));
      if (job.cancelledAt !== null && runsOn) {
        report('only-what-was-asked', `${jobId} runs on and was cancelled`);
      }
    }
  };

  /** Work that has just ended is given time to start again. */
  const checkRest = async (): Promise<void> => {
    checkCancelled();
    const first = findIdle();
    await time.runUntil(time.now() + RESTART_MILLISECONDS);
    const second = findIdle();
    first.forEach((detail, jobId) => {
      if (second.has(jobId)) {
        report('work-goes-on', `${jobId} is ${jobOf(jobId).shown ?? 'unknown'}: ${detail}`);
      }
    });
  };

  return {
    onStart,
    onStop: checkAbsent,
    onEnd,
    onForgotten,
    onHostTaken: checkHostTaken,
    onHostOrdered: checkHolder,
    onSubmitAnswered: (jobId, answer) => {
      const job = jobOf(jobId);
      if (answer === 'accepted') {
        job.isAccepted = true;
        job.acceptedAt = time.now();
      } else if (answer === 'refused') job.wasRefused = true;
      else job.hasUnknownAnswer = true;
    },
    onCancelSent: (jobId) => {
      jobOf(jobId).cancelSentAt ??= time.now();
    },
    onCancelAcknowledged: (jobId) => {
      jobOf(jobId).cancelledAt = time.now();
    },
    onStatusShown,
    onWaveAsked: (wave, hostIds, maximumDown) => {
      waves.set(wave, { hostIds, maximumDown });
    },
    onWaveCompleted: (wave) => {
      const left = waves
        .get(wave)
        ?.hostIds.filter((hostId) => hosts().get(hostId)?.begunWaves.has(wave) === false);
      if (left !== undefined && left.length > 0) {
        report('wave-truly-completed', `wave ${wave} is told completed and ${left[0]} has not begun`);
      }
    },
    checkRest,
    violations,
    counts: () => ({
      runs: [...runs.values()].reduce((sum, seen) => sum + seen.length, 0),
      completed,
      accepted: [...jobs.values()].filter((job) => job.isAccepted).length,
    }),
  };
}
