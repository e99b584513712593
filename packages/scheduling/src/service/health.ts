/**
 * Detects workers that answer but are unhealthy: workers on which consecutive runs fail, and workers whose runs stall
 * or crawl while the runs of other workers end in time. Such a worker is ejected for a cooldown, which doubles each time
 * up to a limit, and then gets tasks again.
 */
import type { TaskKey } from '../model/job.js';
import type { ServiceStep } from '../state/effect.js';
import { orderStop } from './runs.js';
import { lostMillisecondsOf } from '../state/run-pace.js';
import type { Run, ServiceState, WorkerState } from '../state/service-state.js';
import { changeTask, findTask, runsOnWorker } from '../state/tasks.js';
import { setWorker } from '../state/worker-index.js';
import { stepRequestOf } from '../model/step-needs.js';
import { updateTask, updateWorker } from '../state/update.js';

/** Consecutive failed runs after which a worker is ejected. */
const MAXIMUM_CONSECUTIVE_FAILURES = 3;

/** Initial and longest cooldown of an ejected worker. */
const INITIAL_COOLDOWN_MILLISECONDS = 1_500;
const MAXIMUM_COOLDOWN_MILLISECONDS = 12_000;

/** A run is overdue after this many times its expected duration plus a grace period, which short tasks need. */
const OVERDUE_FACTOR = 2.5;
const OVERDUE_GRACE_MILLISECONDS = 1_200;

/** Overdue runs, and their share of a worker's runs, from which on the worker is at fault rather than the tasks. */
const MINIMUM_OVERDUE_RUNS = 2;
const OVERDUE_SHARE = 0.5;

/** Any run that takes this many times its expected duration plus the grace period is stalled, even a single one. */
const SINGLE_RUN_OVERDUE_FACTOR = 14;

/** Each stop of a stalled run multiplies the task's expected duration by this: the task may just be long. */
const STALL_BACKOFF_FACTOR = 2;

/** Records that a run has succeeded on a worker. */
export function recordSuccessfulRun(state: ServiceState, workerId: string): ServiceState {
  const worker = state.workers.get(workerId);
  if (worker === undefined) return state;
  const changes = { consecutiveFailures: 0, consecutiveCooldowns: 0, lastSuccessAt: state.now };
  return setWorker(state, updateWorker(worker, changes));
}

/**
 * Records that a run of a task has failed on a worker. Only the first failed run of a lasting task counts against its worker:
 * it has no limit on failed runs, and would close one worker after the other by a fault of its own.
 */
export function recordFailedRun(state: ServiceState, key: TaskKey, workerId: string): ServiceState {
  const worker = state.workers.get(workerId);
  const isLasting = state.jobs.get(key.jobId)?.request.steps[key.step]?.isLasting === true;
  const isRepeated = isLasting && (findTask(state, key)?.failedRuns ?? 0) > 0;
  if (worker === undefined || isRepeated) return state;
  return setWorker(state, updateWorker(worker, { consecutiveFailures: worker.consecutiveFailures + 1 }));
}

interface RunAge {
  readonly key: TaskKey;
  readonly run: Run;
  /** Time since its start, less what it lost by the pace that was ordered for it. */
  readonly ageMilliseconds: number;
  /** The caller's estimate, raised for each earlier stop of a stalled run of the task. */
  readonly expectedMilliseconds: number;
}

/**
 * Yields the runs on a worker that should end within their estimate. Lasting tasks never end, and members of a gang
 * wait for one another.
 */
function* runAgesOn(state: ServiceState, worker: WorkerState): Generator<RunAge, void, void> {
  for (const [key, run] of runsOnWorker(state, worker)) {
    const job = state.jobs.get(key.jobId);
    if (job !== undefined && run.phase === 'running') {
      const request = stepRequestOf(job.request, key.step);
      const since = run.startedAt ?? run.acknowledgedAt ?? run.placedAt;
      const stalledRuns = findTask(state, key)?.stalledRuns ?? 0;
      if (!request.isLasting && !request.isGang) {
        yield {
          key,
          run,
          ageMilliseconds: state.now - since - lostMillisecondsOf(run, state.now),
          expectedMilliseconds: request.estimatedMilliseconds * STALL_BACKOFF_FACTOR ** stalledRuns,
        };
      }
    }
  }
}

