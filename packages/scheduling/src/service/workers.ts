/** Tracks workers: their entries in the register, their incarnations and their leases. */
import { Map as PersistentMap, Set as PersistentSet } from 'immutable';
import { taskIdOf } from '../model/job.js';
import { NO_RESOURCES } from '../model/resources.js';
import type { HostListing, WorkerListing } from '../model/worker.js';
import { recordWorkerCrash } from '../decide/quarantine/crash-evidence.js';
import { findMassSuspects } from '../decide/quarantine/quarantined-tasks.js';
import type { ServiceStep } from '../state/effect.js';
import type { ServiceEventOf } from '../state/event.js';
import { extendLease } from '../state/lease.js';
import {
  DELAYED_ORDER_MILLISECONDS,
  dropOrphansOfEndedWorkers,
  dropRuns,
  dropRunsOfReplacedWorkers,
  handleWorkerTermination,
  mayRunOnNextIncarnation,
} from './lost-runs.js';
import { orderStop } from './runs.js';
import { SURVIVAL_MILLISECONDS } from '../state/quarantine-state.js';
import type { ServiceState, WorkerState } from '../state/service-state.js';
import {
  adoptOrphans,
  changeRun,
  findRun,
  findTask,
  groupOrphans,
  runsOnWorker,
  type OrphansByWorker,
} from '../state/tasks.js';
import { removeWorker, setWorker } from '../state/worker-index.js';
import { updateRun, updateService, updateWorker } from '../state/update.js';

function newWorker(state: ServiceState, listing: WorkerListing): WorkerState {
  const { clockMilliseconds } = listing;
  return {
    listing,
    foundAt: state.now,
    isListed: true,
    isTerminated: false,
    hasAcknowledgedEpoch: false,
    formerStops: { kind: 'possible' },
    reportPending: false,
    lastReportAt: null,
    silentSince: null,
    clockReading: clockMilliseconds === null ? null : { milliseconds: clockMilliseconds, at: state.now },
    leaseUntil: 0,
    processedEnd: 0,
    storedEnd: 0,
    drainState: { kind: 'none' },
    committed: NO_RESOURCES,
    lastingCount: 0,
    tasks: PersistentMap(),
    images: PersistentMap(),
    servingTaskIds: PersistentSet(),
    fillingTaskIds: PersistentSet(),
    startingTasks: PersistentMap(),
    pacing: null,
    cooldownUntil: 0,
    consecutiveFailures: 0,
    consecutiveCooldowns: 0,
    lastSuccessAt: null,
  };
}

/** Longest time without a report after which a lease is renewed although run ends of the worker are not stored yet. */
const MAX_RENEWAL_PAUSE_MILLISECONDS = 300;

function isRenewalDue(state: ServiceState, worker: WorkerState): boolean {
  const isStored = worker.processedEnd <= worker.storedEnd;
  const pausedFor = state.now - (worker.lastReportAt ?? -Infinity);
  return !worker.reportPending && (isStored || pausedFor >= MAX_RENEWAL_PAUSE_MILLISECONDS);
}

/**
 * Renews the leases of the given workers that have no renewal in flight: at once if their run ends are stored,
 * otherwise after `MAX_RENEWAL_PAUSE_MILLISECONDS` without a report.
 */
export function* renewLeases(state: ServiceState, workerIds: Iterable<string>): ServiceStep<ServiceState> {
  let next = state;
  for (const workerId of workerIds) {
    const worker = next.workers.get(workerId);
    if (worker !== undefined && isRenewalDue(next, worker)) next = yield* renewLease(next, workerId, 0);
  }
  return next;
}

/** Renews the lease of every worker for which a renewal is due. */
export function* renewDueLeases(state: ServiceState): ServiceStep<ServiceState> {
  return yield* renewLeases(state, state.workers.keys());
}

/** Longest time between reports of a worker with filling tasks beside serving tasks. */
const PACED_REPORT_WAIT_MILLISECONDS = 400;

/** Longest time between reports of a worker with a suspect while many others wait until it has shown to be sound. */
const SUSPECT_REPORT_WAIT_MILLISECONDS = SURVIVAL_MILLISECONDS + 50;

/** Returns how long a worker may wait for something to report. */
function reportWaitMilliseconds(state: ServiceState, worker: WorkerState): number {
  if (!worker.hasAcknowledgedEpoch) return 0;
  const isPaced = !worker.fillingTaskIds.isEmpty() && !worker.servingTaskIds.isEmpty();
  const isIsolated = state.quarantine.workers.has(worker.listing.workerId);
  const isAwaited = isIsolated && findMassSuspects(state).size > 0;
  return Math.min(
    state.parameters.reportWaitMilliseconds,
    isPaced ? PACED_REPORT_WAIT_MILLISECONDS : Infinity,
    isAwaited ? SUSPECT_REPORT_WAIT_MILLISECONDS : Infinity,
  );
}

/** Renews a worker's lease and requests a report of its runs. */
export function* renewLease(
  state: ServiceState,
  workerId: string,
  delayMilliseconds: number,
): ServiceStep<ServiceState> {
  const worker = state.workers.get(workerId);
  if (worker === undefined || worker.reportPending || worker.isTerminated) return state;
  const [renewed, leaseUntil] = extendLease(state, worker);
  const { address, incarnation } = worker.listing;
  yield {
    kind: 'renew-lease',
    workerId,
    address,
    incarnation,
    fencingEpoch: state.fencingEpoch,
    leaseUntil: leaseUntil > 0 ? leaseUntil : null,
    // After a silence another incarnation may answer under the same id. It numbers its run ends from 1 again.
    acknowledgedEnd: worker.silentSince === null ? worker.storedEnd : 0,
    waitMilliseconds: reportWaitMilliseconds(state, worker),
    delayMilliseconds,
  };
  return setWorker(state, updateWorker(renewed, { reportPending: true }));
}

