/** Records crashes of workers as evidence against the tasks that ran on them. */
import { isGoing } from '../placement/eligibility.js';
import { taskIdOf, type StepRequest, type TaskKey } from '../../model/job.js';
import {
  CRASH_RETENTION_MILLISECONDS,
  SURVIVAL_MILLISECONDS,
  isolationIdOf,
  updateQuarantine,
  type CrashEvidence,
  type WorkerCrash,
} from '../../state/quarantine-state.js';
import { isPlacedByEarlierOwner } from '../../state/former-stops.js';
import type { Run, ServiceState, WorkerState } from '../../state/service-state.js';
import { changeRun, findTask, runsOnWorker } from '../../state/tasks.js';
import { updateRun, updateService } from '../../state/update.js';

type RunOfTask = readonly [key: TaskKey, run: Run];

/** Returns whether a run was at work for `SURVIVAL_MILLISECONDS` by the last report of its worker. */
export function hasSurvived({ lastReportAt }: WorkerState, run: Run): boolean {
  if (run.startedAt === null || lastReportAt === null) return false;
  // A run of an earlier owner is older than its first report to this one.
  return isPlacedByEarlierOwner(run) || lastReportAt - run.startedAt >= SURVIVAL_MILLISECONDS;
}

function requestOf(state: ServiceState, key: TaskKey): StepRequest | null {
  return state.jobs.get(key.jobId)?.request.steps[key.step] ?? null;
}

/** Returns the id under which a task shares isolated workers. */
export function isolationIdOfTask(state: ServiceState, key: TaskKey): string {
  return isolationIdOf(key, requestOf(state, key)?.isGang ?? false);
}

/** Returns whether a run belongs to a lasting task and has been at work for too long to be suspected of a crash. */
export function isProvenLastingRun(state: ServiceState, worker: WorkerState, [key, run]: RunOfTask): boolean {
  return requestOf(state, key)?.isLasting === true && hasSurvived(worker, run);
}

/** Returns the runs that neither share an isolation id nor belong to proven lasting tasks. */
export function runsBeside(
  state: ServiceState,
  worker: WorkerState,
  isolationId: string,
): readonly RunOfTask[] {
  if (worker.tasks.isEmpty()) return [];
  return [...runsOnWorker(state, worker)].filter(
    (entry) =>
      isolationIdOfTask(state, entry[0]) !== isolationId && !isProvenLastingRun(state, worker, entry),
  );
}

function evidenceAgainst(
  state: ServiceState,
  worker: WorkerState,
  [key, run]: RunOfTask,
  crashId: string,
): CrashEvidence {
  const beside = runsBeside(state, worker, isolationIdOfTask(state, key));
  return {
    crashId,
    isConfirmed: run.startedAt !== null,
    isYoung: !hasSurvived(worker, run),
    wasAlone: beside.every(([, other]) => other.phase === 'recording'),
  };
}

/** Forgets crashes older than `CRASH_RETENTION_MILLISECONDS`. */
export function forgetOldCrashes(state: ServiceState): ServiceState {
  const { quarantine } = state;
  if (quarantine.crashes.isEmpty()) return state;
  const from = state.now - CRASH_RETENTION_MILLISECONDS;
  const crashes = quarantine.crashes.filter(({ at }) => at > from);
  if (crashes.size === quarantine.crashes.size) return state;
  return updateService(state, { quarantine: updateQuarantine(quarantine, { crashes }) });
}

function crashOfWorker(
  state: ServiceState,
  { listing }: WorkerState,
  ordered: readonly RunOfTask[],
): WorkerCrash {
  const { workerId, incarnation, hostId, rack, dataCentre } = listing;
  return {
    crashId: `${workerId}/${incarnation}`,
    at: state.now,
    workerId,
    hostId,
    rack,
    dataCentre,
    taskIds: new Set(ordered.map(([key]) => taskIdOf(key))),
    aloneTaskIds: new Set(),
    counted: [],
    isExplained: ordered.some(([key]) => isSuspect(state, key)),
    excusedTaskIds: new Set(),
  };
}

function isSuspect(state: ServiceState, key: TaskKey): boolean {
  return findTask(state, key)?.isQuarantined === true;
}

function isYoungSuspect(state: ServiceState, worker: WorkerState, [key, run]: RunOfTask): boolean {
  return isSuspect(state, key) && !hasSurvived(worker, run);
}

/**
 * Records that an incarnation of a worker has ended by itself, as evidence against each task that it was told to start.
 * The end of a worker that shuts down or is being released is planned, and no evidence.
 */
export function recordWorkerCrash(state: ServiceState, worker: WorkerState): ServiceState {
  if (worker.isTerminated || isGoing(state, worker)) return state;
  const ordered = [...runsOnWorker(state, worker)].filter(([, run]) => run.phase !== 'recording');
  const crash = crashOfWorker(state, worker, ordered);
  // A worker that is listed again under its id may be seen to end twice.
  if (state.quarantine.crashes.has(crash.crashId)) return state;
  const hasYoungSuspect = ordered.some((entry) => isYoungSuspect(state, worker, entry));
  const aloneTaskIds = new Set<string>();
  let next = state;
  for (const entry of ordered) {
    const [key, run] = entry;
    const evidence = evidenceAgainst(state, worker, entry, crash.crashId);
    if (evidence.wasAlone) aloneTaskIds.add(taskIdOf(key));
    // A suspect that has just started is the likelier cause than a task that had been at work beside it.
    const isExonerated = hasYoungSuspect && hasSurvived(worker, run) && !isSuspect(state, key);
    if (!isExonerated) next = changeRun(next, key, run, (current) => updateRun(current, { crash: evidence }));
  }
  const crashes = next.quarantine.crashes.set(crash.crashId, { ...crash, aloneTaskIds });
  return updateService(next, {
    quarantine: updateQuarantine(next.quarantine, { crashes, hasNewCrash: true }),
  });
}
