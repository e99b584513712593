/** The reducer of a service's scheduler: one event in, effects out, and the next state. */
import type { StoredServiceRecord } from '../model/records.js';
import { stopIncompleteGangs } from '../decide/gang.js';
import { restSickWorkers } from '../decide/health.js';
import { placeWaitingTasks } from '../decide/place.js';
import type { ServiceStep } from './effect.js';
import type { ServiceEvent } from './event.js';
import { acceptJob, beginDueOccurrences, cancelJob, runsOfJob } from './jobs.js';
import { flushOutbox, handleRecordsStored } from './outbox.js';
import { emptyLeavingWorkers, handleHostsWished } from './release.js';
import { handleStartSettled, handleStopSettled, orderStop, workerOf } from './runs.js';
import type { ServiceState } from './state.js';
import { findTask } from './tasks.js';
import { dropLapsedRuns } from './losses.js';
import { handleWorkerReported, handleWorkerSilent } from './reports.js';
import { handleHostsListed, handleWorkersListed, renewIdleLeases } from './workers.js';

function* giveUp(state: ServiceState, reason: string): ServiceStep<ServiceState> {
  if (state.isSuperseded) return state;
  yield { kind: 'log', decision: 'ownershipSuperseded', fields: { service: state.service, reason } };
  yield { kind: 'give-up-ownership', reason, claimsAgain: false };
  return { ...state, isSuperseded: true };
}

/** Claims the service again where its fencing token must rise to keep late orders out of a worker's next life. */
function* renewClaim(state: ServiceState): ServiceStep<ServiceState> {
  const { reborn } = state;
  if (reborn === null || state.isSuperseded) return state;
  yield { kind: 'log', decision: 'claimRenewed', fields: { service: state.service, workerId: reborn } };
  yield { kind: 'give-up-ownership', reason: 'a worker started again', claimsAgain: true };
  return { ...state, isSuperseded: true };
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
  return next.isSuperseded ? next : { ...next, provenAt: Math.max(next.provenAt, askedAt) };
}

/** Forgets ended jobs whose runs are over: first their runs, later their status. */
function* forgetJobs(state: ServiceState): ServiceStep<ServiceState> {
  let next = state;
  for (const jobId of state.activeJobIds) {
    const job = state.jobs.get(jobId);
    const isOver = job === undefined || (job.recordedPhase !== 'active' && runsOfJob(job).length === 0);
    if (isOver && !next.dirtyJobIds.has(jobId)) {
      next = { ...next, activeJobIds: next.activeJobIds.remove(jobId) };
      if (job !== undefined) {
        next = { ...next, jobs: next.jobs.set(jobId, { ...job, occurrences: job.occurrences.clear() }) };
      }
    }
  }
  const forgetBefore = state.now - state.parameters.statusRetentionMilliseconds;
  for (const [jobId, job] of state.jobs) {
    if (job.endedAt !== null && job.endedAt < forgetBefore && !next.activeJobIds.has(jobId)) {
      yield { kind: 'log', decision: 'jobForgotten', fields: { jobId, phase: job.phase } };
      next = { ...next, jobs: next.jobs.remove(jobId), forgottenJobIds: next.forgottenJobIds.add(jobId) };
    }
  }
  const earlyCancels = next.earlyCancels.filter((since) => since >= forgetBefore);
  return earlyCancels.size === next.earlyCancels.size ? next : { ...next, earlyCancels };
}

/** Stops runs of jobs that are over and of tasks that are done: an earlier owner may not have come to it. */
function* stopNeedlessRuns(state: ServiceState): ServiceStep<ServiceState> {
  let next = state;
  for (const jobId of state.activeJobIds) {
    const job = state.jobs.get(jobId);
    for (const [key, run] of job === undefined ? [] : runsOfJob(job)) {
      const isNeedless = job?.phase !== 'active' || findTask(state, key)?.isDone === true;
      const isReachable = workerOf(state, run)?.isHeld === true;
      if (isNeedless && isReachable) next = yield* orderStop(next, key, run, 'its job or task is over');
    }
  }
  return next;
}

function* tick(state: ServiceState): ServiceStep<ServiceState> {
  let next = yield* renewIdleLeases(yield* dropLapsedRuns(state));
  next = yield* stopNeedlessRuns(next);
  next = yield* restSickWorkers(next);
  next = yield* emptyLeavingWorkers(next);
  for (const jobId of next.activeJobIds) {
    const job = next.jobs.get(jobId);
    if (job !== undefined) next = beginDueOccurrences(next, job);
  }
  return { ...(yield* forgetJobs(next)), placementIsDue: true };
}

function* handle(state: ServiceState, event: ServiceEvent): ServiceStep<ServiceState> {
  switch (event.kind) {
    case 'ticked':
      return yield* tick(state);
    case 'records-read':
      return yield* handleRecords(state, event.records, event.askedAt);
    case 'records-stored':
      return yield* renewIdleLeases(yield* handleRecordsStored(state, event));
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
      return { ...state, isStopping: true };
    default:
      return state;
  }
}

/** Reduces one event. Pure: equal states and events give equal effects and states. */
export function* reduceService(before: ServiceState, event: ServiceEvent): ServiceStep<ServiceState> {
  if (before.isSuperseded) return before;
  const now = Math.max(before.now, event.at);
  const handled = yield* handle({ ...before, now, timeOfDay: event.timeOfDay }, event);
  if (handled.reborn !== null) return yield* renewClaim(handled);
  if (handled.isSuperseded) return handled;
  const whole = handled.placementIsDue ? yield* stopIncompleteGangs(handled) : handled;
  const placed = yield* placeWaitingTasks(whole);
  return yield* flushOutbox(placed);
}
