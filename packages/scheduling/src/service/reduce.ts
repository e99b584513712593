/** Reducer of a service's scheduler: applies one event, yields effects and returns the next state. */
import type { TaskKey } from '../model/job.js';
import type { StoredServiceRecord } from '../model/records.js';
import { stopIncompleteGangs } from './gang.js';
import { reportBlockedTasks } from '../decide/placement/blocked-tasks.js';
import { ejectUnhealthyWorkers } from './health.js';
import { placeWaitingTasks } from '../decide/placement/place-tasks.js';
import { markQuarantineStale, placeQuarantinedTasks } from './quarantine.js';
import type { ServiceStep } from '../state/effect.js';
import type { ServiceEvent } from '../state/event.js';
import { reviewInterference } from './interference.js';
import { acceptJob, beginDueOccurrences, cancelJob, runsOfJob } from './jobs.js';
import { settleWorkerCrashes } from './crash-verdicts.js';
import { forgetJobs } from './forget-jobs.js';
import {
  cancelForwardedJob,
  forwardJob,
  handleJobForwarded,
  handleJobsUnknown,
  reviewForwardedJobs,
} from './forward-jobs.js';
import { flushOutbox, handleRecordsStored } from './outbox.js';
import { considerEveryWorker } from '../state/placement-changes.js';
import { drainLeavingWorkers, handleHostRequests } from './release.js';
import { handleStartSettled, handleStopSettled, orderStop, workerOfRun } from './runs.js';
import { handlePaceSettled } from './pacing.js';
import type { Instant } from '../model/instant.js';
import type { ServiceState } from '../state/service-state.js';
import { findTask } from '../state/tasks.js';
import { dropLapsedRuns } from './lost-runs.js';
import { reportOwnership } from './report-ownership.js';
import { handleWorkerReported, handleWorkerSilent } from './reports.js';
import { considerWorker } from '../state/worker-index.js';
import { handleHostsListed, handleWorkersListed, renewDueLeases } from './workers.js';
import { handleWorkspacesConfigured } from './workspace-grants.js';
import { updateService } from '../state/update.js';

function* giveUpOwnership(state: ServiceState, reason: string): ServiceStep<ServiceState> {
  if (state.isSuperseded) return state;
  yield { kind: 'log', decision: 'ownershipSuperseded', fields: { service: state.service, reason } };
  yield { kind: 'give-up-ownership', reason, claimsAgain: false };
  return updateService(state, { isSuperseded: true });
}

/**
 * Claims the service again after a worker restarted, so that the new incarnation refuses delayed orders to the former
 * one, which carry the lower fencing epoch.
 */
function* renewClaim(state: ServiceState): ServiceStep<ServiceState> {
  const { restartedWorkerId } = state;
  if (restartedWorkerId === null || state.isSuperseded) return state;
  yield {
    kind: 'log',
    decision: 'claimRenewed',
    fields: { service: state.service, workerId: restartedWorkerId },
  };
  yield { kind: 'give-up-ownership', reason: 'a worker restarted', claimsAgain: true };
  return updateService(state, { isSuperseded: true });
}

