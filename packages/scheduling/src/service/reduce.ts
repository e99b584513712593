/** The reducer of a service's scheduler: one event in, effects out, and the next state. */
import type { TaskKey } from '../model/job.js';
import type { StoredServiceRecord } from '../model/records.js';
import { stopIncompleteGangs } from '../decide/gang.js';
import { ejectUnhealthyWorkers } from '../decide/health.js';
import { placeWaitingTasks } from '../decide/place-tasks.js';
import type { ServiceStep } from './effect.js';
import type { ServiceEvent } from './event.js';
import { acceptJob, beginDueOccurrences, cancelJob, runsOfJob } from './jobs.js';
import { forgetJobs } from './forget.js';
import { flushOutbox, handleRecordsStored } from './outbox.js';
import { offerEveryWorker } from './placement-need.js';
import { emptyLeavingWorkers, handleHostsWished } from './release.js';
import { handleStartSettled, handleStopSettled, orderStop, workerOf } from './runs.js';
import type { Instant, ServiceState } from './state.js';
import { findTask } from './tasks.js';
import { dropLapsedRuns } from './losses.js';
import { handleWorkerReported, handleWorkerSilent } from './reports.js';
import { offerWorker } from './worker-index.js';
import { handleHostsListed, handleWorkersListed, renewIdleLeases } from './workers.js';
import { updateService } from './update.js';

function* giveUp(state: ServiceState, reason: string): ServiceStep<ServiceState> {
  if (state.isSuperseded) return state;
  yield { kind: 'log', decision: 'ownershipSuperseded', fields: { service: state.service, reason } };
  yield { kind: 'give-up-ownership', reason, claimsAgain: false };
  return updateService(state, { isSuperseded: true });
}

/** Claims the service again where its fencing token must rise to keep late orders out of a worker's next life. */
function* renewClaim(state: ServiceState): ServiceStep<ServiceState> {
  const { reborn } = state;
  if (reborn === null || state.isSuperseded) return state;
  yield { kind: 'log', decision: 'claimRenewed', fields: { service: state.service, workerId: reborn } };
  yield { kind: 'give-up-ownership', reason: 'a worker started again', claimsAgain: true };
  return updateService(state, { isSuperseded: true });
}

function* handleRecord(
  state: ServiceState,
  { offset, record }: StoredServiceRecord,
): ServiceStep<ServiceState> {
  switch (record.kind) {
    case 'job-accepted':
      return record.request.service === state.service ? yield* acceptJob(state, record.request) : state;
    case 'job-cancelled':
      return yield* cancelJob(state, record.jobId);
    case 'ownership-claimed':
      return offset > state.fencingEpoch ? yield* giveUp(state, 'a newer claim was read') : state;
    default:
      return state;
  }
}

function* handleRecords(
  state: ServiceState,
  records: readonly StoredServiceRecord[],
  askedAt: number,
): ServiceStep<ServiceState> {
  let next = state;
  for (const stored of records) next = yield* handleRecord(next, stored);
  return next.isSuperseded ? next : updateService(next, { provenAt: Math.max(next.provenAt, askedAt) });
}

/** Stops runs of jobs that are over and of tasks that are done: an earlier owner may not have come to it. */
function* stopNeedlessRuns(state: ServiceState): ServiceStep<ServiceState> {
  let next = state;
  for (const jobId of state.needlessJobIds.union(state.overJobIds)) {
    const job = state.jobs.get(jobId);
    const isNeedless = (key: TaskKey): boolean =>
      job?.phase !== 'active' || findTask(state, key)?.isDone === true;
    const needless = job === undefined ? [] : runsOfJob(job).filter(([key]) => isNeedless(key));
    if (needless.length === 0) {
      next = updateService(next, { needlessJobIds: next.needlessJobIds.remove(jobId) });
    }
    for (const [key, run] of needless) {
      const isReachable = workerOf(state, run)?.isHeld === true;
      if (isReachable) next = yield* orderStop(next, key, run, 'its job or task is over');
    }
  }
  return next;
}

/** Ticks from one look at every worker and many waiting steps to the next. */
const TICKS_PER_LOOK = 10;

/** Considers workers whose rest is over, and now and then all. */
function offerRestedWorkers(state: ServiceState, lastTickAt: Instant): ServiceState {
  if (state.ticks.count % TICKS_PER_LOOK === 0) return offerEveryWorker(state);
  let next = state;
  for (const { restUntil, listing } of state.workers.values()) {
    if (restUntil > lastTickAt && restUntil <= state.now) next = offerWorker(next, listing.workerId);
  }
  return next;
}

function beginDueJobs(state: ServiceState): ServiceState {
  let next = state;
  for (const jobId of state.repeatingJobIds) {
    const job = next.jobs.get(jobId);
    if (job !== undefined) next = beginDueOccurrences(next, job);
  }
  return next;
}

function* tick(before: ServiceState): ServiceStep<ServiceState> {
  const state = updateService(before, { ticks: { count: before.ticks.count + 1, lastAt: before.now } });
  let next = yield* renewIdleLeases(yield* dropLapsedRuns(state));
  next = yield* stopNeedlessRuns(next);
  next = yield* ejectUnhealthyWorkers(next);
  next = beginDueJobs(yield* emptyLeavingWorkers(next));
  return offerRestedWorkers(yield* forgetJobs(next), before.ticks.lastAt);
}

function* handle(state: ServiceState, event: ServiceEvent): ServiceStep<ServiceState> {
  switch (event.kind) {
    case 'ticked':
      return yield* tick(state);
    case 'records-read':
      return yield* handleRecords(state, event.records, event.askedAt);
    case 'records-stored':
      return yield* handleRecordsStored(state, event);
    case 'ownership-lost':
      return yield* giveUp(state, 'the store has seen a newer owner');
    case 'workers-listed':
      return yield* handleWorkersListed(state, event);
    case 'hosts-listed':
      return yield* handleHostsListed(state, event);
    case 'worker-reported':
      return yield* handleWorkerReported(state, event);
    case 'worker-fenced':
      return yield* giveUp(state, `worker ${event.workerId} has seen a newer owner`);
    case 'worker-silent':
      return yield* handleWorkerSilent(state, event);
    case 'start-settled':
      return event.outcome === 'fenced'
        ? yield* giveUp(state, `worker ${event.address.workerId} has seen a newer owner`)
        : yield* handleStartSettled(state, event);
    case 'stop-settled':
      return event.outcome === 'fenced'
        ? yield* giveUp(state, `worker ${event.address.workerId} has seen a newer owner`)
        : yield* handleStopSettled(state, event);
    case 'hosts-wished':
      return yield* handleHostsWished(state, event);
    case 'stop-requested':
      return updateService(state, { isStopping: true });
    default:
      return state;
  }
}

/** Reduces one event. Pure: equal states and events give equal effects and states. */
export function* reduceService(before: ServiceState, event: ServiceEvent): ServiceStep<ServiceState> {
  if (before.isSuperseded) return before;
  const now = Math.max(before.now, event.at);
  const handled = yield* handle(updateService(before, { now, timeOfDay: event.timeOfDay }), event);
  if (handled.reborn !== null) return yield* renewClaim(handled);
  if (handled.isSuperseded) return handled;
  const whole = yield* stopIncompleteGangs(handled);
  const placed = yield* placeWaitingTasks(whole);
  return yield* flushOutbox(placed);
}
