/** Finds and changes tasks and their runs, and keeps the reserved capacity of workers up to date. */
import type { StepRequest, TaskKey } from '../model/job.js';
import { taskIdOf } from '../model/job.js';
import { addResources, subtractResources } from '../model/resources.js';
import { reservedResourcesOf, stepRequestOf } from '../model/step-needs.js';
import { trackRemovedRun, withCrashCounted } from './crash-counts.js';
import { setJob } from './job-index.js';
import { UNWITNESSED_CRASH } from './quarantine-state.js';
import type {
  CapacityReservation,
  JobState,
  OccurrenceState,
  Run,
  ServiceState,
  StepState,
  TaskState,
  WorkerState,
} from './service-state.js';
import { isServing, withImage } from './image-use.js';
import { considerWorker, setWorker } from './worker-index.js';
import { countRuns } from './workspaces.js';
import {
  updateJob,
  updateOccurrence,
  updateRun,
  updateService,
  updateStep,
  updateTask,
  updateWorker,
} from './update.js';

/** Returns the task with a key, or null if there is none. */
export function findTask(state: ServiceState, key: TaskKey): TaskState | null {
  const steps = state.jobs.get(key.jobId)?.occurrences.get(key.occurrence)?.steps;
  return steps?.[key.step]?.tasks[key.index] ?? null;
}

/** Returns the run of a task on one incarnation of a worker, or null if there is none. */
export function findRun(
  task: TaskState | null,
  workerId: string,
  incarnation: number,
  run: number,
): Run | null {
  return (
    task?.runs.find(
      (candidate) =>
        candidate.workerId === workerId && candidate.incarnation === incarnation && candidate.run === run,
    ) ?? null
  );
}

function replaceAt<T>(items: readonly T[], index: number, item: T): readonly T[] {
  const copy = items.slice();
  copy[index] = item;
  return copy;
}

/** Maximum number of workers in the list of those that a task avoids. */
const MAX_AVOIDED_WORKERS = 3;

/** Returns the task with one more worker to avoid, on which a run of it failed or was refused. */
export function avoidWorker(task: TaskState, workerId: string): TaskState {
  return updateTask(task, {
    avoidedWorkers: [...task.avoidedWorkers, workerId].slice(-MAX_AVOIDED_WORKERS),
  });
}

/** Increments the version of a job and marks it as changed, so that its progress is recorded. */
export function markJobChanged(state: ServiceState, job: JobState): ServiceState {
  const { jobId } = job.request;
  const marked = updateJob(job, { version: job.version + 1 });
  return updateService(setJob(state, marked), { dirtyJobIds: state.dirtyJobIds.add(jobId) });
}

/** Returns the job with one step of one occurrence changed. */
export function withStep(job: JobState, key: TaskKey, change: (step: StepState) => StepState): JobState {
  const occurrence = job.occurrences.get(key.occurrence);
  const step = occurrence?.steps[key.step];
  if (occurrence === undefined || step === undefined) return job;
  const changed: OccurrenceState = updateOccurrence(occurrence, {
    steps: replaceAt(occurrence.steps, key.step, change(step)),
  });
  return updateJob(job, { occurrences: job.occurrences.set(key.occurrence, changed) });
}

/** Returns whether a task waits for a worker. */
export function isTaskWaiting(task: TaskState): boolean {
  return !task.isDone && task.runs.length === 0;
}

/** Returns the job with one task changed, and the counts of waiting and of done tasks adjusted. */
export function withTask(job: JobState, key: TaskKey, change: (task: TaskState) => TaskState): JobState {
  return withStep(job, key, (step) => {
    const task = step.tasks[key.index];
    if (task === undefined) return step;
    const changed = change(task);
    const waitingCount = step.waitingCount + Number(isTaskWaiting(changed)) - Number(isTaskWaiting(task));
    const doneCount = step.doneCount + Number(changed.isDone) - Number(task.isDone);
    return updateStep(step, { waitingCount, doneCount, tasks: replaceAt(step.tasks, key.index, changed) });
  });
}

function isSameRun(left: Run, right: Run): boolean {
  return left.run === right.run && left.workerId === right.workerId && left.incarnation === right.incarnation;
}

/** Changes fields of a task that are not recorded, so the job is not marked as changed. */
export function changeTask(
  state: ServiceState,
  key: TaskKey,
  change: (task: TaskState) => TaskState,
): ServiceState {
  const job = state.jobs.get(key.jobId);
  return job === undefined ? state : setJob(state, withTask(job, key, change));
}

