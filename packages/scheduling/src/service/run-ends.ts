/** Applies the ends of runs to their tasks, steps and jobs. */
import type { RunEnd, TaskKey } from '../model/job.js';
import type { ServiceStep } from '../state/effect.js';
import { recordFailedRun, recordSuccessfulRun } from './health.js';
import { learnFromEnd } from './interference.js';
import { failJob } from './job-failures.js';
import { finishOccurrence, markReadySteps } from './jobs.js';
import { orderStop } from './runs.js';
import { runLogFields } from '../state/run-log-fields.js';
import type { JobState, Run, ServiceState, TaskState } from '../state/service-state.js';
import { avoidWorker, findTask, markJobStarted, removeRun, withStep } from '../state/tasks.js';
import { setJob } from '../state/job-index.js';
import { stepRequestOf } from '../model/step-needs.js';
import { updateJob, updateRun, updateService, updateStep, updateTask } from '../state/update.js';

function keepCheckpoint(task: TaskState, checkpoint: string): TaskState {
  return checkpoint === '' ? task : updateTask(task, { checkpoint });
}

/** Marks the steps as ready that waited for a step which is done now. */
function updateStepProgress(job: JobState, key: TaskKey, state: ServiceState): JobState {
  const occurrence = job.occurrences.get(key.occurrence);
  const step = occurrence?.steps[key.step];
  if (occurrence === undefined || (step !== undefined && step.doneCount < step.tasks.length)) return job;
  const ready = markReadySteps(job.request, occurrence, state.now);
  return updateJob(job, { occurrences: job.occurrences.set(key.occurrence, ready) });
}

function* stopOtherCopies(state: ServiceState, key: TaskKey): ServiceStep<ServiceState> {
  let next = state;
  for (const run of findTask(state, key)?.runs ?? []) {
    next = yield* orderStop(next, key, run, 'another copy is done');
  }
  return next;
}

function* completeTask(state: ServiceState, key: TaskKey): ServiceStep<ServiceState> {
  const stopped = yield* stopOtherCopies(state, key);
  const job = stopped.jobs.get(key.jobId);
  if (job === undefined) return stopped;
  const refreshed = setJob(stopped, updateStepProgress(job, key, stopped));
  return yield* finishOccurrence(refreshed, key.jobId, key.occurrence);
}

function markGangDone(job: JobState, key: TaskKey): JobState {
  return withStep(job, key, (step) =>
    updateStep(step, {
      tasks: step.tasks.map((task) => updateTask(task, { isDone: true })),
      waitingCount: 0,
      doneCount: step.tasks.length,
    }),
  );
}

function* handleTaskDone(state: ServiceState, key: TaskKey, run: Run): ServiceStep<ServiceState> {
  const recorded = recordSuccessfulRun(state, run.workerId);
  const removed = removeRun(recorded, key, run, (task) => updateTask(task, { isDone: true }));
  const job = removed.jobs.get(key.jobId);
  if (job === undefined) return removed;
  const { isGang } = stepRequestOf(job.request, key.step);
  if (!isGang) return yield* completeTask(removed, key);
  // The other members are expected to end by themselves. Those that do not are stopped as obsolete runs.
  const obsoleteRunJobIds = removed.obsoleteRunJobIds.add(key.jobId);
  return yield* completeTask(
    setJob(updateService(removed, { obsoleteRunJobIds }), markGangDone(job, key)),
    key,
  );
}

/** Handles the end of a lasting task that ended as done: it runs until its job is cancelled, so that it waits again. */
function handleLastingTaskDone(
  state: ServiceState,
  key: TaskKey,
  run: Run,
  checkpoint: string,
): ServiceState {
  const recorded = recordSuccessfulRun(state, run.workerId);
  return removeRun(recorded, key, run, (task) => keepCheckpoint(task, checkpoint));
}

function isLasting(state: ServiceState, key: TaskKey): boolean {
  return state.jobs.get(key.jobId)?.request.steps[key.step]?.isLasting === true;
}

function* handleTaskFailed(
  state: ServiceState,
  key: TaskKey,
  run: Run,
  checkpoint: string,
): ServiceStep<ServiceState> {
  const recorded = recordFailedRun(state, key, run.workerId);
  const removed = removeRun(recorded, key, run, (task) =>
    updateTask(avoidWorker(keepCheckpoint(task, checkpoint), run.workerId), {
      failedRuns: task.failedRuns + 1,
    }),
  );
  const job = removed.jobs.get(key.jobId);
  const task = findTask(removed, key);
  if (job === undefined || task === null || task.isDone) return removed;
  const request = stepRequestOf(job.request, key.step);
  const failedRuns = failedRunsOf(job, key, request.isGang);
  const limit = job.request.maximumFailedRuns;
  if (request.isLasting || failedRuns < limit) return removed;
  return yield* failJob(removed, {
    kind: 'runs-failed',
    key,
    failedRuns,
    limit,
    lastWorkerId: run.workerId,
  });
}

function failedRunsOf(job: JobState, key: TaskKey, isGang: boolean): number {
  const tasks = job.occurrences.get(key.occurrence)?.steps[key.step]?.tasks ?? [];
  if (!isGang) return tasks[key.index]?.failedRuns ?? 0;
  return tasks.reduce((sum, task) => sum + task.failedRuns, 0);
}

/** Returns the run without evidence of a crash if its end shows that the worker did not crash under it. */
function withoutDisprovedCrash(run: Run, end: RunEnd): Run {
  return run.crash !== null && (end === 'done' || end === 'failed') ? updateRun(run, { crash: null }) : run;
}

/** Applies the end of a run. */
export function* handleRunEnd(
  state: ServiceState,
  key: TaskKey,
  ended: Run,
  end: RunEnd,
  checkpoint: string,
): ServiceStep<ServiceState> {
  const run = withoutDisprovedCrash(ended, end);
  yield { kind: 'log', decision: 'taskEnded', fields: { ...runLogFields(key, run), end } };
  const started = markJobStarted(state, key.jobId);
  if (findTask(started, key)?.isDone === true) return yield* handleLateEnd(removeRun(started, key, run), key);
  if (end === 'done' && isLasting(started, key)) return handleLastingTaskDone(started, key, run, checkpoint);
  if (end === 'done') return yield* handleTaskDone(yield* learnFromEnd(started, key, run), key, run);
  if (end === 'failed') return yield* handleTaskFailed(started, key, run, checkpoint);
  return removeRun(started, key, run, (task) => keepCheckpoint(task, checkpoint));
}

/** Handles the end of a copy of a task that is already done. It may have been the last run of its occurrence. */
function* handleLateEnd(state: ServiceState, key: TaskKey): ServiceStep<ServiceState> {
  return yield* finishOccurrence(state, key.jobId, key.occurrence);
}
