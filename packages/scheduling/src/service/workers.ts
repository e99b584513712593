/** Keeps what is known of workers: the register, their lives and their leases. */
import { Map as PersistentMap } from 'immutable';
import { taskIdOf } from '../model/job.js';
import { NO_RESOURCES } from '../model/resources.js';
import type { WorkerListing } from '../model/worker.js';
import type { ServiceStep } from './effect.js';
import type { ServiceEventOf } from './event.js';
import { offerLease } from './lease.js';
import {
  dropEach,
  dropFormerRuns,
  dropOrphans,
  LATE_ORDER_MILLISECONDS,
  loseWorker,
  mayBeOnNextLife,
} from './losses.js';
import { orderStop } from './runs.js';
import type { ServiceState, WorkerState } from './state.js';
import {
  adoptOrphans,
  changeRun,
  findRun,
  findTask,
  groupOrphans,
  runsOn,
  type OrphansByWorker,
} from './tasks.js';
import { removeWorker, setWorker } from './worker-index.js';
import { updateRun, updateService, updateWorker } from './update.js';

function newWorker(state: ServiceState, listing: WorkerListing): WorkerState {
  const { clockMilliseconds } = listing;
  return {
    listing,
    foundAt: state.now,
    isListed: true,
    isGone: false,
    isHeld: false,
    reportPending: false,
    lastReportAt: null,
    silentSince: null,
    clockReading: clockMilliseconds === null ? null : { milliseconds: clockMilliseconds, at: state.now },
    leaseUntil: 0,
    processedEnd: 0,
    storedEnd: 0,
    hold: { kind: 'none' },
    committed: NO_RESOURCES,
    lastingCount: 0,
    tasks: PersistentMap(),
    restUntil: 0,
    failuresInARow: 0,
    restsInARow: 0,
    lastSuccessAt: null,
  };
}

/** Time without a question to a worker after which it is asked although ends wait to be stored. */
const LONGEST_PAUSE_MILLISECONDS = 300;

function isIdle(state: ServiceState, worker: WorkerState): boolean {
  const isStored = worker.processedEnd <= worker.storedEnd;
  const pausedFor = state.now - (worker.lastReportAt ?? -Infinity);
  return !worker.reportPending && (isStored || pausedFor >= LONGEST_PAUSE_MILLISECONDS);
}

/** Asks those of some workers that nobody asks now: at once where their ends are stored, else after a pause. */
export function* renewLeasesOf(state: ServiceState, workerIds: Iterable<string>): ServiceStep<ServiceState> {
  let next = state;
  for (const workerId of workerIds) {
    const worker = next.workers.get(workerId);
    if (worker !== undefined && isIdle(next, worker)) next = yield* renewLease(next, workerId, 0);
  }
  return next;
}

/** Asks every worker that nobody asks now. */
export function* renewIdleLeases(state: ServiceState): ServiceStep<ServiceState> {
  return yield* renewLeasesOf(state, state.workers.keys());
}

/** Asks a worker for its lists and renews its lease. */
export function* renewLease(
  state: ServiceState,
  workerId: string,
  delayMilliseconds: number,
): ServiceStep<ServiceState> {
  const worker = state.workers.get(workerId);
  if (worker === undefined || worker.reportPending || worker.isGone) return state;
  const [offered, leaseUntil] = offerLease(state, worker);
  const { address, incarnation } = worker.listing;
  yield {
    kind: 'renew-lease',
    workerId,
    address,
    incarnation,
    fencingEpoch: state.fencingEpoch,
    leaseUntil: leaseUntil > 0 ? leaseUntil : null,
    // After a silence another life may listen under the same id, whose ends count from 1 again.
    acknowledgedEnd: worker.silentSince === null ? worker.storedEnd : 0,
    waitMilliseconds: worker.isHeld ? state.parameters.reportWaitMilliseconds : 0,
    delayMilliseconds,
  };
  return setWorker(state, updateWorker(offered, { reportPending: true }));
}

/** Whether an order to a former life of a worker may yet be carried out by the one that follows. */
function mayGetLateStart(state: ServiceState, workerId: string): boolean {
  const unansweredAt = state.unansweredStarts.get(workerId);
  return unansweredAt !== undefined && state.now - unansweredAt < LATE_ORDER_MILLISECONDS;
}

function* addWorker(
  state: ServiceState,
  listing: WorkerListing,
  orphans: OrphansByWorker,
): ServiceStep<ServiceState> {
  const { workerId, hostId, incarnation } = listing;
  yield { kind: 'log', decision: 'workerFound', fields: { workerId, hostId, incarnation } };
  const reborn = mayGetLateStart(state, workerId) ? workerId : state.reborn;
  const added = setWorker(updateService(state, { reborn }), newWorker(state, listing));
  return yield* renewLease(adoptOrphans(added, workerId, incarnation, orphans), workerId, 0);
}

