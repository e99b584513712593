/** Keeps what is known of workers: the register, their reports, their silence and their loss. */
import { Map as PersistentMap } from 'immutable';
import { taskIdOf, type TaskKey } from '../model/job.js';
import { NO_RESOURCES } from '../model/resources.js';
import type {
  EndedReport,
  HostListing,
  RunningReport,
  WorkerListing,
  WorkerReport,
} from '../model/worker.js';
import type { ServiceStep } from './effect.js';
import { handleRunEnd } from './ends.js';
import type { ServiceEventOf } from './event.js';
import { isWorkOver, offerLease, readClock } from './lease.js';
import { orderStop, repeatStop, runFields } from './runs.js';
import type { Run, ServiceState, WorkerState } from './state.js';
import {
  adoptOrphans,
  changeRun,
  findRun,
  findTask,
  orphanRuns,
  removeRun,
  runsOn,
  setWorker,
} from './tasks.js';

/** Pause before a worker that did not answer is asked again. */
const SILENT_PAUSE_MILLISECONDS = 200;

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
    tasks: PersistentMap(),
    restUntil: 0,
    failuresInARow: 0,
    restsInARow: 0,
    lastSuccessAt: null,
  };
}

/** Time without a question to a worker after which it is asked although ends wait to be stored. */
const LONGEST_PAUSE_MILLISECONDS = 300;

/** Asks the workers that nobody asks now: at once where their ends are stored, else after a pause. */
export function* renewIdleLeases(state: ServiceState): ServiceStep<ServiceState> {
  let next = state;
  for (const worker of state.workers.values()) {
    const isStored = worker.processedEnd <= worker.storedEnd;
    const pausedFor = state.now - (worker.lastReportAt ?? -Infinity);
    if (!worker.reportPending && (isStored || pausedFor >= LONGEST_PAUSE_MILLISECONDS)) {
      next = yield* renewLease(next, worker.listing.workerId, 0);
    }
  }
  return next;
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
  return setWorker(state, { ...offered, reportPending: true });
}

function* dropEach(
  state: ServiceState,
  runs: readonly (readonly [key: TaskKey, run: Run])[],
  reason: string,
): ServiceStep<ServiceState> {
  let next = state;
  for (const [key, run] of runs) {
    yield { kind: 'log', decision: 'taskEnded', fields: { ...runFields(key, run), end: reason } };
    next = removeRun(next, key, run);
  }
  return next;
}

/** Takes the runs on a worker whose life is over away: their tasks wait again. */
function* dropRuns(state: ServiceState, worker: WorkerState, reason: string): ServiceStep<ServiceState> {
  return yield* dropEach(state, [...runsOn(state, worker)], reason);
}

/** Time within which an order without an answer may still be carried out. */
const LATE_ORDER_MILLISECONDS = 13_000;

/** Whether an order to a former life of a worker may yet be carried out by the one that follows. */
function mayGetLateStart(state: ServiceState, workerId: string): boolean {
  const unansweredAt = state.unansweredStarts.get(workerId);
  return unansweredAt !== undefined && state.now - unansweredAt < LATE_ORDER_MILLISECONDS;
}

function* addWorker(state: ServiceState, listing: WorkerListing): ServiceStep<ServiceState> {
  const { workerId, hostId, incarnation } = listing;
  yield { kind: 'log', decision: 'workerFound', fields: { workerId, hostId, incarnation } };
  const reborn = mayGetLateStart(state, workerId) ? workerId : state.reborn;
  const added = setWorker({ ...state, reborn }, newWorker(state, listing));
  return yield* renewLease(adoptOrphans(added, workerId, incarnation), workerId, 0);
}

/** Time within which the start of another life under the same id is certainly noticed. */
const REBIRTH_NOTICE_MILLISECONDS = 6_000;

/** Whether an order to start a run may yet be carried out, by the life that follows under the same id too. */
function mayStartYet(run: Run): boolean {
  return run.phase !== 'recording' && (run.mayStartLate || run.startedAt === null);
}

