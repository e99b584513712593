/** Rules on what callers are told of their jobs, and on work that must go on. */
import type { TaskKey } from '@baobabdeck/scheduling';
import { stepOfTask } from './job-plans.js';
import type { Referee, RefereeParts } from './referee-types.js';
import type { Sightings } from './sightings.js';
import type { WorkspaceRules } from './workspace-rules.js';

/** Time after the acceptance of a job from which on it must be known everywhere. */
const VISIBLE_MILLISECONDS = 3_000;

/** Age that a count of pending jobs may have when a caller receives it. */
const COUNT_AGE_MILLISECONDS = 2_000;

/** Share of the pending jobs that a count must include; jobs start and end while it is on its way. */
const COUNTED_SHARE = 0.5;

/** Time in which work that has ended by itself starts again. */
const RESTART_MILLISECONDS = 2_000;

/** Time between two looks for idle work. */
const LOOK_MILLISECONDS = 500;

/** What the rules hear, and when they are asked. */
export interface JobRules extends Pick<Referee, 'onStatusShown' | 'onPendingCounted' | 'checkRest'> {
  /** Jobs that were shown as completed. */
  readonly countCompleted: () => number;
}

/** Creates the rules. */
export function createJobRules(
  { time, plans, workspaces }: RefereeParts,
  sightings: Sightings,
  mayWait: WorkspaceRules['mayWait'],
): JobRules {
  const { report, jobs, jobOf, runsOf, isOn, isStepDone, isTaskDone, allTasks } = sightings;
  const { hasFailedOften, mayBeGivenUp } = sightings;
  let completed = 0;

  const isTrulyDone = (jobId: string): boolean => {
    const plan = plans.get(jobId);
    if (plan === undefined) return false;
    return allTasks(jobId).every(isTaskDone);
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
    if (status === 'failed' && !hasFailedOften(jobId) && !mayBeGivenUp(jobId)) {
      report('status-is-true', `${jobId} is shown as failed without cause`);
    }
    if (status === 'cancelled' && job.cancelSentAt === null) {
      report('status-is-true', `${jobId} is shown as cancelled and was not`);
    }
  };

  const hasStarted = (jobId: string): boolean => allTasks(jobId).some((key) => runsOf(key).length > 0);

  const onPendingCounted: Referee['onPendingCounted'] = (service, count, askedAt) => {
    const acceptedBefore = askedAt - VISIBLE_MILLISECONDS - COUNT_AGE_MILLISECONDS;
    const pending = [...jobs].filter(
      ([jobId, job]) =>
        plans.get(jobId)?.service === service &&
        plans.get(jobId)?.job.repetition === null &&
        job.isAccepted &&
        job.acceptedAt < acceptedBefore &&
        job.cancelSentAt === null &&
        !hasStarted(jobId),
    );
    if (count < pending.length * COUNTED_SHARE) {
      const ids = pending.map(([jobId]) => jobId).join(' ');
      report('pending-count-is-true', `${count} jobs were counted as pending, ${pending.length} are: ${ids}`);
    }
  };

  /** Whether a task is not done, its turn has come, and the cap of its workspace allows it no waiting. */
  const shouldRun = (key: TaskKey): boolean => {
    const after = stepOfTask(plans, key)?.after ?? [];
    return !isTaskDone(key) && after.every((step) => isStepDone(key, step)) && !mayWait(key);
  };

  /** What should go on and does not, by job. */
  const findIdle = (): ReadonlyMap<string, string> => {
    const idle = new Map<string, string>();
    for (const [jobId, job] of jobs) {
      const isOver = job.shown === 'completed' || job.shown === 'failed' || job.shown === 'cancelled';
      if (!job.isAccepted || isOver || job.cancelSentAt !== null || mayBeGivenUp(jobId)) continue;
      const tasks = allTasks(jobId);
      const lasting = tasks.filter((key) => stepOfTask(plans, key)?.isLasting === true);
      const lastingOff = lasting.filter((key) => !runsOf(key).some(isOn) && !mayWait(key));
      // A cap withholds a job if it lets a task of it wait and no other task of it could run.
      const isWithheld = tasks.some(mayWait) && !tasks.some(shouldRun);
      if (!isWithheld && !tasks.some((key) => runsOf(key).some(isOn))) idle.set(jobId, 'nothing of it runs');
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

  /** Idle work after the time to start again; where caps make tasks take turns, only what was idle all the while. */
  const findIdleAfterRestart = async (): Promise<ReadonlySet<string>> => {
    const until = time.now() + RESTART_MILLISECONDS;
    const looks: ReadonlyMap<string, string>[] = [];
    while (time.now() < until) {
      await time.runUntil(Math.min(until, time.now() + LOOK_MILLISECONDS));
      looks.push(findIdle());
    }
    const last = new Set(looks.at(-1)?.keys());
    if (workspaces?.hasLowCaps !== true) return last;
    return new Set([...last].filter((jobId) => looks.every((look) => look.has(jobId))));
  };

  /** Work that has just ended is given time to start again. */
  const checkRest = async (): Promise<void> => {
    checkCancelled();
    const first = findIdle();
    const second = await findIdleAfterRestart();
    first.forEach((detail, jobId) => {
      if (second.has(jobId)) {
        report('work-goes-on', `${jobId} is ${jobOf(jobId).shown ?? 'unknown'}: ${detail}`);
      }
    });
  };

  return { onStatusShown, onPendingCounted, checkRest, countCompleted: () => completed };
}
