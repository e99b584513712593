/** Starts and stops runs, and works in what workers answer to that. */
import { isLeaving } from '../decide/eligibility.js';
import { findStartViolations } from '../invariants/check-start.js';
import type { TaskKey } from '../model/job.js';
import { taskIdOf } from '../model/job.js';
import type { SchedulingFields, ServiceStep } from './effect.js';
import type { RunAddress, ServiceEventOf, StartOutcome } from './event.js';
import { fitsClock, offerLease, readClock } from './lease.js';
import type { Run, ServiceState, WorkerState } from './state.js';
import { changeRun, findRun, findTask, removeRun } from './tasks.js';
import { setWorker } from './worker-index.js';
import { updateRun, updateService, updateTask, updateWorker } from './update.js';

/** Pause before an order without an answer is sent again. */
const REPEAT_PAUSE_MILLISECONDS = 100;

/** Time for which a worker that had no room gets no other task. */
const NO_ROOM_REST_MILLISECONDS = 250;

/** Time for which a worker that calls itself unhealthy gets no other task. */
const UNHEALTHY_REST_MILLISECONDS = 1_000;

/** How many workers a task remembers to avoid. */
const AVOIDED_WORKERS = 3;

function addressOf(key: TaskKey, run: Run): RunAddress {
  return { task: key, run: run.run, workerId: run.workerId, incarnation: run.incarnation };
}

/** What a log line tells of a run. */
export function runFields(key: TaskKey, run: Run): SchedulingFields {
  return { jobId: key.jobId, task: taskIdOf(key), run: run.run, workerId: run.workerId };
}

/** The worker of a run, if it is still the same life. */
export function workerOf(state: ServiceState, run: Run): WorkerState | null {
  const worker = state.workers.get(run.workerId);
  return worker?.listing.incarnation === run.incarnation ? worker : null;
}

function* sendStart(state: ServiceState, key: TaskKey, run: Run, delay: number): ServiceStep<ServiceState> {
  const worker = workerOf(state, run);
  const job = state.jobs.get(key.jobId);
  const task = findTask(state, key);
  if (worker === null || worker.isGone || job === undefined || task === null) return state;
  const [offered, leaseUntil] = offerLease(state, worker);
  yield {
    kind: 'start-run',
    address: addressOf(key, run),
    workerAddress: worker.listing.address,
    fencingEpoch: state.fencingEpoch,
    specification: job.request.specification,
    leaseUntil,
    checkpoint: task.checkpoint,
    ticket: null,
    delayMilliseconds: delay,
  };
  const sent = changeRun(state, key, run, (one) => updateRun(one, { sentAt: state.now + delay }));
  return setWorker(sent, offered);
}

/**
 * Sends an order to stop. The worker may not have been seen yet or may be gone; should it report, what it then lists
 * brings the order about.
 */
function* sendStop(state: ServiceState, key: TaskKey, run: Run, delay: number): ServiceStep<ServiceState> {
  const worker = workerOf(state, run);
  if (worker === null || worker.isGone) return state;
  yield {
    kind: 'stop-run',
    address: addressOf(key, run),
    workerAddress: worker.listing.address,
    fencingEpoch: state.fencingEpoch,
    delayMilliseconds: delay,
  };
  return changeRun(state, key, run, (one) => updateRun(one, { sentAt: state.now + delay }));
}

/** Time after which a run that should have been stopped, and still goes on, is stopped once more. */
const STOP_REPEAT_MILLISECONDS = 1_000;

/** Stops a run once more that a worker lists although its stop was ordered. */
export function* repeatStop(state: ServiceState, key: TaskKey, run: Run): ServiceStep<ServiceState> {
  const isDue = run.sentAt === null || state.now - run.sentAt > STOP_REPEAT_MILLISECONDS;
  return isDue ? yield* sendStop(state, key, run, 0) : state;
}

/** Whether the worker that a run was placed on may still get it. */
function mayStart(state: ServiceState, run: Run): boolean {
  const worker = workerOf(state, run);
  return worker !== null && !worker.isGone && !isLeaving(state, worker);
}

/** Starts a run whose record is stored. One whose worker is leaving meanwhile is placed anew. */
export function* orderStart(state: ServiceState, key: TaskKey, run: Run): ServiceStep<ServiceState> {
  if (!mayStart(state, run)) return removeRun(state, key, run);
  const faults = [...findStartViolations(state, key, run)];
  for (const { invariant, detail } of faults) {
    yield {
      kind: 'log',
      decision: 'invariantViolated',
      fields: { ...runFields(key, run), invariant, detail },
    };
  }
  if (faults.length > 0) return removeRun(state, key, run);
  const starting: Run = updateRun(run, { phase: 'starting', settledAt: null });
  const changed = changeRun(state, key, run, () => starting);
  return yield* sendStart(changed, key, starting, 0);
}

