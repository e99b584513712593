/** Gives up jobs with a task that crashes each worker that starts it, and clears tasks that have shown to be sound. */
import { taskIdOf, type TaskKey } from '../model/job.js';
import { forgetOldCrashes, hasSurvived } from '../decide/quarantine/crash-evidence.js';
import type { ServiceStep } from '../state/effect.js';
import { failJob } from './job-failures.js';
import { excuseMassEnds, MASS_END_MILLISECONDS } from './mass-ends.js';
import {
  isExcused,
  LIMIT_OF_WEAK_EVIDENCE,
  QUARANTINE_CRASHES,
  updateQuarantine,
  type PendingVerdict,
} from '../state/quarantine-state.js';
import type { ServiceState } from '../state/service-state.js';
import { changeTask, findTask, markJobChanged, runsOnWorker } from '../state/tasks.js';
import { updateService, updateTask } from '../state/update.js';

/** Crashes after which a task is given up, and how many of them must have come while it ran alone. */
const CRASH_LIMIT = 3;
const MINIMUM_CRASHES_ALONE = 2;

/** Counts the recent crashes of workers on which a task ran alone. */
function countCrashesAlone({ quarantine }: ServiceState, taskId: string): number {
  return quarantine.crashes.count(({ aloneTaskIds }) => aloneTaskIds.has(taskId));
}

function limitOf(state: ServiceState, { key, evidence }: PendingVerdict): number {
  const isWitnessed = evidence.crashId !== null && evidence.isYoung;
  const isRepeated = countCrashesAlone(state, taskIdOf(key)) >= MINIMUM_CRASHES_ALONE;
  return isWitnessed && isRepeated ? CRASH_LIMIT : LIMIT_OF_WEAK_EVIDENCE;
}

function* decide(state: ServiceState, taskId: string, verdict: PendingVerdict): ServiceStep<ServiceState> {
  const { key, evidence } = verdict;
  const decided = updateService(state, {
    quarantine: updateQuarantine(state.quarantine, {
      verdicts: state.quarantine.verdicts.remove(taskId),
      isStale: true,
    }),
  });
  const workerCrashes = findTask(state, key)?.workerCrashes ?? 0;
  const limit = limitOf(state, verdict);
  const isVoid = isExcused(state.quarantine, evidence, taskId);
  if (isVoid || workerCrashes < limit) return decided;
  return yield* failJob(decided, { kind: 'workers-crashed', key, workerCrashes, limit, evidence });
}

function* decideDueVerdicts(state: ServiceState): ServiceStep<ServiceState> {
  if (state.quarantine.verdicts.isEmpty()) return state;
  let next = state;
  for (const [taskId, verdict] of state.quarantine.verdicts) {
    const isDue = state.now - verdict.crashedAt >= MASS_END_MILLISECONDS;
    if (isDue) next = yield* decide(next, taskId, verdict);
  }
  return next;
}

function* logQuarantinedTasks(state: ServiceState): ServiceStep<ServiceState> {
  const { unloggedTaskIds, tasks } = state.quarantine;
  if (unloggedTaskIds.isEmpty()) return state;
  for (const taskId of unloggedTaskIds) {
    const key = tasks.get(taskId);
    const task = key === undefined ? null : findTask(state, key);
    if (key !== undefined && task !== null) {
      const { workerCrashes, lastRun } = task;
      const fields = { jobId: key.jobId, task: taskId, run: lastRun, workerCrashes };
      yield { kind: 'log', decision: 'taskQuarantined', fields };
    }
  }
  return updateService(state, {
    quarantine: updateQuarantine(state.quarantine, { unloggedTaskIds: unloggedTaskIds.clear() }),
  });
}

/** Applies the crashes of an event: excuses mass ends, logs quarantined tasks and gives up jobs. */
export function* settleWorkerCrashes(state: ServiceState): ServiceStep<ServiceState> {
  const excused = excuseMassEnds(forgetOldCrashes(state));
  return yield* decideDueVerdicts(yield* logQuarantinedTasks(excused));
}

/** Ends the quarantine of a task that has been at work. A lasting task also loses its count: it runs for hours. */
function clearTask(state: ServiceState, key: TaskKey, isLasting: boolean): ServiceState {
  const changed = changeTask(state, key, (task) =>
    updateTask(task, { isQuarantined: false, workerCrashes: isLasting ? 0 : task.workerCrashes }),
  );
  const job = changed.jobs.get(key.jobId);
  const marked = job === undefined ? changed : markJobChanged(changed, job);
  return updateService(marked, { quarantine: updateQuarantine(marked.quarantine, { isStale: true }) });
}

/** Ends the quarantine of the tasks on a worker that have been at work for long enough by its newest report. */
export function clearSurvivors(state: ServiceState, workerId: string): ServiceState {
  const worker = state.workers.get(workerId);
  if (worker === undefined || !state.quarantine.workers.has(workerId)) return state;
  let next = state;
  for (const [key, run] of runsOnWorker(state, worker)) {
    const task = findTask(next, key);
    const isLasting = next.jobs.get(key.jobId)?.request.steps[key.step]?.isLasting ?? false;
    const isCleared = isLasting || (task?.workerCrashes ?? 0) < QUARANTINE_CRASHES;
    if (task?.isQuarantined === true && isCleared && run.phase === 'running' && hasSurvived(worker, run)) {
      next = clearTask(next, key, isLasting);
    }
  }
  return next;
}