/** Returns whether an unanswered order to start may still be executed by the next incarnation of a worker. */
function mayReceiveDelayedStart(state: ServiceState, workerId: string): boolean {
  const unansweredAt = state.unansweredStarts.get(workerId);
  return unansweredAt !== undefined && state.now - unansweredAt < DELAYED_ORDER_MILLISECONDS;
}

function* addWorker(
  state: ServiceState,
  listing: WorkerListing,
  orphans: OrphansByWorker,
): ServiceStep<ServiceState> {
  const { workerId, hostId, incarnation } = listing;
  yield { kind: 'log', decision: 'workerFound', fields: { workerId, hostId, incarnation } };
  const restartedWorkerId = mayReceiveDelayedStart(state, workerId) ? workerId : state.restartedWorkerId;
  const added = setWorker(updateService(state, { restartedWorkerId }), newWorker(state, listing));
  return yield* renewLease(adoptOrphans(added, workerId, incarnation, orphans), workerId, 0);
}

/**
 * Replaces a worker by its next incarnation under the same id. Orders name only the worker id, so the new incarnation
 * may have executed orders that were sent to the former one. Runs whose start was answered are expected in its reports;
 * runs whose start was not answered are stopped on it before they are started elsewhere.
 */
export function* handleRestart(
  before: ServiceState,
  former: WorkerState,
  listing: WorkerListing,
): ServiceStep<ServiceState> {
  const { workerId, hostId, incarnation } = listing;
  yield {
    kind: 'log',
    decision: 'workerLost',
    fields: { workerId, hostId, reason: 'it restarted', incarnation: former.listing.incarnation },
  };
  const state = recordWorkerCrash(before, former);
  const runs = [...runsOnWorker(state, former)];
  const carriedOver = runs.filter(([, run]) => mayRunOnNextIncarnation(state, run));
  let next = yield* dropRuns(
    state,
    runs.filter(([, run]) => !mayRunOnNextIncarnation(state, run)),
    'its worker restarted',
  );
  const acknowledgedAt = state.now;
  for (const [key, run] of carriedOver) {
    next = changeRun(next, key, run, (current) =>
      updateRun(current, { incarnation, phase: 'running', acknowledgedAt, pace: null }),
    );
  }
  const orphanTaskIds = next.orphanTaskIds.union(carriedOver.map(([key]) => taskIdOf(key)));
  const obsoleteRunJobIds = next.obsoleteRunJobIds.union(carriedOver.map(([key]) => key.jobId));
  const removed = removeWorker(updateService(next, { orphanTaskIds, obsoleteRunJobIds }), workerId);
  next = yield* addWorker(removed, listing, groupOrphans(removed));
  for (const [key, run] of carriedOver) {
    const carriedRun = findRun(findTask(next, key), workerId, incarnation, run.run);
    const mayRun = run.hasUnansweredStart || run.phase === 'starting';
    if (carriedRun !== null && mayRun) next = yield* orderStop(next, key, carriedRun, 'its worker restarted');
  }
  return next;
}

function* applyListing(
  state: ServiceState,
  listing: WorkerListing,
  orphans: OrphansByWorker,
): ServiceStep<ServiceState> {
  const known = state.workers.get(listing.workerId);
  if (known === undefined) return yield* addWorker(state, listing, orphans);
  if (known.listing.incarnation < listing.incarnation) return yield* handleRestart(state, known, listing);
  if (known.listing.incarnation > listing.incarnation) return state;
  return setWorker(state, updateWorker(known, { listing, isListed: true }));
}

/** Removes workers that are not in the register, have no runs and are terminated or do not answer. */
function removeObsoleteWorkers(state: ServiceState): ServiceState {
  const workers = state.workers.filter(
    (worker) =>
      worker.isListed || !worker.tasks.isEmpty() || (!worker.isTerminated && worker.silentSince === null),
  );
  return workers.size === state.workers.size ? state : updateService(state, { workers });
}

/** Applies the list of all workers in the register. */
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
  for (const listing of workers) next = yield* applyListing(next, listing, orphans);
  return removeObsoleteWorkers(next);
}

/** Returns the hosts that the list shows to be down on purpose. */
function hostsInPlannedWork(hosts: readonly HostListing[]): ReadonlySet<string> {
  const isPlanned = ({ state }: HostListing): boolean => state === 'moving' || state === 'upkeep';
  return new Set(hosts.filter(isPlanned).map(({ hostId }) => hostId));
}

/** Applies the platform's list of hosts, which shows the worker incarnations that have ended. */
export function* handleHostsListed(
  state: ServiceState,
  { hosts, askedAt }: ServiceEventOf<'hosts-listed'>,
): ServiceStep<ServiceState> {
  const alive = new Set(hosts.map((host) => host.workerId));
  const planned = hostsInPlannedWork(hosts);
  let next = state;
  for (const worker of state.workers.values()) {
    const { workerId, hostId } = worker.listing;
    const isAlive = alive.has(workerId);
    const wasKnown = Math.max(worker.foundAt, worker.lastReportAt ?? 0) < askedAt;
    if (!isAlive && wasKnown && !worker.isTerminated) {
      const reason = 'its host no longer runs it';
      next = yield* handleWorkerTermination(next, workerId, reason, planned.has(hostId));
    }
    if (isAlive && worker.isTerminated) {
      next = yield* renewLease(setWorker(next, updateWorker(worker, { isTerminated: false })), workerId, 0);
    }
  }
  next = yield* dropRunsOfReplacedWorkers(next, hosts);
  if (askedAt <= state.claimedAt) return next;
  return yield* dropOrphansOfEndedWorkers(next, (workerId) => alive.has(workerId));
}