/**
 * A worker came back under its old id. Orders that were sent to its former life name the id, so the new one may have
 * taken them: what was answered is looked for in its lists, what was not is stopped there before it starts elsewhere.
 */
export function* replaceWorker(
  state: ServiceState,
  former: WorkerState,
  listing: WorkerListing,
): ServiceStep<ServiceState> {
  const { workerId, hostId, incarnation } = listing;
  yield {
    kind: 'log',
    decision: 'workerLost',
    fields: { workerId, hostId, reason: 'it started again', incarnation: former.listing.incarnation },
  };
  const runs = [...runsOn(state, former)];
  const kept = runs.filter(([, run]) => mayBeOnNextLife(state, run));
  let next = yield* dropEach(
    state,
    runs.filter(([, run]) => !mayBeOnNextLife(state, run)),
    'its worker started again',
  );
  const settledAt = state.now;
  for (const [key, run] of kept) {
    next = changeRun(next, key, run, (one) => updateRun(one, { incarnation, phase: 'running', settledAt }));
  }
  const orphanTaskIds = next.orphanTaskIds.union(kept.map(([key]) => taskIdOf(key)));
  const needlessJobIds = next.needlessJobIds.union(kept.map(([key]) => key.jobId));
  const removed = removeWorker(updateService(next, { orphanTaskIds, needlessJobIds }), workerId);
  next = yield* addWorker(removed, listing, groupOrphans(removed));
  for (const [key, run] of kept) {
    const moved = findRun(findTask(next, key), workerId, incarnation, run.run);
    const isDoubtful = run.mayStartLate || run.phase === 'starting';
    if (moved !== null && isDoubtful) next = yield* orderStop(next, key, moved, 'its worker started again');
  }
  return next;
}

function* listWorker(
  state: ServiceState,
  listing: WorkerListing,
  orphans: OrphansByWorker,
): ServiceStep<ServiceState> {
  const known = state.workers.get(listing.workerId);
  if (known === undefined) return yield* addWorker(state, listing, orphans);
  if (known.listing.incarnation < listing.incarnation) return yield* replaceWorker(state, known, listing);
  if (known.listing.incarnation > listing.incarnation) return state;
  return setWorker(state, updateWorker(known, { listing, isListed: true }));
}

/** Forgets workers that neither the register nor any run needs. */
function forgetWorkers(state: ServiceState): ServiceState {
  const workers = state.workers.filter(
    (worker) => worker.isListed || !worker.tasks.isEmpty() || (!worker.isGone && worker.silentSince === null),
  );
  return workers.size === state.workers.size ? state : updateService(state, { workers });
}

/** Works in the register of workers. */
export function* handleWorkersListed(
  state: ServiceState,
  { workers }: ServiceEventOf<'workers-listed'>,
): ServiceStep<ServiceState> {
  const listedIds = new Set(workers.map((listing) => listing.workerId));
  let next = state;
  for (const worker of state.workers.values()) {
    if (worker.isListed && !listedIds.has(worker.listing.workerId)) {
      next = setWorker(next, updateWorker(worker, { isListed: false }));
    }
  }
  const orphans = groupOrphans(next);
  for (const listing of workers) next = yield* listWorker(next, listing, orphans);
  return forgetWorkers(next);
}

/** Works in the platform's list of hosts, which tells the lives of workers that are over. */
export function* handleHostsListed(
  state: ServiceState,
  { hosts, askedAt }: ServiceEventOf<'hosts-listed'>,
): ServiceStep<ServiceState> {
  const alive = new Set(hosts.map((host) => host.workerId));
  let next = state;
  for (const worker of state.workers.values()) {
    const { workerId } = worker.listing;
    const isAlive = alive.has(workerId);
    const wasKnown = Math.max(worker.foundAt, worker.lastReportAt ?? 0) < askedAt;
    if (!isAlive && wasKnown && !worker.isGone) {
      next = yield* loseWorker(next, workerId, 'its host runs it no more');
    }
    if (isAlive && worker.isGone) {
      next = yield* renewLease(setWorker(next, updateWorker(worker, { isGone: false })), workerId, 0);
    }
  }
  next = yield* dropFormerRuns(next, hosts);
  if (askedAt <= state.claimedAt) return next;
  return yield* dropOrphans(next, (workerId) => !alive.has(workerId), 'its host runs it no more');
}
