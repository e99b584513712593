/**
 * Finds workers that look well and are not: those that fail whatever they start, and those whose tasks stand still or
 * crawl while their peers' end in time. Such a worker rests, longer each time, and tries itself on few tasks again.
 */
import type { TaskKey } from '../model/job.js';
import type { ServiceStep } from '../service/effect.js';
import { orderStop } from '../service/runs.js';
import type { Run, ServiceState, WorkerState } from '../service/state.js';
import { changeTask, findTask, runsOnWorker } from '../service/tasks.js';
import { setWorker } from '../service/worker-index.js';
import { stepRequestOf } from '../model/step-needs.js';
import { updateTask, updateWorker } from '../service/update.js';

/** Failed runs in a row after which a worker rests. */
const FAILURES_IN_A_ROW = 3;

/** The first rest, and the longest. */
const FIRST_REST_MILLISECONDS = 1_500;
const LONGEST_REST_MILLISECONDS = 12_000;

/** A run is overdue after this many times its estimate, and the grace that short tasks need. */
const OVERDUE_FACTOR = 2.5;
const OVERDUE_GRACE_MILLISECONDS = 1_200;

/** Overdue runs, and their share of a worker's runs, that speak against the worker rather than the tasks. */
const LEAST_OVERDUE = 2;
const OVERDUE_SHARE = 0.5;

/** A lone overdue run speaks against its worker only when it is this much over. */
const LONE_OVERDUE_FACTOR = 14;

/** Each time that a task was stopped for standing still, it gets this many times longer: it may just be long. */
const PATIENCE_FACTOR = 2;

interface RunAge {
  readonly key: TaskKey;
  readonly run: Run;
  readonly ageMilliseconds: number;
  /** How long it may be expected to take. */
  readonly expectedMilliseconds: number;
}

/** Runs whose end can be expected: lasting tasks have none, and gangs wait for one another. */
function* agesOn(state: ServiceState, worker: WorkerState): Generator<RunAge, void, void> {
  for (const [key, run] of runsOnWorker(state, worker)) {
    const job = state.jobs.get(key.jobId);
    if (job !== undefined && run.phase === 'running') {
      const request = stepRequestOf(job.request, key.step);
      const since = run.startedAt ?? run.acknowledgedAt ?? run.placedAt;
      const slowStops = findTask(state, key)?.stalledRuns ?? 0;
      if (!request.isLasting && !request.isGang) {
        yield {
          key,
          run,
          ageMilliseconds: state.now - since,
          expectedMilliseconds: request.estimatedMilliseconds * PATIENCE_FACTOR ** slowStops,
        };
      }
    }
  }
}

function isOverdue({ ageMilliseconds, expectedMilliseconds }: RunAge): boolean {
  return ageMilliseconds > expectedMilliseconds * OVERDUE_FACTOR + OVERDUE_GRACE_MILLISECONDS;
}

function isFarOverdue({ ageMilliseconds, expectedMilliseconds }: RunAge): boolean {
  return ageMilliseconds > expectedMilliseconds * LONE_OVERDUE_FACTOR + OVERDUE_GRACE_MILLISECONDS;
}

/** The overdue runs of a worker, if they speak against it; none otherwise. */
export function findStandingStill(state: ServiceState, worker: WorkerState): readonly RunAge[] {
  const ages = [...agesOn(state, worker)];
  const overdue = ages.filter(isOverdue);
  const isWorkers = overdue.length >= LEAST_OVERDUE && overdue.length >= ages.length * OVERDUE_SHARE;
  return isWorkers ? overdue : ages.filter(isFarOverdue);
}

/** The time for which a worker rests after so many rests in a row. */
export function restMilliseconds(restsInARow: number): number {
  return Math.min(LONGEST_REST_MILLISECONDS, FIRST_REST_MILLISECONDS * 2 ** restsInARow);
}

function* rest(state: ServiceState, worker: WorkerState, reason: string): ServiceStep<ServiceState> {
  const { workerId, hostId } = worker.listing;
  const milliseconds = restMilliseconds(worker.consecutiveCooldowns);
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

/** Ticks in which each worker's runs are looked at once; the looks are spread over them. */
const TICKS_PER_EXAMINATION = 5;

function* stopStandingStill(state: ServiceState, worker: WorkerState): ServiceStep<ServiceState> {
  const standing = findStandingStill(state, worker);
  if (standing.length === 0) return state;
  let next = worker.cooldownUntil > state.now ? state : yield* rest(state, worker, 'its tasks stand still');
  for (const { key, run } of standing) {
    next = changeTask(next, key, (task) => updateTask(task, { stalledRuns: task.stalledRuns + 1 }));
    next = yield* orderStop(next, key, run, 'it stands still on its worker');
  }
  return next;
}

/** Lets sick workers rest, and takes away what stands still on them. */
export function* restSickWorkers(state: ServiceState): ServiceStep<ServiceState> {
  let next = state;
  let position = state.ticks.count;
  for (const workerId of state.workers.keys()) {
    position += 1;
    const worker = next.workers.get(workerId);
    if (worker?.hasAcknowledgedEpoch === true && worker.silentSince === null) {
      const isFailing = worker.consecutiveFailures >= FAILURES_IN_A_ROW;
      if (isFailing) next = yield* rest(next, worker, 'it fails what it starts');
      else if (position % TICKS_PER_EXAMINATION === 0) next = yield* stopStandingStill(next, worker);
    }
  }
  return next;
}