/** Whether a run may be on the life that follows: one that has just begun may have answered in place of the former. */
function mayBeOnNextLife(state: ServiceState, run: Run): boolean {
  const isRecent = run.startedAt !== null && state.now - run.startedAt < REBIRTH_NOTICE_MILLISECONDS;
  return mayStartYet(run) || (run.phase !== 'recording' && isRecent);
}

/**
 * A worker came back under its old id. Orders that were sent to its former life name the id, so the new one may have
 * taken them: what was answered is looked for in its lists, what was not is stopped there before it starts elsewhere.
 */
function* replaceWorker(
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
    next = changeRun(next, key, run, (one) => ({ ...one, incarnation, phase: 'running', settledAt }));
  }
  const orphanTaskIds = next.orphanTaskIds.union(kept.map(([key]) => taskIdOf(key)));
  next = yield* addWorker({ ...next, orphanTaskIds, workers: next.workers.remove(workerId) }, listing);
  for (const [key, run] of kept) {
    const moved = findRun(findTask(next, key), workerId, incarnation, run.run);
    const isDoubtful = run.mayStartLate || run.phase === 'starting';
    if (moved !== null && isDoubtful) next = yield* orderStop(next, key, moved, 'its worker started again');
  }
  return next;
}

function* listWorker(state: ServiceState, listing: WorkerListing): ServiceStep<ServiceState> {
  const known = state.workers.get(listing.workerId);
  if (known === undefined) return yield* addWorker(state, listing);
  if (known.listing.incarnation < listing.incarnation) return yield* replaceWorker(state, known, listing);
  if (known.listing.incarnation > listing.incarnation) return state;
  return setWorker(state, { ...known, listing, isListed: true });
}

/** A worker's life is over: nothing runs on it any more. */
export function* loseWorker(
  state: ServiceState,
  workerId: string,
  reason: string,
): ServiceStep<ServiceState> {
  const worker = state.workers.get(workerId);
  if (worker === undefined) return state;
  const { hostId, incarnation } = worker.listing;
  yield { kind: 'log', decision: 'workerLost', fields: { workerId, hostId, reason, incarnation } };
  const gone = setWorker(state, { ...worker, isGone: true });
  const over = [...runsOn(state, worker)].filter(([, run]) => !mayStartYet(run));
  return yield* dropEach(gone, over, reason);
}

/** Gives up runs that a worker that is gone never started, once no order for them can come late. */
function* dropUnstartedRuns(state: ServiceState): ServiceStep<ServiceState> {
  let next = state;
  for (const worker of state.workers.values()) {
    const unstarted = worker.isGone ? [...runsOn(state, worker)] : [];
    const over = unstarted.filter(
      ([, run]) => state.now > (run.sentAt ?? run.placedAt) + LATE_ORDER_MILLISECONDS,
    );
    next = yield* dropEach(next, over, 'its worker is gone');
  }
  return next;
}

/** A host runs another worker under another id, or is there no more: orders that name the former one go nowhere. */
function* dropFormerRuns(state: ServiceState, hosts: readonly HostListing[]): ServiceStep<ServiceState> {
  const current = new Map(hosts.map((host) => [host.hostId, host.workerId]));
  let next = state;
  for (const worker of state.workers.values()) {
    const { hostId, workerId } = worker.listing;
    const successor = current.get(hostId);
    if (worker.isGone && successor !== null && successor !== workerId) {
      next = yield* dropRuns(next, worker, 'its host runs another worker');
    }
  }
  return next;
}

/** Forgets workers that neither the register nor any run needs. */
function forgetWorkers(state: ServiceState): ServiceState {
  const workers = state.workers.filter(
    (worker) => worker.isListed || !worker.tasks.isEmpty() || (!worker.isGone && worker.silentSince === null),
  );
  return workers.size === state.workers.size ? state : { ...state, workers };
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
      next = setWorker(next, { ...worker, isListed: false });
    }
  }
  for (const listing of workers) next = yield* listWorker(next, listing);
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
      next = yield* renewLease(setWorker(next, { ...worker, isGone: false }), workerId, 0);
    }
  }
  next = yield* dropFormerRuns(next, hosts);
  if (askedAt <= state.claimedAt) return next;
  return yield* dropOrphans(next, (workerId) => !alive.has(workerId), 'its host runs it no more');
}

