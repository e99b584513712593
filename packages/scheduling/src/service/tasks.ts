/** Finds and changes tasks and their runs, and keeps the room of workers in step. */
import type { StepRequest, TaskKey } from '../model/job.js';
import { taskIdOf } from '../model/job.js';
import { addResources, subtractResources } from '../model/resources.js';
import { reservedResourcesOf, stepRequestOf } from '../model/step-needs.js';
import { setJob } from './job-index.js';
import type {
  JobState,
  OccurrenceState,
  Run,
  ServiceState,
  StepState,
  TaskState,
  WorkerState,
} from './state.js';
import { setWorker } from './worker-index.js';
import {
  updateJob,
  updateOccurrence,
  updateRun,
  updateService,
  updateStep,
  updateTask,
  updateWorker,
} from './update.js';

/** A task, or null where there is none of this key. */
export function findTask(state: ServiceState, key: TaskKey): TaskState | null {
  const steps = state.jobs.get(key.jobId)?.occurrences.get(key.occurrence)?.steps;
  return steps?.[key.step]?.tasks[key.index] ?? null;
}

/** A task's run on one life of one worker, or null. */
export function findRun(
  task: TaskState | null,
  workerId: string,
  incarnation: number,
  run: number,
): Run | null {
  return (
    task?.runs.find(
      (one) => one.workerId === workerId && one.incarnation === incarnation && one.run === run,
    ) ?? null
  );
}

function replaceAt<T>(items: readonly T[], index: number, item: T): readonly T[] {
  const copy = items.slice();
  copy[index] = item;
  return copy;
}

/** Marks a job as changed: its progress is to be recorded. */
export function touchJob(state: ServiceState, job: JobState): ServiceState {
  const { jobId } = job.request;
  const touched = updateJob(job, { version: job.version + 1 });
  return updateService(setJob(state, touched), { dirtyJobIds: state.dirtyJobIds.add(jobId) });
}

/** The job with one step of one occurrence changed. */
export function withStep(job: JobState, key: TaskKey, change: (step: StepState) => StepState): JobState {
  const occurrence = job.occurrences.get(key.occurrence);
  const step = occurrence?.steps[key.step];
  if (occurrence === undefined || step === undefined) return job;
  const changed: OccurrenceState = updateOccurrence(occurrence, {
    steps: replaceAt(occurrence.steps, key.step, change(step)),
  });
  return updateJob(job, { occurrences: job.occurrences.set(key.occurrence, changed) });
}

/** Whether a task waits for a worker. */
export function isTaskWaiting(task: TaskState): boolean {
  return !task.isDone && task.runs.length === 0;
}

/** The job with one task changed. */
export function withTask(job: JobState, key: TaskKey, change: (task: TaskState) => TaskState): JobState {
  return withStep(job, key, (step) => {
    const task = step.tasks[key.index];
    if (task === undefined) return step;
    const changed = change(task);
    const waitingCount = step.waitingCount + Number(isTaskWaiting(changed)) - Number(isTaskWaiting(task));
    return updateStep(step, { waitingCount, tasks: replaceAt(step.tasks, key.index, changed) });
  });
}

function isSameRun(left: Run, right: Run): boolean {
  return left.run === right.run && left.workerId === right.workerId && left.incarnation === right.incarnation;
}

/** Changes one task in what is not recorded of it. */
export function changeTask(
  state: ServiceState,
  key: TaskKey,
  change: (task: TaskState) => TaskState,
): ServiceState {
  const job = state.jobs.get(key.jobId);
  return job === undefined ? state : setJob(state, withTask(job, key, change));
}

/** Changes one run, which does not change what is recorded. */
export function changeRun(
  state: ServiceState,
  key: TaskKey,
  run: Run,
  change: (run: Run) => Run,
): ServiceState {
  const job = state.jobs.get(key.jobId);
  if (job === undefined) return state;
  const changed = withTask(job, key, (task) =>
    updateTask(task, { runs: task.runs.map((one) => (isSameRun(one, run) ? change(one) : one)) }),
  );
  return setJob(state, changed);
}

function commitRoom(state: ServiceState, key: TaskKey, workerId: string, step: StepRequest): ServiceState {
  const worker = state.workers.get(workerId);
  if (worker === undefined) return state;
  return setWorker(
    state,
    updateWorker(worker, {
      committed: addResources(worker.committed, reservedResourcesOf(step)),
      lastingCount: worker.lastingCount + Number(step.isLasting),
      tasks: worker.tasks.set(taskIdOf(key), key),
    }),
  );
}

function freeRoom(state: ServiceState, key: TaskKey, run: Run, step: StepRequest): ServiceState {
  const worker = state.workers.get(run.workerId);
  if (worker === undefined || worker.listing.incarnation !== run.incarnation) return state;
  return setWorker(
    state,
    updateWorker(worker, {
      committed: subtractResources(worker.committed, reservedResourcesOf(step)),
      lastingCount: worker.lastingCount - Number(step.isLasting),
      tasks: worker.tasks.remove(taskIdOf(key)),
    }),
  );
}