/** Changes fields of a run that are not recorded, so the job is not marked as changed. */
export function changeRun(
  state: ServiceState,
  key: TaskKey,
  run: Run,
  change: (run: Run) => Run,
): ServiceState {
  const job = state.jobs.get(key.jobId);
  if (job === undefined) return state;
  let isStarting = false;
  const changed = withTask(job, key, (task) =>
    updateTask(task, {
      runs: task.runs.map((other) => {
        if (!isSameRun(other, run)) return other;
        const after = change(other);
        isStarting = isBeingStarted(after);
        return after;
      }),
    }),
  );
  const next = setJob(state, changed);
  return isBeingStarted(run) && !isStarting ? endStart(next, key, run.workerId) : next;
}

function isBeingStarted({ phase }: Pick<Run, 'phase'>): boolean {
  return phase === 'recording' || phase === 'starting';
}

/** Removes a task from the starts in progress on a worker. */
function endStart(state: ServiceState, key: TaskKey, workerId: string): ServiceState {
  const worker = state.workers.get(workerId);
  if (worker?.startingTasks.has(taskIdOf(key)) !== true) return state;
  const startingTasks = worker.startingTasks.remove(taskIdOf(key));
  return setWorker(state, updateWorker(worker, { startingTasks }));
}

/** Reserves capacity of a worker for a run that is on it or may be, or that is about to be started on it. */
function reserveCapacity(
  state: ServiceState,
  key: TaskKey,
  step: StepRequest,
  { workerId, phase }: Pick<Run, 'workerId' | 'phase'>,
): ServiceState {
  const worker = state.workers.get(workerId);
  if (worker === undefined) return state;
  const { startingTasks } = worker;
  return setWorker(
    state,
    updateWorker(worker, {
      startingTasks: isBeingStarted({ phase }) ? startingTasks.set(taskIdOf(key), key) : startingTasks,
      committed: addResources(worker.committed, reservedResourcesOf(step)),
      lastingCount: worker.lastingCount + Number(step.isLasting),
      tasks: worker.tasks.set(taskIdOf(key), key),
      images: withImage(worker.images, step, 1),
      servingTaskIds: isServing(step) ? worker.servingTaskIds.add(taskIdOf(key)) : worker.servingTaskIds,
      fillingTaskIds: step.usesSpareCapacity
        ? worker.fillingTaskIds.add(taskIdOf(key))
        : worker.fillingTaskIds,
    }),
  );
}

function releaseCapacity(state: ServiceState, key: TaskKey, run: Run, step: StepRequest): ServiceState {
  const worker = state.workers.get(run.workerId);
  if (worker === undefined || worker.listing.incarnation !== run.incarnation) return state;
  return setWorker(
    state,
    updateWorker(worker, {
      committed: subtractResources(worker.committed, reservedResourcesOf(step)),
      lastingCount: worker.lastingCount - Number(step.isLasting),
      tasks: worker.tasks.remove(taskIdOf(key)),
      images: withImage(worker.images, step, -1),
      servingTaskIds: worker.servingTaskIds.remove(taskIdOf(key)),
      fillingTaskIds: worker.fillingTaskIds.remove(taskIdOf(key)),
      startingTasks: worker.startingTasks.remove(taskIdOf(key)),
    }),
  );
}

/** Records that a worker has started a run of a job. */
export function markJobStarted(state: ServiceState, jobId: string): ServiceState {
  const job = state.jobs.get(jobId);
  return job === undefined || job.hasStarted ? state : setJob(state, updateJob(job, { hasStarted: true }));
}

/** Adds a run to a task and reserves its capacity. The run may start once the job's progress is recorded. */
export function addRun(state: ServiceState, key: TaskKey, run: Omit<Run, 'placedInVersion'>): ServiceState {
  const job = state.jobs.get(key.jobId);
  if (job === undefined) return state;
  const changed = withTask(job, key, (task) =>
    updateTask(task, {
      runs: [...task.runs, { ...run, placedInVersion: job.version + 1 }],
      lastRun: Math.max(task.lastRun, run.run),
    }),
  );
  const marked = countRuns(markJobChanged(state, changed), job.request, key.step, 1);
  return reserveCapacity(marked, key, stepRequestOf(job.request, key.step), run);
}

/** Keeps capacity of a worker for a task whose run is being stopped. */
export function reserveForRelocation(
  state: ServiceState,
  key: TaskKey,
  reservation: CapacityReservation,
): ServiceState {
  return updateService(state, { reservations: state.reservations.set(taskIdOf(key), reservation) });
}