function* dropOrphans(
  state: ServiceState,
  isOver: (workerId: string) => boolean,
  reason: string,
): ServiceStep<ServiceState> {
  const over = orphanRuns(
    state,
    ({ workerId, incarnation }) =>
      state.workers.get(workerId)?.listing.incarnation !== incarnation && isOver(workerId),
  );
  return yield* dropEach(state, over, reason);
}

/** Gives up runs on workers out of reach whose leases are certainly over. */
export function* dropLapsedRuns(state: ServiceState): ServiceStep<ServiceState> {
  let next = yield* dropUnstartedRuns(state);
  for (const worker of state.workers.values()) {
    const isOutOfReach = worker.silentSince !== null && !worker.isGone;
    if (isOutOfReach && !worker.tasks.isEmpty() && isWorkOver(state, worker)) {
      const { workerId } = worker.listing;
      yield { kind: 'log', decision: 'leaseLapsed', fields: { workerId, leaseUntil: worker.leaseUntil } };
      next = yield* dropRuns(next, worker, 'its lease is over');
    }
  }
  if (!isWorkOver(state, null)) return next;
  return yield* dropOrphans(next, () => true, 'its lease is over');
}

function* workInEnds(
  state: ServiceState,
  workerId: string,
  incarnation: number,
  ended: readonly EndedReport[],
): ServiceStep<ServiceState> {
  const processed = state.workers.get(workerId)?.processedEnd ?? 0;
  let next = state;
  for (const { number, task, run: runNumber, end, checkpoint } of ended) {
    const run = number > processed ? findRun(findTask(next, task), workerId, incarnation, runNumber) : null;
    if (run !== null) next = yield* handleRunEnd(next, task, run, end, checkpoint);
  }
  const worker = next.workers.get(workerId);
  if (worker === undefined) return next;
  const processedEnd = Math.max(processed, ...ended.map(({ number }) => number));
  return setWorker(next, { ...worker, processedEnd });
}

function noteRunning(
  state: ServiceState,
  workerId: string,
  incarnation: number,
  row: RunningReport,
): ServiceState {
  const run = findRun(findTask(state, row.task), workerId, incarnation, row.run);
  const isKnown = run?.startedAt !== null && run?.percent === row.percent;
  if (run === null || (isKnown && run.phase !== 'starting')) return state;
  return changeRun(state, row.task, run, (one) => ({
    ...one,
    phase: one.phase === 'starting' || one.phase === 'recording' ? 'running' : one.phase,
    settledAt: one.settledAt ?? state.now,
    startedAt: one.startedAt ?? state.now,
    percent: row.percent,
  }));
}

/** A worker runs what we have no run for: an order that was carried out late, or a job that is forgotten. */
function* stopStray(state: ServiceState, worker: WorkerState, row: RunningReport): ServiceStep<void> {
  const { workerId, incarnation, address } = worker.listing;
  yield {
    kind: 'log',
    decision: 'strayRunStopped',
    fields: { jobId: row.task.jobId, run: row.run, workerId },
  };
  yield {
    kind: 'stop-run',
    address: { task: row.task, run: row.run, workerId, incarnation },
    workerAddress: address,
    fencingEpoch: state.fencingEpoch,
    delayMilliseconds: 0,
  };
}

/** An earlier owner started the run: the report shows our fencing token, so that owner's orders come too late now. */
function isInherited({ phase, settledAt, sentAt }: Run): boolean {
  return settledAt === null && (phase === 'running' || (phase === 'stopping' && sentAt === null));
}

