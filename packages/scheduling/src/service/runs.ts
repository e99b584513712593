/** Sends orders to start and stop runs, and applies the answers of workers. */
import { hasCapacityForPlaced, refusesTask } from '../decide/placement/eligibility.js';
import { findStartViolations } from '../invariants/check-start.js';
import type { TaskKey } from '../model/job.js';
import type { ServiceStep } from '../state/effect.js';
import type { RunAddress, ServiceEventOf, StartOutcome } from '../state/event.js';
import { extendLease, matchesClock, recordClockReading } from '../state/lease.js';
import type { Run, ServiceState, WorkerState } from '../state/service-state.js';
import { avoidWorker, changeRun, findRun, findTask, markJobStarted, removeRun } from '../state/tasks.js';
import { runLogFields } from '../state/run-log-fields.js';
import { setWorker } from '../state/worker-index.js';
import { updateRun, updateService, updateWorker } from '../state/update.js';

/** Delay before an order that was not answered, or was answered with an expired lease, is sent again. */
const RETRY_DELAY_MILLISECONDS = 100;

/** Time for which a worker that had no free capacity gets no other task. */
const NO_ROOM_COOLDOWN_MILLISECONDS = 250;

/** Time for which a worker that answered `unhealthy` or `invalid` gets no other task. */
const UNHEALTHY_COOLDOWN_MILLISECONDS = 1_000;

function runAddressOf(key: TaskKey, run: Run): RunAddress {
  return { task: key, run: run.run, workerId: run.workerId, incarnation: run.incarnation };
}

/** Returns the worker of a run, or null if another incarnation has replaced it. */
export function workerOfRun(state: ServiceState, run: Run): WorkerState | null {
  const worker = state.workers.get(run.workerId);
  return worker?.listing.incarnation === run.incarnation ? worker : null;
}

function* sendStart(state: ServiceState, key: TaskKey, run: Run, delay: number): ServiceStep<ServiceState> {
  const worker = workerOfRun(state, run);
  const job = state.jobs.get(key.jobId);
  const task = findTask(state, key);
  if (worker === null || worker.isTerminated || job === undefined || task === null) return state;
  const [renewed, leaseUntil] = extendLease(state, worker);
  yield {
    kind: 'start-run',
    address: runAddressOf(key, run),
    workerAddress: worker.listing.address,
    fencingEpoch: state.fencingEpoch,
    specification: job.request.specification,
    leaseUntil,
    checkpoint: task.checkpoint,
    ticket: null,
    delayMilliseconds: delay,
  };
  const sent = changeRun(state, key, run, (current) => updateRun(current, { sentAt: state.now + delay }));
  return setWorker(sent, renewed);
}

/**
 * Sends an order to stop. Nothing is sent if the worker has not been seen yet or has terminated: should it report the
 * run later, the order is sent then.
 */
function* sendStop(state: ServiceState, key: TaskKey, run: Run, delay: number): ServiceStep<ServiceState> {
  const worker = workerOfRun(state, run);
  if (worker === null || worker.isTerminated) return state;
  yield {
    kind: 'stop-run',
    address: runAddressOf(key, run),
    workerAddress: worker.listing.address,
    fencingEpoch: state.fencingEpoch,
    delayMilliseconds: delay,
  };
  return changeRun(state, key, run, (current) => updateRun(current, { sentAt: state.now + delay }));
}

/** Time after which an order to stop is sent again if the worker still reports the run. */
const STOP_RETRY_MILLISECONDS = 1_000;

/** Sends an order to stop again if the worker still reports the run `STOP_RETRY_MILLISECONDS` after the last order. */
export function* retryStop(state: ServiceState, key: TaskKey, run: Run): ServiceStep<ServiceState> {
  const isDue = run.sentAt === null || state.now - run.sentAt > STOP_RETRY_MILLISECONDS;
  return isDue ? yield* sendStop(state, key, run, 0) : state;
}

/** Returns whether the worker that a run was placed on may still receive it. */
function mayStart(state: ServiceState, { jobId, step }: TaskKey, run: Run): boolean {
  const worker = workerOfRun(state, run);
  const request = state.jobs.get(jobId)?.request.steps[step];
  if (worker === null || worker.isTerminated || request === undefined) return false;
  return !refusesTask(state, worker, request);
}

/** Returns whether the capacity of the worker of a run still suffices for it. */
function fitsOnWorker(state: ServiceState, key: TaskKey, run: Run): boolean {
  const request = state.jobs.get(key.jobId)?.request.steps[key.step];
  const worker = workerOfRun(state, run);
  return request === undefined || worker === null || hasCapacityForPlaced(request, worker);
}

/**
 * Starts a run whose record is stored. If its worker is draining by now or has too little capacity, the run is removed
 * and its task waits.
 */
export function* orderStart(state: ServiceState, key: TaskKey, run: Run): ServiceStep<ServiceState> {
  if (!mayStart(state, key, run) || !fitsOnWorker(state, key, run)) return removeRun(state, key, run);
  const faults = [...findStartViolations(state, key, run)];
  for (const { invariant, detail } of faults) {
    yield {
      kind: 'log',
      decision: 'invariantViolated',
      fields: { ...runLogFields(key, run), invariant, detail },
    };
  }
  if (faults.length > 0) return removeRun(state, key, run);
  const starting: Run = updateRun(run, { phase: 'starting', acknowledgedAt: null });
  const changed = changeRun(state, key, run, () => starting);
  return yield* sendStart(changed, key, starting, 0);
}