function* handleRecord(
  state: ServiceState,
  { offset, record }: StoredServiceRecord,
): ServiceStep<ServiceState> {
  switch (record.kind) {
    case 'job-accepted':
      return record.request.service === state.service
        ? yield* acceptJob(state, record.request)
        : yield* forwardJob(state, record.request);
    case 'job-cancelled':
      return state.forwarding.jobs.has(record.jobId)
        ? yield* cancelForwardedJob(state, record.jobId)
        : yield* cancelJob(state, record.jobId);
    case 'ownership-claimed':
      return offset > state.fencingEpoch ? yield* giveUpOwnership(state, 'a newer claim was read') : state;
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
  if (next.isSuperseded) return next;
  return updateService(next, {
    provenAt: Math.max(next.provenAt, askedAt),
    inboxReadAt: Math.max(next.inboxReadAt, askedAt),
  });
}

/** Stops runs of ended jobs and of done tasks. An earlier owner may have left some of them running. */
function* stopObsoleteRuns(state: ServiceState): ServiceStep<ServiceState> {
  let next = state;
  for (const jobId of state.obsoleteRunJobIds.union(state.endingJobIds)) {
    const job = state.jobs.get(jobId);
    const isObsolete = (key: TaskKey): boolean =>
      job?.phase !== 'active' || findTask(state, key)?.isDone === true;
    const obsolete = job === undefined ? [] : runsOfJob(job).filter(([key]) => isObsolete(key));
    if (obsolete.length === 0) {
      next = updateService(next, { obsoleteRunJobIds: next.obsoleteRunJobIds.remove(jobId) });
    }
    for (const [key, run] of obsolete) {
      const isReachable = workerOfRun(state, run)?.hasAcknowledgedEpoch === true;
      if (isReachable) next = yield* orderStop(next, key, run, 'its job or task has ended');
    }
  }
  return next;
}

/** Number of ticks between full scans, which match every worker with the waiting steps. */
const TICKS_PER_FULL_SCAN = 10;

function isFullScanDue({ ticks }: ServiceState): boolean {
  return ticks.count % TICKS_PER_FULL_SCAN === 0;
}

/** Marks workers whose cooldown has ended for the next placement, and all workers every `TICKS_PER_FULL_SCAN` ticks. */
function considerCooledDownWorkers(state: ServiceState, lastTick: Instant): ServiceState {
  if (isFullScanDue(state)) return considerEveryWorker(state);
  let next = state;
  for (const { cooldownUntil, listing } of state.workers.values()) {
    if (cooldownUntil > lastTick && cooldownUntil <= state.now) next = considerWorker(next, listing.workerId);
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
  let next = yield* renewDueLeases(yield* dropLapsedRuns(state));
  next = yield* stopObsoleteRuns(next);
  next = yield* ejectUnhealthyWorkers(next);
  next = beginDueJobs(yield* drainLeavingWorkers(next));
  if (isFullScanDue(next)) yield* reportBlockedTasks(next);
  if (isFullScanDue(next)) next = yield* reviewInterference(next);
  if (isFullScanDue(next)) next = yield* reviewForwardedJobs(next);
  next = yield* reportOwnership(next);
  const remembered = markQuarantineStale(yield* forgetJobs(next));
  return considerCooledDownWorkers(remembered, before.ticks.lastAt);
}

function* handle(state: ServiceState, event: ServiceEvent): ServiceStep<ServiceState> {
  switch (event.kind) {
    case 'ticked':
      return yield* tick(state);
    case 'records-read':
      return yield* handleRecords(state, event.records, event.askedAt);
    case 'records-stored':
      return yield* handleRecordsStored(state, event);
    case 'job-forwarded':
      return handleJobForwarded(state, event);
    case 'jobs-unknown':
      return yield* handleJobsUnknown(state, event);
    case 'ownership-lost':
      return yield* giveUpOwnership(state, 'the store has seen a newer owner');
    case 'workers-listed':
      return yield* handleWorkersListed(state, event);
    case 'hosts-listed':
      return yield* handleHostsListed(state, event);
    case 'worker-reported':
      return yield* handleWorkerReported(state, event);
    case 'worker-fenced':
      return yield* giveUpOwnership(state, `worker ${event.workerId} has seen a newer owner`);
    case 'worker-silent':
      return yield* handleWorkerSilent(state, event);
    case 'start-settled':
      return event.outcome === 'fenced'
        ? yield* giveUpOwnership(state, `worker ${event.address.workerId} has seen a newer owner`)
        : yield* handleStartSettled(state, event);
    case 'pace-settled':
      return event.outcome === 'fenced'
        ? yield* giveUpOwnership(state, `worker ${event.address.workerId} has seen a newer owner`)
        : yield* handlePaceSettled(state, event);
    case 'stop-settled':
      return event.outcome === 'fenced'
        ? yield* giveUpOwnership(state, `worker ${event.address.workerId} has seen a newer owner`)
        : yield* handleStopSettled(state, event);
    case 'host-requests-received':
      return yield* handleHostRequests(state, event);
    case 'workspaces-configured':
      return handleWorkspacesConfigured(state, event);
    case 'stop-requested':
      return updateService(state, { isStopping: true });
    default:
      return state;
  }
}

/** Applies one event. Pure: equal states and events give equal effects and states. */
export function* reduceService(before: ServiceState, event: ServiceEvent): ServiceStep<ServiceState> {
  if (before.isSuperseded) return before;
  const now = Math.max(before.now, event.at);
  const handled = yield* handle(updateService(before, { now, timeOfDay: event.timeOfDay }), event);
  if (handled.restartedWorkerId !== null) return yield* renewClaim(handled);
  if (handled.isSuperseded) return handled;
  const settled = yield* settleWorkerCrashes(yield* stopIncompleteGangs(handled));
  const placed = yield* placeWaitingTasks(yield* placeQuarantinedTasks(settled));
  return yield* flushOutbox(placed);
}