/** Adds a run to a task and takes its room. The progress is to be recorded before the run starts. */
export function addRun(state: ServiceState, key: TaskKey, run: Omit<Run, 'placedInVersion'>): ServiceState {
  const job = state.jobs.get(key.jobId);
  if (job === undefined) return state;
  const changed = withTask(job, key, (task) =>
    updateTask(task, {
      runs: [...task.runs, { ...run, placedInVersion: job.version + 1 }],
      lastRun: Math.max(task.lastRun, run.run),
    }),
  );
  const touched = touchJob(state, updateJob(changed, { hasStarted: true }));
  return commitRoom(touched, key, run.workerId, stepRequestOf(job.request, key.step));
}

/** Takes a run away from its task and gives its room back. The task may wait again. */
export function removeRun(
  state: ServiceState,
  key: TaskKey,
  run: Run,
  change: (task: TaskState) => TaskState = (task) => task,
): ServiceState {
  const job = state.jobs.get(key.jobId);
  if (job === undefined) return state;
  const changed = withTask(job, key, (task) =>
    change(
      updateTask(task, { runs: task.runs.filter((one) => !isSameRun(one, run)), waitingSince: state.now }),
    ),
  );
  const freed = freeRoom(touchJob(state, changed), key, run, stepRequestOf(job.request, key.step));
  const orphaned = clearOrphan(freed, key);
  if (!job.hasGang) return orphaned;
  return updateService(orphaned, { brokenGangJobIds: orphaned.brokenGangJobIds.add(key.jobId) });
}

/** The runs on workers that have not been seen since the service was claimed. */
export function orphanRuns(
  state: ServiceState,
  isWanted: (run: Run) => boolean,
): readonly (readonly [key: TaskKey, run: Run])[] {
  return [...state.orphanTaskIds].flatMap((taskId) => {
    const key = parseTaskId(taskId);
    return (findTask(state, key)?.runs ?? []).filter(isWanted).map((run) => [key, run] as const);
  });
}

/** Runs on workers that have not been seen, by worker. */
export type OrphansByWorker = ReadonlyMap<string, readonly (readonly [key: TaskKey, run: Run])[]>;

/** The runs on workers that have not been seen since the service was claimed, by worker. */
export function groupOrphans(state: ServiceState): OrphansByWorker {
  const byWorker = new Map<string, (readonly [key: TaskKey, run: Run])[]>();
  for (const orphan of orphanRuns(state, () => true)) {
    const { workerId } = orphan[1];
    const known = byWorker.get(workerId);
    if (known === undefined) byWorker.set(workerId, [orphan]);
    else known.push(orphan);
  }
  return byWorker;
}

function isOrphan(state: ServiceState, run: Run): boolean {
  return state.workers.get(run.workerId)?.listing.incarnation !== run.incarnation;
}

/** Drops from the orphans what has no run on an unseen worker any more. */
function clearOrphan(state: ServiceState, key: TaskKey): ServiceState {
  if (!state.orphanTaskIds.has(taskIdOf(key))) return state;
  const runs = findTask(state, key)?.runs ?? [];
  if (runs.some((run) => isOrphan(state, run))) return state;
  return updateService(state, { orphanTaskIds: state.orphanTaskIds.remove(taskIdOf(key)) });
}

/**
 * Takes up the recorded runs on a worker that is seen for the first time, with their room. Runs that were recorded for
 * a former life under the same id are among them, since orders name the id: the worker's lists tell.
 */
export function adoptOrphans(
  state: ServiceState,
  workerId: string,
  incarnation: number,
  orphans: OrphansByWorker,
): ServiceState {
  let next = state;
  for (const [key, run] of orphans.get(workerId) ?? []) {
    const job = next.jobs.get(key.jobId);
    if (job !== undefined && run.incarnation <= incarnation) {
      next = changeRun(next, key, run, (one) => updateRun(one, { incarnation }));
      next = commitRoom(next, key, workerId, stepRequestOf(job.request, key.step));
    }
    next = clearOrphan(next, key);
  }
  return next;
}

/** Every task that has begun to matter: those of occurrences in progress of jobs that are not over. */
export function* allTasks(
  state: ServiceState,
): Generator<readonly [key: TaskKey, task: TaskState, request: StepRequest, job: JobState], void, void> {
  for (const jobId of state.activeJobIds) {
    const job = state.jobs.get(jobId);
    if (job !== undefined) {
      for (const { occurrence, steps } of job.occurrences.values()) {
        for (const [step, { tasks }] of steps.entries()) {
          const request = stepRequestOf(job.request, step);
          for (const [index, task] of tasks.entries()) {
            yield [{ jobId, occurrence, step, index }, task, request, job];
          }
        }
      }
    }
  }
}

/** The runs on one worker, with their tasks' keys. */
export function* runsOn(
  state: ServiceState,
  worker: WorkerState,
): Generator<readonly [key: TaskKey, run: Run], void, void> {
  for (const key of worker.tasks.values()) {
    const task = findTask(state, key);
    for (const run of task?.runs ?? []) {
      if (run.workerId === worker.listing.workerId && run.incarnation === worker.listing.incarnation) {
        yield [key, run];
      }
    }
  }
}

/** The key behind a text that `taskIdOf` made. */
export function parseTaskId(taskId: string): TaskKey {
  const [jobId = '', occurrence, step, index] = taskId.split('/');
  return { jobId, occurrence: Number(occurrence), step: Number(step), index: Number(index) };
}
