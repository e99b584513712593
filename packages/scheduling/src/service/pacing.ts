/** Orders the pace of filling tasks beside serving tasks, from the reports of their workers. */
import { FULL_PACE_PERCENT, initialPacing, nextPacing } from '../decide/interference/pacing.js';
import type { Instant } from '../model/instant.js';
import { taskIdOf, type TaskKey } from '../model/job.js';
import { stepRequestOf } from '../model/step-needs.js';
import type { RunningReport } from '../model/worker.js';
import type { ServiceStep } from '../state/effect.js';
import type { ServiceEventOf } from '../state/event.js';
import { mayIssueOrders } from '../state/lease.js';
import { spendPaceOrder } from '../state/pace-budget.js';
import { orderedPace, pacedPercentOf } from '../state/run-pace.js';
import type { Run, ServiceState, WorkerPacing, WorkerState } from '../state/service-state.js';
import { changeRun, findRun, findTask } from '../state/tasks.js';
import { updateRun, updateService, updateWorker } from '../state/update.js';
import { setWorker } from '../state/worker-index.js';

const PERCENT = 100;

/** Returns the highest tail of the serving tasks in a report, in parts of its target; null if it names none. */
function pressureOf(
  state: ServiceState,
  { servingTaskIds }: WorkerState,
  running: readonly RunningReport[],
): number | null {
  let highest: number | null = null;
  for (const { task, load } of running) {
    const job = load !== null && servingTaskIds.has(taskIdOf(task)) ? state.jobs.get(task.jobId) : undefined;
    const target = job === undefined ? null : stepRequestOf(job.request, task.step).tailTargetMilliseconds;
    if (load !== null && target !== null && target > 0) highest = Math.max(highest ?? 0, load / target);
  }
  return highest;
}

/** A filling task in a report, with its run. */
interface FillingRun {
  readonly key: TaskKey;
  readonly run: Run;
  readonly row: RunningReport;
}

function fillingRunsOf(
  state: ServiceState,
  { listing, fillingTaskIds }: WorkerState,
  running: readonly RunningReport[],
): readonly FillingRun[] {
  return running.flatMap((row) => {
    if (!fillingTaskIds.has(taskIdOf(row.task))) return [];
    const run = findRun(findTask(state, row.task), listing.workerId, listing.incarnation, row.run);
    return run === null || run.phase !== 'running' ? [] : [{ key: row.task, run, row }];
  });
}

/** Returns the pace that an earlier owner seems to have ordered: the lowest speed of the tasks that it left. */
function inheritedPercent(filling: readonly FillingRun[]): number {
  const speeds = filling.filter(({ run }) => run.pace?.phase === 'inherited').map(({ row }) => row.percent);
  return Math.min(FULL_PACE_PERCENT, ...speeds);
}

function* decidePacing(
  state: ServiceState,
  worker: WorkerState,
  filling: readonly FillingRun[],
  running: readonly RunningReport[],
): ServiceStep<WorkerPacing | null> {
  if (worker.servingTaskIds.isEmpty()) return null;
  const before = worker.pacing ?? initialPacing(inheritedPercent(filling), -Infinity);
  const pressure = pressureOf(state, worker, running);
  const after = nextPacing(before, pressure, state.now);
  if (after.percent !== before.percent) {
    yield {
      kind: 'log',
      decision: 'workerPaceChanged',
      fields: {
        workerId: worker.listing.workerId,
        percent: after.percent,
        previousPercent: before.percent,
        tailPercentOfTarget: Math.round((pressure ?? 0) * PERCENT),
        fillingTasks: filling.length,
      },
    };
  }
  return after;
}

/** Returns whether a task that an earlier owner left works at the pace that it should. */
function worksAt({ row }: FillingRun, percent: number): boolean {
  return row.percent === percent && (percent === 0 || row.load === null || row.load > 0);
}

/** Time from an order until a run that still works at another pace shows that an older order was executed after it. */
const LATE_ORDER_MILLISECONDS = 2_000;

/** Returns whether an older order, which was not answered, seems to have been executed after the newest one. */
function isOverruled({ run, row }: FillingRun, now: Instant): boolean {
  const { pace } = run;
  const isDue = pace?.hasUnansweredOrder === true && now - pace.since >= LATE_ORDER_MILLISECONDS;
  return isDue && row.percent !== pace.percent;
}

/** Returns whether the pace of a run must be ordered. One order is in flight at most. */
function needsOrder(filling: FillingRun, percent: number, now: Instant): boolean {
  const { run } = filling;
  switch (run.pace?.phase) {
    case 'sent':
      return false;
    case 'unanswered':
      return true;
    case 'inherited':
      return !worksAt(filling, percent);
    default:
      return pacedPercentOf(run) !== percent || isOverruled(filling, now);
  }
}

function* sendPace(
  state: ServiceState,
  { listing }: WorkerState,
  { key, run }: FillingRun,
  percent: number,
): ServiceStep<ServiceState> {
  const slowsDown = percent < pacedPercentOf(run);
  const paceBudget = spendPaceOrder(state.paceBudget, slowsDown, state.now);
  if (paceBudget === null) return state;
  yield {
    kind: 'pace-run',
    address: { task: key, run: run.run, workerId: run.workerId, incarnation: run.incarnation },
    workerAddress: listing.address,
    fencingEpoch: state.fencingEpoch,
    percent,
    delayMilliseconds: 0,
  };
  return changeRun(updateService(state, { paceBudget }), key, run, (current) =>
    updateRun(current, { pace: orderedPace(current, percent, state.now) }),
  );
}

/** Decides the pace of the filling tasks on a worker that reported, and orders it where it differs. */
export function* paceFillingRuns(
  state: ServiceState,
  workerId: string,
  running: readonly RunningReport[],
): ServiceStep<ServiceState> {
  const worker = state.workers.get(workerId);
  const isIdle = worker === undefined || (worker.fillingTaskIds.isEmpty() && worker.pacing === null);
  if (isIdle || !mayIssueOrders(state)) return state;
  const filling = fillingRunsOf(state, worker, running);
  const pacing = yield* decidePacing(state, worker, filling, running);
  let next = pacing === worker.pacing ? state : setWorker(state, updateWorker(worker, { pacing }));
  const percent = pacing?.percent ?? FULL_PACE_PERCENT;
  for (const one of filling) {
    if (needsOrder(one, percent, state.now)) next = yield* sendPace(next, worker, one, percent);
  }
  return next;
}

/** Applies a worker's answer to a pace order. An unanswered order is sent again after the next report. */
export function* handlePaceSettled(
  state: ServiceState,
  { address, percent, outcome }: ServiceEventOf<'pace-settled'>,
): ServiceStep<ServiceState> {
  const { task: key, workerId, incarnation } = address;
  const run = findRun(findTask(state, key), workerId, incarnation, address.run);
  const pace = run?.pace ?? null;
  if (run === null || pace === null || pace.phase !== 'sent' || pace.percent !== percent) return state;
  if (outcome === 'unanswered') {
    yield { kind: 'log', decision: 'paceUnanswered', fields: { workerId, jobId: key.jobId, percent } };
  }
  const isUnanswered = outcome === 'unanswered';
  const settled = {
    ...pace,
    phase: isUnanswered ? ('unanswered' as const) : ('settled' as const),
    hasUnansweredOrder: pace.hasUnansweredOrder || isUnanswered,
  };
  return changeRun(state, key, run, (current) => updateRun(current, { pace: settled }));
}