/** Works in the runs that a report lists as going on, and those that it should list and does not. */
function* workInRunning(
  state: ServiceState,
  workerId: string,
  report: WorkerReport,
  askedAt: number,
): ServiceStep<ServiceState> {
  const worker = state.workers.get(workerId);
  if (worker === undefined) return state;
  const { incarnation } = report;
  let next = state;
  for (const row of report.running) {
    const run = findRun(findTask(next, row.task), workerId, incarnation, row.run);
    if (run === null) yield* stopStray(next, worker, row);
    else if (run.phase === 'stopping') next = yield* repeatStop(next, row.task, run);
    else next = noteRunning(next, workerId, incarnation, row);
  }
  const listed = new Map(report.running.map(({ task, run }) => [taskIdOf(task), run]));
  for (const [key, run] of [...runsOn(next, worker)]) {
    const isSettled = run.settledAt !== null && run.settledAt < askedAt;
    if ((isSettled || isInherited(run)) && listed.get(taskIdOf(key)) !== run.run) {
      yield {
        kind: 'log',
        decision: 'taskEnded',
        fields: { ...runFields(key, run), end: 'not on its worker' },
      };
      next = removeRun(next, key, run);
    }
  }
  return next;
}

/** Works in a worker's report and asks for the next one. */
export function* handleWorkerReported(
  before: ServiceState,
  { workerId, report, askedAt }: ServiceEventOf<'worker-reported'>,
): ServiceStep<ServiceState> {
  const worker = before.workers.get(workerId);
  if (worker === undefined) return before;
  if (report.incarnation !== worker.listing.incarnation) {
    return yield* handleOtherLife(before, worker, report);
  }
  if (worker.silentSince !== null) {
    const silentMilliseconds = Math.round(before.now - worker.silentSince);
    yield { kind: 'log', decision: 'workerBack', fields: { workerId, silentMilliseconds } };
  }
  const isNew = !worker.isHeld || worker.silentSince !== null;
  const due = { ...before, placementIsDue: before.placementIsDue || isNew };
  const noted = setWorker(due, {
    ...worker,
    reportPending: false,
    isHeld: true,
    silentSince: null,
    lastReportAt: before.now,
  });
  const clocked = readClock(noted, workerId, report.incarnation, report.clockMilliseconds, before.now);
  const ended = yield* workInEnds(clocked, workerId, report.incarnation, report.ended);
  const running = yield* workInRunning(ended, workerId, report, askedAt);
  const reported = running.workers.get(workerId);
  // A worker answers at once while it holds ends that it may not forget: it is asked again once they are stored.
  const awaitsStore = reported !== undefined && reported.processedEnd > reported.storedEnd;
  return awaitsStore ? running : yield* renewLease(running, workerId, 0);
}

/** The worker is another life than the register says: a newer one, or the register is ahead. */
function* handleOtherLife(
  state: ServiceState,
  worker: WorkerState,
  report: WorkerReport,
): ServiceStep<ServiceState> {
  const settled = setWorker(state, { ...worker, reportPending: false });
  if (report.incarnation < worker.listing.incarnation) {
    return yield* renewLease(settled, worker.listing.workerId, SILENT_PAUSE_MILLISECONDS);
  }
  const listing = {
    ...worker.listing,
    incarnation: report.incarnation,
    clockMilliseconds: report.clockMilliseconds,
  };
  return yield* replaceWorker(settled, { ...worker, reportPending: false }, listing);
}

/** A worker did not answer: it is asked again, and the list of hosts is looked at. */
export function* handleWorkerSilent(
  state: ServiceState,
  { workerId, askedAt }: ServiceEventOf<'worker-silent'>,
): ServiceStep<ServiceState> {
  const worker = state.workers.get(workerId);
  if (worker === undefined) return state;
  if (worker.silentSince === null) {
    yield { kind: 'log', decision: 'workerSilent', fields: { workerId, tasks: worker.tasks.size } };
    yield { kind: 'list-hosts' };
  }
  const silent = setWorker(state, {
    ...worker,
    reportPending: false,
    silentSince: worker.silentSince ?? askedAt,
  });
  return yield* renewLease(silent, workerId, SILENT_PAUSE_MILLISECONDS);
}
