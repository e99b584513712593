/** Applies the reports of workers: running runs, ended runs and missing answers. */
import { taskIdOf } from '../model/job.js';
import type { EndedReport, RunningReport, WorkerReport } from '../model/worker.js';
import { clearSurvivors } from './crash-verdicts.js';
import { learnFromReport } from './interference.js';
import { paceFillingRuns } from './pacing.js';
import type { ServiceStep } from '../state/effect.js';
import { handleRunEnd } from './run-ends.js';
import type { ServiceEventOf } from '../state/event.js';
import { advanceFormerStops } from '../state/former-stops.js';
import { recordClockReading } from '../state/lease.js';
import { retryStop } from './runs.js';
import { runLogFields } from '../state/run-log-fields.js';
import type { Run, ServiceState, WorkerState } from '../state/service-state.js';
import { changeRun, findRun, findTask, markJobStarted, removeRun, runsOnWorker } from '../state/tasks.js';
import { setWorker } from '../state/worker-index.js';
import { handleRestart, renewLease } from './workers.js';
import { updateRun, updateWorker } from '../state/update.js';

/** Delay before a renewal is sent again to a worker that did not answer. */
const SILENT_RETRY_MILLISECONDS = 200;

function* processEnds(
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
  return setWorker(next, updateWorker(worker, { processedEnd }));
}

function updateRunningRun(
  state: ServiceState,
  workerId: string,
  incarnation: number,
  row: RunningReport,
): ServiceState {
  const run = findRun(findTask(state, row.task), workerId, incarnation, row.run);
  const isKnown = run?.startedAt !== null && run?.speedPercent === row.percent;
  if (run === null || (isKnown && run.phase !== 'starting')) return state;
  const started = markJobStarted(state, row.task.jobId);
  return changeRun(started, row.task, run, (current) =>
    updateRun(current, {
      phase: current.phase === 'starting' || current.phase === 'recording' ? 'running' : current.phase,
      acknowledgedAt: current.acknowledgedAt ?? state.now,
      startedAt: current.startedAt ?? state.now,
      speedPercent: row.percent,
    }),
  );
}

/** Stops a run that we do not know: its order was executed with a delay, or its job is forgotten. */
function* stopStrayRun(state: ServiceState, worker: WorkerState, row: RunningReport): ServiceStep<void> {
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

/**
 * Returns whether a run was placed by an earlier owner. A report under our fencing epoch is authoritative for it, since
 * the worker now refuses the orders of that owner.
 */
function isInherited({ phase, acknowledgedAt, sentAt }: Run): boolean {
  return acknowledgedAt === null && (phase === 'running' || (phase === 'stopping' && sentAt === null));
}

/** Removes the acknowledged runs that a complete report lists neither as running nor as ended. */
function* removeMissingRuns(
  state: ServiceState,
  worker: WorkerState,
  report: WorkerReport,
  askedAt: number,
): ServiceStep<ServiceState> {
  const listed = new Map(report.running.map(({ task, run }) => [taskIdOf(task), run]));
  let next = state;
  for (const [key, run] of [...runsOnWorker(state, worker)]) {
    const isAcknowledged = run.acknowledgedAt !== null && run.acknowledgedAt < askedAt;
    if ((isAcknowledged || isInherited(run)) && listed.get(taskIdOf(key)) !== run.run) {
      yield {
        kind: 'log',
        decision: 'taskEnded',
        fields: { ...runLogFields(key, run), end: 'missing from its worker' },
      };
      next = removeRun(next, key, run);
    }
  }
  return next;
}

/** Applies the running runs of a report, and removes the runs that it should list but does not. */
function* processRunning(
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
    if (run === null) yield* stopStrayRun(next, worker, row);
    else if (run.phase === 'stopping') next = yield* retryStop(next, row.task, run);
    else next = updateRunningRun(next, workerId, incarnation, row);
  }
  // The ends of runs that an incomplete report omits follow in later reports.
  return report.isComplete ? yield* removeMissingRuns(next, worker, report, askedAt) : next;
}

/** Applies a worker's report and requests the next one. */
export function* handleWorkerReported(
  before: ServiceState,
  { workerId, report, askedAt }: ServiceEventOf<'worker-reported'>,
): ServiceStep<ServiceState> {
  const worker = before.workers.get(workerId);
  if (worker === undefined) return before;
  if (report.incarnation !== worker.listing.incarnation) {
    return yield* handleOtherIncarnation(before, worker, report);
  }
  if (worker.silentSince !== null) {
    const silentMilliseconds = Math.round(before.now - worker.silentSince);
    yield { kind: 'log', decision: 'workerBack', fields: { workerId, silentMilliseconds } };
  }
  const answered = setWorker(
    before,
    updateWorker(worker, {
      reportPending: false,
      hasAcknowledgedEpoch: true,
      formerStops: advanceFormerStops(worker.formerStops, before.parameters, before.now, askedAt),
      silentSince: null,
      lastReportAt: before.now,
    }),
  );
  const withClock = recordClockReading(
    answered,
    workerId,
    report.incarnation,
    report.clockMilliseconds,
    before.now,
  );
  const ended = yield* processEnds(withClock, workerId, report.incarnation, report.ended);
  const running = yield* processRunning(ended, workerId, report, askedAt);
  const learned = yield* learnFromReport(running, workerId, report.running, worker.lastReportAt);
  const paced = yield* paceFillingRuns(learned, workerId, report.running);
  const cleared = clearSurvivors(paced, workerId);
  const reported = cleared.workers.get(workerId);
  // A worker answers at once while it holds run ends that it may not discard. Renewal resumes once they are stored.
  const hasUnstoredEnds = reported !== undefined && reported.processedEnd > reported.storedEnd;
  return hasUnstoredEnds ? cleared : yield* renewLease(cleared, workerId, 0);
}

/** Handles a report of another incarnation than the known one, which is newer or which the register has replaced. */
function* handleOtherIncarnation(
  state: ServiceState,
  worker: WorkerState,
  report: WorkerReport,
): ServiceStep<ServiceState> {
  const answered = setWorker(state, updateWorker(worker, { reportPending: false }));
  if (report.incarnation < worker.listing.incarnation) {
    return yield* renewLease(answered, worker.listing.workerId, SILENT_RETRY_MILLISECONDS);
  }
  const listing = {
    ...worker.listing,
    incarnation: report.incarnation,
    clockMilliseconds: report.clockMilliseconds,
  };
  return yield* handleRestart(answered, updateWorker(worker, { reportPending: false }), listing);
}

/** Handles a missing answer: renews the lease again after a delay and, on the first one, reads the list of hosts. */
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
  const silent = setWorker(
    state,
    updateWorker(worker, { reportPending: false, silentSince: worker.silentSince ?? askedAt }),
  );
  return yield* renewLease(silent, workerId, SILENT_RETRY_MILLISECONDS);
}