/** Stops a run. A run whose start was never sent is removed at once. */
export function* orderStop(
  state: ServiceState,
  key: TaskKey,
  run: Run,
  reason: string,
): ServiceStep<ServiceState> {
  if (run.phase === 'stopping') return state;
  if (run.phase === 'recording') return removeRun(state, key, run);
  yield { kind: 'log', decision: 'taskStopOrdered', fields: { ...runLogFields(key, run), reason } };
  const stopping: Run = updateRun(run, { phase: 'stopping', acknowledgedAt: null, sentAt: null });
  return yield* sendStop(
    changeRun(state, key, run, () => stopping),
    key,
    stopping,
    0,
  );
}

function coolDownWorker(state: ServiceState, workerId: string, milliseconds: number): ServiceState {
  const worker = state.workers.get(workerId);
  if (worker === undefined) return state;
  const cooldownUntil = Math.max(worker.cooldownUntil, state.now + milliseconds);
  return setWorker(state, updateWorker(worker, { cooldownUntil }));
}

/**
 * Handles a start that the worker refused: the run is removed and the task waits again. If an earlier order to start
 * was left unanswered, the run is stopped instead, since that order may still be executed.
 */
function* handleRefusedStart(
  state: ServiceState,
  key: TaskKey,
  run: Run,
  outcome: StartOutcome,
): ServiceStep<ServiceState> {
  yield { kind: 'log', decision: 'taskStartRefused', fields: { ...runLogFields(key, run), outcome } };
  if (run.hasUnansweredStart) return yield* orderStop(state, key, run, 'an earlier start may be delayed');
  return removeRun(state, key, run, (task) => avoidWorker(task, run.workerId));
}

function* retryStart(
  state: ServiceState,
  key: TaskKey,
  run: Run,
  wasUnanswered: boolean,
): ServiceStep<ServiceState> {
  const retried: Run = updateRun(run, { hasUnansweredStart: run.hasUnansweredStart || wasUnanswered });
  const changed = changeRun(state, key, run, () => retried);
  if (fitsOnWorker(changed, key, retried)) {
    return yield* sendStart(changed, key, retried, RETRY_DELAY_MILLISECONDS);
  }
  if (!retried.hasUnansweredStart) return removeRun(changed, key, retried);
  return yield* orderStop(changed, key, retried, 'its worker has too little capacity');
}

/** Records that a worker has the run. A clock that does not match belongs to another incarnation under the same id. */
function confirmStarted(
  state: ServiceState,
  key: TaskKey,
  run: Run,
  clockMilliseconds: number | null,
): ServiceState {
  const worker = workerOfRun(state, run);
  const isSameIncarnation =
    worker !== null && clockMilliseconds !== null && matchesClock(worker, clockMilliseconds, state.now);
  return changeRun(state, key, run, (current) =>
    updateRun(current, {
      phase: 'running',
      acknowledgedAt: state.now,
      startedAt: isSameIncarnation ? (current.startedAt ?? state.now) : current.startedAt,
    }),
  );
}

/** Records the clock reading of an answer if it matches the clock of the incarnation that the order was sent to. */
function recordMatchingClock(
  state: ServiceState,
  workerId: string,
  incarnation: number,
  clockMilliseconds: number | null,
): ServiceState {
  const worker = state.workers.get(workerId);
  const isMatching =
    worker !== undefined && clockMilliseconds !== null && matchesClock(worker, clockMilliseconds, state.now);
  return isMatching ? recordClockReading(state, workerId, incarnation, clockMilliseconds, state.now) : state;
}

function recordUnansweredStart(state: ServiceState, workerId: string): ServiceState {
  return updateService(state, { unansweredStarts: state.unansweredStarts.set(workerId, state.now) });
}

/** Applies a worker's answer to an order to start. */
export function* handleStartSettled(
  before: ServiceState,
  event: ServiceEventOf<'start-settled'>,
): ServiceStep<ServiceState> {
  const { address, outcome, clockMilliseconds } = event;
  const { task: key, workerId, incarnation } = address;
  const state = recordMatchingClock(before, workerId, incarnation, clockMilliseconds);
  const run = findRun(findTask(state, key), workerId, incarnation, address.run);
  if (run === null || run.phase !== 'starting') return state;
  switch (outcome) {
    case 'started':
      return markJobStarted(confirmStarted(before, key, run, clockMilliseconds), key.jobId);
    case 'superseded':
      // The run has ended on the worker or been stopped there. The next report shows which.
      return confirmStarted(before, key, run, clockMilliseconds);
    case 'unanswered':
      return yield* retryStart(recordUnansweredStart(state, workerId), key, run, true);
    case 'late':
      return yield* retryStart(state, key, run, false);
    case 'no-room':
      return yield* handleRefusedStart(
        coolDownWorker(state, workerId, NO_ROOM_COOLDOWN_MILLISECONDS),
        key,
        run,
        outcome,
      );
    case 'unhealthy':
    case 'invalid':
      return yield* handleRefusedStart(
        coolDownWorker(state, workerId, UNHEALTHY_COOLDOWN_MILLISECONDS),
        key,
        run,
        outcome,
      );
    case 'no-ticket':
    case 'other-incarnation':
    case 'fenced':
      return yield* handleRefusedStart(state, key, run, outcome);
    default:
      return state;
  }
}

/** Applies a worker's answer to an order to stop. */
export function* handleStopSettled(
  state: ServiceState,
  { address, outcome }: ServiceEventOf<'stop-settled'>,
): ServiceStep<ServiceState> {
  const { task: key, workerId, incarnation } = address;
  const run = findRun(findTask(state, key), workerId, incarnation, address.run);
  if (run === null || run.phase !== 'stopping') return state;
  if (outcome === 'unanswered') return yield* sendStop(state, key, run, RETRY_DELAY_MILLISECONDS);
  // Reports requested from now on show whether the run has ended or never existed.
  return changeRun(state, key, run, (current) =>
    updateRun(current, { acknowledgedAt: state.now, hasUnansweredStart: false }),
  );
}