/** Stops a run. One that was never sent is dropped at once. */
export function* orderStop(
  state: ServiceState,
  key: TaskKey,
  run: Run,
  reason: string,
): ServiceStep<ServiceState> {
  if (run.phase === 'stopping') return state;
  if (run.phase === 'recording') return removeRun(state, key, run);
  yield { kind: 'log', decision: 'taskStopOrdered', fields: { ...runFields(key, run), reason } };
  const stopping: Run = updateRun(run, { phase: 'stopping', settledAt: null, sentAt: null });
  return yield* sendStop(
    changeRun(state, key, run, () => stopping),
    key,
    stopping,
    0,
  );
}

function restWorker(state: ServiceState, workerId: string, milliseconds: number): ServiceState {
  const worker = state.workers.get(workerId);
  if (worker === undefined) return state;
  const restUntil = Math.max(worker.restUntil, state.now + milliseconds);
  return setWorker(state, updateWorker(worker, { restUntil }));
}

/** The run did not start and, unless an earlier order may come late, never will: the task waits again. */
function* dropRefused(
  state: ServiceState,
  key: TaskKey,
  run: Run,
  outcome: StartOutcome,
): ServiceStep<ServiceState> {
  yield { kind: 'log', decision: 'taskStartRefused', fields: { ...runFields(key, run), outcome } };
  if (run.mayStartLate) return yield* orderStop(state, key, run, 'its start may come late');
  return removeRun(state, key, run, (task) =>
    updateTask(task, { avoidedWorkers: [...task.avoidedWorkers, run.workerId].slice(-AVOIDED_WORKERS) }),
  );
}

function* repeatStart(
  state: ServiceState,
  key: TaskKey,
  run: Run,
  mayStartLate: boolean,
): ServiceStep<ServiceState> {
  const repeated: Run = updateRun(run, { mayStartLate: run.mayStartLate || mayStartLate });
  const changed = changeRun(state, key, run, () => repeated);
  return yield* sendStart(changed, key, repeated, REPEAT_PAUSE_MILLISECONDS);
}

/** Notes that a worker has the run. A clock that does not fit is that of another life under the same id. */
function settle(state: ServiceState, key: TaskKey, run: Run, clockMilliseconds: number | null): ServiceState {
  const worker = workerOf(state, run);
  const isSameLife =
    worker !== null && clockMilliseconds !== null && fitsClock(worker, clockMilliseconds, state.now);
  return changeRun(state, key, run, (one) =>
    updateRun(one, {
      phase: 'running',
      settledAt: state.now,
      startedAt: isSameLife ? (one.startedAt ?? state.now) : one.startedAt,
    }),
  );
}

/** Notes the clock that came with an answer, if it is that of the life that was meant. */
function noteClock(
  state: ServiceState,
  workerId: string,
  incarnation: number,
  clockMilliseconds: number | null,
): ServiceState {
  const worker = state.workers.get(workerId);
  const isMeant =
    worker !== undefined && clockMilliseconds !== null && fitsClock(worker, clockMilliseconds, state.now);
  return isMeant ? readClock(state, workerId, incarnation, clockMilliseconds, state.now) : state;
}

function noteUnanswered(state: ServiceState, workerId: string): ServiceState {
  return updateService(state, { unansweredStarts: state.unansweredStarts.set(workerId, state.now) });
}

/** Works in how a worker answered an order to start. */
export function* handleStartSettled(
  before: ServiceState,
  event: ServiceEventOf<'start-settled'>,
): ServiceStep<ServiceState> {
  const { address, outcome, clockMilliseconds } = event;
  const { task: key, workerId, incarnation } = address;
  const state = noteClock(before, workerId, incarnation, clockMilliseconds);
  const run = findRun(findTask(state, key), workerId, incarnation, address.run);
  if (run === null || run.phase !== 'starting') return state;
  switch (outcome) {
    case 'started':
    case 'superseded':
      // A superseded run has ended there, or its end is already listed: the next lists tell.
      return settle(before, key, run, clockMilliseconds);
    case 'unanswered':
      return yield* repeatStart(noteUnanswered(state, workerId), key, run, true);
    case 'late':
      return yield* repeatStart(state, key, run, false);
    case 'no-room':
      return yield* dropRefused(restWorker(state, workerId, NO_ROOM_REST_MILLISECONDS), key, run, outcome);
    case 'unhealthy':
    case 'invalid':
      return yield* dropRefused(restWorker(state, workerId, UNHEALTHY_REST_MILLISECONDS), key, run, outcome);
    case 'no-ticket':
    case 'other-incarnation':
    case 'fenced':
      return yield* dropRefused(state, key, run, outcome);
    default:
      return state;
  }
}

/** Works in how a worker answered an order to stop. */
export function* handleStopSettled(
  state: ServiceState,
  { address, outcome }: ServiceEventOf<'stop-settled'>,
): ServiceStep<ServiceState> {
  const { task: key, workerId, incarnation } = address;
  const run = findRun(findTask(state, key), workerId, incarnation, address.run);
  if (run === null || run.phase !== 'stopping') return state;
  if (outcome === 'unanswered') return yield* sendStop(state, key, run, REPEAT_PAUSE_MILLISECONDS);
  // The worker's lists from now on tell whether the run has ended or never was.
  return changeRun(state, key, run, (one) => updateRun(one, { settledAt: state.now, mayStartLate: false }));
}
