/**
 * Cuts the progress of wide and repeating jobs into parts of a fixed number of tasks, each in a record of its own, so that
 * a change is recorded with the tasks near it and no record grows with the width of the job.
 */
import { Map as PersistentMap, Set as PersistentSet } from 'immutable';
import type { JobRequest, TaskKey } from '../model/job.js';
import type { JobPart, JobPartProgress, TaskProgress } from '../model/records.js';
import type { JobState, OccurrenceState, RecordedOccurrence, Run, TaskState } from './service-state.js';

/** Tasks of one occurrence in one part, counted through its steps. A part of plain tasks takes about 4 KB. */
const TASKS_PER_PART = 64;

/** Returns the number of tasks in one occurrence of a job. */
export function countTasks({ steps }: JobRequest): number {
  return steps.reduce((sum, { taskCount }) => sum + taskCount, 0);
}

/** Returns whether the progress of a job is recorded in parts, and not in one record. */
export function isRecordedInParts(request: JobRequest): boolean {
  return request.repetition !== null || countTasks(request) > TASKS_PER_PART;
}

/** Returns whether a task was ever placed or is done. */
export function hasProgress(task: TaskState): boolean {
  return task.isDone || task.lastRun > 0 || task.runs.length > 0;
}

/** Returns the progress of a task as it is recorded. */
export function taskProgressOf(task: TaskState, index: number): TaskProgress {
  return {
    index,
    isDone: task.isDone,
    lastRun: task.lastRun,
    failedRuns: task.failedRuns,
    workerCrashes: task.workerCrashes,
    isQuarantined: task.isQuarantined && !task.isDone,
    checkpoint: task.isDone ? '' : task.checkpoint,
    runs: task.runs.map(({ run, workerId, incarnation }) => ({ run, workerId, incarnation })),
  };
}

function isSameRun(left: Run, right: Run | undefined): boolean {
  return (
    left.run === right?.run && left.workerId === right.workerId && left.incarnation === right.incarnation
  );
}

/** Returns whether a task has other progress than when it was last recorded. */
function hasChanged(task: TaskState, recorded: TaskState | undefined): boolean {
  if (task === recorded) return false;
  if (recorded === undefined) return hasProgress(task);
  return (
    task.isDone !== recorded.isDone ||
    task.lastRun !== recorded.lastRun ||
    task.failedRuns !== recorded.failedRuns ||
    task.workerCrashes !== recorded.workerCrashes ||
    task.isQuarantined !== recorded.isQuarantined ||
    task.checkpoint !== recorded.checkpoint ||
    task.runs.length !== recorded.runs.length ||
    !task.runs.every((run, index) => isSameRun(run, recorded.runs[index]))
  );
}

/** Changed tasks of one occurrence, and the parts that they are in. */
interface ChangedTasks {
  readonly keys: readonly TaskKey[];
  readonly parts: ReadonlySet<number>;
}

function findChangedTasks(
  jobId: string,
  { occurrence, steps }: OccurrenceState,
  recorded: RecordedOccurrence | undefined,
): ChangedTasks {
  const keys: TaskKey[] = [];
  const parts = new Set<number>();
  let firstPosition = 0;
  for (const [step, { tasks }] of steps.entries()) {
    const recordedTasks = recorded?.tasksByStep[step];
    if (tasks !== recordedTasks) {
      for (const [index, task] of tasks.entries()) {
        if (hasChanged(task, recordedTasks?.[index])) {
          keys.push({ jobId, occurrence, step, index });
          parts.add(Math.floor((firstPosition + index) / TASKS_PER_PART));
        }
      }
    }
    firstPosition += tasks.length;
  }
  return { keys, parts };
}

function progressOfPart({ steps }: OccurrenceState, part: number): JobPartProgress['steps'] {
  const begin = part * TASKS_PER_PART;
  const end = begin + TASKS_PER_PART;
  let firstPosition = 0;
  return steps.flatMap(({ tasks }, step) => {
    const from = Math.max(0, begin - firstPosition);
    const to = Math.min(tasks.length, end - firstPosition);
    firstPosition += tasks.length;
    if (from >= to) return [];
    const progress = tasks
      .slice(from, to)
      .flatMap((task, position) => (hasProgress(task) ? [taskProgressOf(task, from + position)] : []));
    return progress.length === 0 ? [] : [{ step, tasks: progress }];
  });
}

/** What the next append records of a job that is recorded in parts. */
export interface PartChanges {
  readonly changed: readonly JobPartProgress[];
  /** Parts of occurrences that are done. */
  readonly obsolete: readonly JobPart[];
  /** Tasks with changed progress. */
  readonly taskKeys: readonly TaskKey[];
  /** The parts of the job once all this is stored. */
  readonly recorded: JobState['recordedOccurrences'];
}

/** Compares a job with what is recorded of it. */
export function findPartChanges(job: JobState): PartChanges {
  const { jobId } = job.request;
  const changed: JobPartProgress[] = [];
  const taskKeys: TaskKey[] = [];
  let recorded = PersistentMap<number, RecordedOccurrence>();
  for (const [occurrence, state] of job.occurrences) {
    const before = job.recordedOccurrences.get(occurrence);
    const { keys, parts } = findChangedTasks(jobId, state, before);
    taskKeys.push(...keys);
    parts.forEach((part) => changed.push({ jobId, occurrence, part, steps: progressOfPart(state, part) }));
    recorded = recorded.set(occurrence, {
      tasksByStep: state.steps.map(({ tasks }) => tasks),
      parts: (before?.parts ?? PersistentSet<number>()).union(parts),
    });
  }
  const obsolete = partsOf(
    jobId,
    job.recordedOccurrences.filterNot((_, occurrence) => job.occurrences.has(occurrence)),
  );
  return { changed, obsolete, taskKeys, recorded };
}

/** Returns every recorded part of the given occurrences. */
export function partsOf(jobId: string, recorded: JobState['recordedOccurrences']): readonly JobPart[] {
  return [...recorded].flatMap(([occurrence, { parts }]) =>
    [...parts].map((part) => ({ jobId, occurrence, part })),
  );
}
