/** Gives up runs: on workers whose life is over, or whose leases have certainly ended. */
import type { TaskKey } from '../model/job.js';
import type { HostListing } from '../model/worker.js';
import type { ServiceStep } from './effect.js';
import { haveAllLeasesExpired } from './lease.js';
import { runLogFields } from './runs.js';
import type { Run, ServiceState, WorkerState } from './state.js';
import { orphanRuns, removeRun, runsOnWorker } from './tasks.js';
import { setWorker } from './worker-index.js';
import { updateWorker } from './update.js';

/** Time within which an order without an answer may still be carried out. */
export const DELAYED_ORDER_MILLISECONDS = 13_000;

/** Time within which the start of another life under the same id is certainly noticed. */
const RESTART_DETECTION_MILLISECONDS = 6_000;

/** Whether an order to start a run may yet be carried out, by the life that follows under the same id too. */
function mayStillStart(run: Run): boolean {
  return run.phase !== 'recording' && (run.hasUnansweredStart || run.startedAt === null);
}

/** Whether a run may be on the life that follows: one that has just begun may have answered in place of the former. */
export function mayRunOnNextIncarnation(state: ServiceState, run: Run): boolean {
  const isRecent = run.startedAt !== null && state.now - run.startedAt < RESTART_DETECTION_MILLISECONDS;
  return mayStillStart(run) || (run.phase !== 'recording' && isRecent);
}

/** Takes runs away, which are not acknowledged as ended: their tasks wait again. */
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

/** Takes the runs on a worker whose life is over away: their tasks wait again. */
function* dropRunsOnWorker(
  state: ServiceState,
  worker: WorkerState,
  reason: string,
): ServiceStep<ServiceState> {
  return yield* dropRuns(state, [...runsOnWorker(state, worker)], reason);
}

/** A worker's life is over: nothing runs on it any more. */
export function* handleWorkerTermination(
  state: ServiceState,
  workerId: string,
  reason: string,
): ServiceStep<ServiceState> {
  const worker = state.workers.get(workerId);
  if (worker === undefined) return state;
  const { hostId, incarnation } = worker.listing;
  yield { kind: 'log', decision: 'workerLost', fields: { workerId, hostId, reason, incarnation } };
  const gone = setWorker(state, updateWorker(worker, { isTerminated: true }));
  const over = [...runsOnWorker(state, worker)].filter(([, run]) => !mayStillStart(run));
  return yield* dropRuns(gone, over, reason);
}

/** Gives up runs that a worker that is gone never started, once no order for them can come late. */
function* dropUnstartedRuns(state: ServiceState): ServiceStep<ServiceState> {
  let next = state;
  for (const worker of state.workers.values()) {
    const unstarted = worker.isTerminated ? [...runsOnWorker(state, worker)] : [];
    const over = unstarted.filter(
      ([, run]) => state.now > (run.sentAt ?? run.placedAt) + DELAYED_ORDER_MILLISECONDS,
    );
    next = yield* dropRuns(next, over, 'its worker is gone');
  }
  return next;
}

/** A host runs another worker under another id, or is there no more: orders that name the former one go nowhere. */
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

export function* dropOrphanRuns(
  state: ServiceState,
  isOver: (workerId: string) => boolean,
  reason: string,
): ServiceStep<ServiceState> {
  const over = orphanRuns(
    state,
    ({ workerId, incarnation }) =>
      state.workers.get(workerId)?.listing.incarnation !== incarnation && isOver(workerId),
  );
  return yield* dropRuns(state, over, reason);
}

/** Gives up runs on workers out of reach whose leases are certainly over. */
export function* dropLapsedRuns(state: ServiceState): ServiceStep<ServiceState> {
  let next = yield* dropUnstartedRuns(state);
  for (const worker of state.workers.values()) {
    const isOutOfReach = worker.silentSince !== null && !worker.isTerminated;
    if (isOutOfReach && !worker.tasks.isEmpty() && haveAllLeasesExpired(state, worker)) {
      const { workerId } = worker.listing;
      yield { kind: 'log', decision: 'leaseLapsed', fields: { workerId, leaseUntil: worker.leaseUntil } };
      next = yield* dropRunsOnWorker(next, worker, 'its lease is over');
    }
  }
  if (!haveAllLeasesExpired(state, null)) return next;
  return yield* dropOrphanRuns(next, () => true, 'its lease is over');
}