/** Gives up the reservation of a task, which waits now and is placed before ordinary tasks. */
function clearReservation(state: ServiceState, key: TaskKey): ServiceState {
  const reservation = state.reservations.get(taskIdOf(key));
  if (reservation === undefined) return state;
  const cleared = updateService(state, { reservations: state.reservations.remove(taskIdOf(key)) });
  return considerWorker(cleared, reservation.workerId);
}

/** Removes a run from its task and releases its capacity. A task that is not done and has no other run waits again. */
export function removeRun(
  state: ServiceState,
  key: TaskKey,
  run: Run,
  change: (task: TaskState) => TaskState = (task) => task,
): ServiceState {
  const job = state.jobs.get(key.jobId);
  if (job === undefined) return state;
  const request = stepRequestOf(job.request, key.step);
  const before = findTask(state, key);
  const changed = withTask(job, key, (task) =>
    change(
      updateTask(withCrashCounted(state, key, task, run, request), {
        runs: task.runs.filter((other) => !isSameRun(other, run)),
        waitingSince: state.now,
      }),
    ),
  );
  const removedCount = (before?.runs ?? []).filter((other) => isSameRun(other, run)).length;
  const counted = countRuns(markJobChanged(state, changed), job.request, key.step, -removedCount);
  const freed = releaseCapacity(counted, key, run, request);
  const tracked = trackRemovedRun(freed, key, run, before, findTask(freed, key));
  const cleared = clearOrphan(clearReservation(tracked, key), key);
  if (!job.hasGang) return cleared;
  return updateService(cleared, { brokenGangJobIds: cleared.brokenGangJobIds.add(key.jobId) });
}

/** Returns the matching runs on worker incarnations that have not been seen since the service was claimed. */
export function orphanRuns(
  state: ServiceState,
  matches: (run: Run) => boolean,
): readonly (readonly [key: TaskKey, run: Run])[] {
  return [...state.orphanTaskIds].flatMap((taskId) => {
    const key = parseTaskId(taskId);
    return (findTask(state, key)?.runs ?? []).filter(matches).map((run) => [key, run] as const);
  });
}

/** Runs on worker incarnations that have not been seen since the service was claimed, by worker id. */
export type OrphansByWorker = ReadonlyMap<string, readonly (readonly [key: TaskKey, run: Run])[]>;

/** Groups the runs on worker incarnations that have not been seen since the service was claimed by worker id. */
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

/** Removes a task from the orphans if it has no run on an unseen worker incarnation any more. */
function clearOrphan(state: ServiceState, key: TaskKey): ServiceState {
  if (!state.orphanTaskIds.has(taskIdOf(key))) return state;
  const runs = findTask(state, key)?.runs ?? [];
  if (runs.some((run) => isOrphan(state, run))) return state;
  return updateService(state, { orphanTaskIds: state.orphanTaskIds.remove(taskIdOf(key)) });
}

/**
 * Assigns the recorded runs on a worker to the incarnation that is seen for the first time, and reserves their
 * capacity. Runs recorded for a former incarnation are included: orders name only the worker id, so the new incarnation
 * may have executed them. The worker's reports show which of them exist.
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
      const crash = run.incarnation < incarnation ? (run.crash ?? UNWITNESSED_CRASH) : run.crash;
      next = changeRun(next, key, run, (current) => updateRun(current, { incarnation, crash }));
      next = reserveCapacity(next, key, stepRequestOf(job.request, key.step), run);
    }
    next = clearOrphan(next, key);
  }
  return next;
}

/** Yields the tasks of the occurrences in progress of active jobs that were ever placed. */
export function* startedTasks(
  state: ServiceState,
): Generator<readonly [key: TaskKey, task: TaskState, request: StepRequest, job: JobState], void, void> {
  for (const jobId of state.activeJobIds) {
    const job = state.jobs.get(jobId);
    if (job !== undefined) {
      for (const { occurrence, steps } of job.occurrences.values()) {
        for (const [step, { tasks }] of steps.entries()) {
          const request = stepRequestOf(job.request, step);
          for (const [index, task] of tasks.entries()) {
            if (task.lastRun > 0) yield [{ jobId, occurrence, step, index }, task, request, job];
          }
        }
      }
    }
  }
}

/** Yields the runs on one incarnation of a worker, with the keys of their tasks. */
export function* runsOnWorker(
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

/** Parses a task id made by `taskIdOf`. */
export function parseTaskId(taskId: string): TaskKey {
  const [jobId = '', occurrence, step, index] = taskId.split('/');
  return { jobId, occurrence: Number(occurrence), step: Number(step), index: Number(index) };
}
