/** Rules on the starts and ends of tasks. */
import { taskIdOf, type TaskKey } from '@baobabdeck/scheduling';
import { stepOfTask } from './job-plans.js';
import type { ModelWorker } from './model-worker-types.js';
import type { ObservedEnd, ObservedStart, WorkerObserver } from './observer.js';
import type { RefereeParts } from './referee-types.js';
import type { SeenRun, Sightings } from './sightings.js';

/** Time after an acknowledged cancelling within which a run may still start. */
const CANCEL_MILLISECONDS = 3_000;

/** Time without trouble after which nothing excuses a gang that waits in vain. */
const CALM_MILLISECONDS = 10_000;

/** Workers that a task crashes before its further starts are counted, and at how many of these the rule is broken. */
const CRASHES_BEFORE_LIMIT = 3;
const STARTS_TOO_MANY = 3;

/** Creates the rules. */
export function createTaskRules(
  { time, plans, lastTroubleAt }: RefereeParts,
  sightings: Sightings,
): Omit<WorkerObserver, 'onCapacityChange' | 'onTail'> {
  const { report, jobOf, runsOf, isOn, tasksOfStep, isStepDone } = sightings;

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

  /** Reported once for each task. */
  const checkCrashes = (key: TaskKey): void => {
    const runs = runsOf(key);
    const lastCrashAt = runs.filter((run) => run.hasCrashedWorker)[CRASHES_BEFORE_LIMIT - 1]?.endedAt ?? null;
    if (lastCrashAt === null) return;
    const starts = runs.filter((run) => run.at > lastCrashAt).length + 1;
    if (starts === STARTS_TOO_MANY) {
      report(
        'crashing-task-starts-limited',
        `${taskIdOf(key)} starts ${starts} times after it has crashed ${CRASHES_BEFORE_LIMIT} workers`,
      );
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
    checkCrashes(started.task);
    checkSpread(started);
    runsOf(started.task).push({
      start: started,
      at: time.now(),
      end: null,
      endedAt: null,
      isAcknowledged: false,
      wasAwayByOrder: false,
      isLostWithWorker: false,
      hasCrashedWorker: false,
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

  const findRun = (worker: ModelWorker, task: TaskKey, run: number): SeenRun | undefined =>
    runsOf(task).find((one) => one.start.worker === worker && one.start.run === run);

  const onCrash = (worker: ModelWorker, task: TaskKey, run: number): void => {
    const seen = findRun(worker, task, run);
    if (seen !== undefined) seen.hasCrashedWorker = true;
  };

  const onEnd = (ended: ObservedEnd): void => {
    const seen = findRun(ended.worker, ended.task, ended.run);
    if (seen === undefined) return;
    seen.isLostWithWorker = ended.isSilent;
    seen.end = ended.isSilent ? 'lapsed' : ended.end;
    seen.endedAt = time.now();
    const isCalm = time.now() - lastTroubleAt() > CALM_MILLISECONDS;
    if (ended.end === 'alone' && isCalm && jobOf(ended.task.jobId).cancelSentAt === null) {
      report('gangs-together', `${taskIdOf(ended.task)} waited for its gang in vain`);
    }
  };

  const onForgotten = (worker: ModelWorker, task: TaskKey, run: number, wasLapsedSince: boolean): void => {
    const seen = findRun(worker, task, run);
    if (seen === undefined || wasLapsedSince) return;
    seen.isAcknowledged = true;
    const index = runsOf(task).indexOf(seen);
    const later = runsOf(task).slice(index + 1);
    if (seen.end === 'done' && later.length > 0 && stepOfTask(plans, task)?.allowsCopies !== true) {
      report('runs-once', `${taskIdOf(task)} started again after run ${run} was done`);
    }
  };

  return { onStart, onStop: checkAbsent, onCrash, onEnd, onForgotten };
}