function isOverdue({ ageMilliseconds, expectedMilliseconds }: RunAge): boolean {
  return ageMilliseconds > expectedMilliseconds * OVERDUE_FACTOR + OVERDUE_GRACE_MILLISECONDS;
}

function isFarOverdue({ ageMilliseconds, expectedMilliseconds }: RunAge): boolean {
  return ageMilliseconds > expectedMilliseconds * SINGLE_RUN_OVERDUE_FACTOR + OVERDUE_GRACE_MILLISECONDS;
}

/** Returns the overdue runs of a worker if the worker is at fault, else only the runs that are far overdue. */
export function findStalledRuns(state: ServiceState, worker: WorkerState): readonly RunAge[] {
  const ages = [...runAgesOn(state, worker)];
  const overdue = ages.filter(isOverdue);
  const isWorkerAtFault =
    overdue.length >= MINIMUM_OVERDUE_RUNS && overdue.length >= ages.length * OVERDUE_SHARE;
  return isWorkerAtFault ? overdue : ages.filter(isFarOverdue);
}

/** Returns the cooldown of a worker after a number of consecutive cooldowns. */
export function cooldownMilliseconds(consecutiveCooldowns: number): number {
  return Math.min(MAXIMUM_COOLDOWN_MILLISECONDS, INITIAL_COOLDOWN_MILLISECONDS * 2 ** consecutiveCooldowns);
}

function* ejectWorker(state: ServiceState, worker: WorkerState, reason: string): ServiceStep<ServiceState> {
  const { workerId, hostId } = worker.listing;
  const milliseconds = cooldownMilliseconds(worker.consecutiveCooldowns);
  yield { kind: 'log', decision: 'workerEjected', fields: { workerId, hostId, reason, milliseconds } };
  return setWorker(
    state,
    updateWorker(worker, {
      cooldownUntil: state.now + milliseconds,
      consecutiveCooldowns: worker.consecutiveCooldowns + 1,
      consecutiveFailures: 0,
    }),
  );
}

/** Ticks in which each worker's runs are checked once; the checks are spread over these ticks. */
const TICKS_PER_HEALTH_CHECK = 5;

function* stopStalledRuns(state: ServiceState, worker: WorkerState): ServiceStep<ServiceState> {
  const stalled = findStalledRuns(state, worker);
  if (stalled.length === 0) return state;
  let next =
    worker.cooldownUntil > state.now ? state : yield* ejectWorker(state, worker, 'its runs are stalled');
  for (const { key, run } of stalled) {
    next = changeTask(next, key, (task) => updateTask(task, { stalledRuns: task.stalledRuns + 1 }));
    next = yield* orderStop(next, key, run, 'the run is stalled on its worker');
  }
  return next;
}

/** Ejects unhealthy workers and stops the stalled runs on them. */
export function* ejectUnhealthyWorkers(state: ServiceState): ServiceStep<ServiceState> {
  let next = state;
  let position = state.ticks.count;
  for (const workerId of state.workers.keys()) {
    position += 1;
    const worker = next.workers.get(workerId);
    if (worker?.hasAcknowledgedEpoch === true && worker.silentSince === null) {
      const isFailing = worker.consecutiveFailures >= MAXIMUM_CONSECUTIVE_FAILURES;
      if (isFailing) next = yield* ejectWorker(next, worker, 'consecutive runs failed');
      else if (position % TICKS_PER_HEALTH_CHECK === 0) next = yield* stopStalledRuns(next, worker);
    }
  }
  return next;
}
