/** Drops runs on workers whose incarnation has ended or whose leases have certainly expired. */
import type { TaskKey } from '../model/job.js';
import type { HostListing } from '../model/worker.js';
import { recordWorkerCrash } from '../decide/quarantine/crash-evidence.js';
import type { ServiceStep } from '../state/effect.js';
import { haveAllLeasesExpired } from '../state/lease.js';
import { UNWITNESSED_CRASH } from '../state/quarantine-state.js';
import { runLogFields } from '../state/run-log-fields.js';
import type { Run, ServiceState, WorkerState } from '../state/service-state.js';
import { orphanRuns, removeRun, runsOnWorker } from '../state/tasks.js';
import { setWorker } from '../state/worker-index.js';
import { updateRun, updateService, updateWorker } from '../state/update.js';

/** Time within which an unanswered order may still be executed. */
export const DELAYED_ORDER_MILLISECONDS = 13_000;

/** Time within which the start of another incarnation under the same worker id is certainly detected. */
const RESTART_DETECTION_MILLISECONDS = 6_000;

/** Returns whether an order to start a run may still be executed, possibly by the next incarnation of the worker. */
function mayStillStart(run: Run): boolean {
  return run.phase !== 'recording' && (run.hasUnansweredStart || run.startedAt === null);
}

/**
 * Returns whether a run may be on the next incarnation of its worker. That incarnation may have answered the start of a
 * recent run before its own start was detected.
 */
export function mayRunOnNextIncarnation(state: ServiceState, run: Run): boolean {
  const isRecent = run.startedAt !== null && state.now - run.startedAt < RESTART_DETECTION_MILLISECONDS;
  return mayStillStart(run) || (run.phase !== 'recording' && isRecent);
}

/** Removes runs although no end was reported. Their tasks wait again. */
export function* dropRuns(
  state: ServiceState,
  runs: readonly (readonly [key: TaskKey, run: Run])[],
  reason: string,
): ServiceStep<ServiceState> {
  let next = state;
  for (const [key, run] of runs) {
    yield { kind: 'log', decision: 'taskEnded', fields: { ...runLogFields(key, run), end: reason } };
    next = removeRun(next, key, run);
  }
  return next;
}

/** Removes all runs on a worker. Their tasks wait again. */
function* dropRunsOnWorker(
  state: ServiceState,
  worker: WorkerState,
  reason: string,
): ServiceStep<ServiceState> {
  return yield* dropRuns(state, [...runsOnWorker(state, worker)], reason);
}

/**
 * Marks a worker's incarnation as terminated and drops its runs, except those whose start may still be executed by the
 * next incarnation.
 */
export function* handleWorkerTermination(
  state: ServiceState,
  workerId: string,
  reason: string,
  isPlanned: boolean,
): ServiceStep<ServiceState> {
  const worker = state.workers.get(workerId);
  if (worker === undefined) return state;
  const { hostId, incarnation } = worker.listing;
  yield { kind: 'log', decision: 'workerLost', fields: { workerId, hostId, reason, incarnation } };
  const recorded = isPlanned ? state : recordWorkerCrash(state, worker);
  const terminated = setWorker(recorded, updateWorker(worker, { isTerminated: true }));
  const runs = [...runsOnWorker(terminated, worker)];
  const ended = runs.filter(([, run]) => !mayStillStart(run));
  const dropped = yield* dropRuns(terminated, ended, reason);
  // A gang has lost a member even if its run is kept.
  const gangJobIds = runs.flatMap(([{ jobId }]) => (state.jobs.get(jobId)?.hasGang === true ? [jobId] : []));
  return updateService(dropped, { brokenGangJobIds: dropped.brokenGangJobIds.union(gangJobIds) });
}

/** Drops the remaining runs on terminated workers once no delayed order for them can be executed any more. */
function* dropUnstartedRuns(state: ServiceState): ServiceStep<ServiceState> {
  let next = state;
  for (const worker of state.workers.values()) {
    const unstarted = worker.isTerminated ? [...runsOnWorker(state, worker)] : [];
    const expired = unstarted.filter(
      ([, run]) => state.now > (run.sentAt ?? run.placedAt) + DELAYED_ORDER_MILLISECONDS,
    );
    next = yield* dropRuns(next, expired, 'its worker has terminated');
  }
  return next;
}

/**
 * Drops the runs on terminated workers whose host runs a worker with another id or no longer exists. Orders to the
 * former worker's id reach nobody.
 */
export function* dropRunsOfReplacedWorkers(
  state: ServiceState,
  hosts: readonly HostListing[],
): ServiceStep<ServiceState> {
  const current = new Map(hosts.map((host) => [host.hostId, host.workerId]));
  let next = state;
  for (const worker of state.workers.values()) {
    const { hostId, workerId } = worker.listing;
    const successor = current.get(hostId);
    if (worker.isTerminated && successor !== null && successor !== workerId) {
      next = yield* dropRunsOnWorker(next, worker, 'its host runs another worker');
    }
  }
  return next;
}

function findOrphans(
  state: ServiceState,
  isExpired: (workerId: string) => boolean,
): readonly (readonly [key: TaskKey, run: Run])[] {
  return orphanRuns(
    state,
    ({ workerId, incarnation }) =>
      state.workers.get(workerId)?.listing.incarnation !== incarnation && isExpired(workerId),
  );
}

/** Drops the orphan runs on the workers that no host runs any more. They ended while nobody knew their workers. */
export function* dropOrphansOfEndedWorkers(
  state: ServiceState,
  isAlive: (workerId: string) => boolean,
): ServiceStep<ServiceState> {
  const ended = findOrphans(state, (workerId) => !isAlive(workerId));
  const witnessed = ended.map(([key, run]) => [key, updateRun(run, { crash: UNWITNESSED_CRASH })] as const);
  return yield* dropRuns(state, witnessed, 'its host no longer runs it');
}

/** Drops the orphan runs on the workers for which `isExpired` returns true. */
function* dropOrphanRuns(
  state: ServiceState,
  isExpired: (workerId: string) => boolean,
  reason: string,
): ServiceStep<ServiceState> {
  return yield* dropRuns(state, findOrphans(state, isExpired), reason);
}

/** Drops runs on workers that do not answer and whose leases have certainly expired. */
export function* dropLapsedRuns(state: ServiceState): ServiceStep<ServiceState> {
  let next = yield* dropUnstartedRuns(state);
  for (const worker of state.workers.values()) {
    const isUnreachable = worker.silentSince !== null && !worker.isTerminated;
    if (isUnreachable && !worker.tasks.isEmpty() && haveAllLeasesExpired(state, worker)) {
      const { workerId } = worker.listing;
      yield { kind: 'log', decision: 'leaseLapsed', fields: { workerId, leaseUntil: worker.leaseUntil } };
      next = yield* dropRunsOnWorker(next, worker, 'its lease has expired');
    }
  }
  if (!haveAllLeasesExpired(state, null)) return next;
  return yield* dropOrphanRuns(next, () => true, 'its lease has expired');
}
