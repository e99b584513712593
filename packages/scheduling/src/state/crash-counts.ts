/** Counts the crashes of workers against the tasks that ran on them. */
import { taskIdOf, type StepRequest, type TaskKey } from '../model/job.js';
import {
  isExcused,
  QUARANTINE_CRASHES,
  updateQuarantine,
  type CountedTask,
  type CrashEvidence,
  type PendingVerdict,
  type QuarantineState,
  type WorkerCrash,
} from './quarantine-state.js';
import type { Run, ServiceState, TaskState } from './service-state.js';
import { updateService, updateTask } from './update.js';

/**
 * Returns whether a crash adds to the count of a task. An order that may never have arrived only raises suspicion, unless
 * the task ran as a suspect.
 */
function countOf({ isQuarantined }: TaskState, evidence: CrashEvidence, request: StepRequest): number {
  if (request.isLasting && (!evidence.isYoung || evidence.crashId === null)) return 0;
  return Number(evidence.isConfirmed || evidence.wasAlone || isQuarantined);
}

function crashOf({ crashes }: QuarantineState, { crashId }: CrashEvidence): WorkerCrash | null {
  return crashId === null ? null : (crashes.get(crashId) ?? null);
}

/** Returns the task with the crash of the worker of one of its runs counted, if there was one. */
export function withCrashCounted(
  state: ServiceState,
  key: TaskKey,
  task: TaskState,
  run: Run,
  request: StepRequest,
): TaskState {
  const { crash: evidence } = run;
  if (evidence === null || task.isDone || isExcused(state.quarantine, evidence, taskIdOf(key))) return task;
  const workerCrashes = task.workerCrashes + countOf(task, evidence, request);
  const isSuspect = evidence.isYoung || workerCrashes >= QUARANTINE_CRASHES;
  return updateTask(task, { workerCrashes, isQuarantined: task.isQuarantined || isSuspect });
}

function withCountedTask(
  quarantine: QuarantineState,
  evidence: CrashEvidence,
  counted: CountedTask,
): QuarantineState['crashes'] {
  const crash = crashOf(quarantine, evidence);
  if (crash === null) return quarantine.crashes;
  return quarantine.crashes.set(crash.crashId, { ...crash, counted: [...crash.counted, counted] });
}

function verdictOf(
  state: ServiceState,
  key: TaskKey,
  evidence: CrashEvidence,
  before: TaskState,
  after: TaskState,
): PendingVerdict | null {
  const mayDecide = after.workerCrashes > before.workerCrashes && after.workerCrashes >= QUARANTINE_CRASHES;
  const wasAlone = evidence.crashId === null ? before.isQuarantined : evidence.wasAlone;
  if (!mayDecide || !wasAlone) return null;
  return { key, evidence, crashedAt: crashOf(state.quarantine, evidence)?.at ?? state.now };
}

/** Updates the quarantine after a run of a task was removed, with the task before and after the removal. */
export function trackRemovedRun(
  state: ServiceState,
  key: TaskKey,
  run: Run,
  before: TaskState | null,
  after: TaskState | null,
): ServiceState {
  const { quarantine } = state;
  const isAffected = before?.isQuarantined === true || after?.isQuarantined === true;
  if (!isAffected && run.crash === null && !quarantine.workers.has(run.workerId)) return state;
  if (before === null || after === null || run.crash === null) {
    return updateService(state, { quarantine: updateQuarantine(quarantine, { isStale: true }) });
  }
  const taskId = taskIdOf(key);
  const isNew = after.isQuarantined && !before.isQuarantined;
  const count = after.workerCrashes - before.workerCrashes;
  const verdict = verdictOf(state, key, run.crash, before, after);
  return updateService(state, {
    quarantine: updateQuarantine(quarantine, {
      isStale: true,
      tasks: isNew ? quarantine.tasks.set(taskId, key) : quarantine.tasks,
      unloggedTaskIds: isNew ? quarantine.unloggedTaskIds.add(taskId) : quarantine.unloggedTaskIds,
      crashes: withCountedTask(quarantine, run.crash, { key, count, causedQuarantine: isNew }),
      verdicts: verdict === null ? quarantine.verdicts : quarantine.verdicts.set(taskId, verdict),
    }),
  });
}
