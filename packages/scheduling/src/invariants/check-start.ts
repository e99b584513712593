/** Checks the invariants that hold whenever a task is started; docs/INVARIANTS.md gives the reason for each. */
import { refusesTask } from '../decide/placement/eligibility.js';
import { taskIdOf, type StepRequest, type TaskKey } from '../model/job.js';
import { isolationIdOfTask, runsBeside } from '../decide/quarantine/crash-evidence.js';
import type { JobState, Run, ServiceState, StepState, WorkerState } from '../state/service-state.js';
import { SHARING_PATIENCE_MILLISECONDS } from '../state/quarantine-state.js';
import { findTask } from '../state/tasks.js';
import { stepRequestOf } from '../model/step-needs.js';

/** Names of the invariants on starts. */
export type StartInvariant =
  | 'starts-what-was-asked'
  | 'starts-once'
  | 'starts-after-earlier-steps'
  | 'starts-within-attempts'
  | 'starts-within-worker-crashes'
  | 'quarantined-task-is-isolated'
  | 'leaving-worker-gets-no-task';

/** A violation of an invariant by a start. */
export interface StartViolation {
  readonly invariant: StartInvariant;
  readonly detail: string;
}

/** Number of counted crashes after which a task is not started any more. */
const MAXIMUM_WORKER_CRASHES = 4;

function isStepDone(steps: readonly StepState[], step: number): boolean {
  const earlier = steps[step];
  return earlier !== undefined && earlier.tasks.every((task) => task.isDone);
}

function* findTaskViolations(
  job: JobState,
  request: StepRequest,
  steps: readonly StepState[],
  key: TaskKey,
  run: Run,
): Generator<StartViolation, void, void> {
  const task = steps[key.step]?.tasks[key.index];
  if (task === undefined || task.isDone) {
    yield { invariant: 'starts-once', detail: 'the task is done' };
    return;
  }
  if (!request.allowsCopies && task.runs.some((other) => other.run !== run.run)) {
    yield { invariant: 'starts-once', detail: 'another run of the task has not ended' };
  }
  const unfinished = request.after.filter((earlier) => !isStepDone(steps, earlier));
  if (unfinished.length > 0) {
    yield { invariant: 'starts-after-earlier-steps', detail: `step ${unfinished[0]} is not done` };
  }
  if (!request.isLasting && task.failedRuns >= job.request.maximumFailedRuns) {
    yield { invariant: 'starts-within-attempts', detail: `${task.failedRuns} runs have failed` };
  }
  if (task.workerCrashes > MAXIMUM_WORKER_CRASHES) {
    const detail = `${task.workerCrashes} workers have crashed under the task`;
    yield { invariant: 'starts-within-worker-crashes', detail };
  }
}

/**
 * Yields a violation if a task would start beside a quarantined one, or a quarantined one beside another without having
 * waited for an empty worker.
 */
function* findIsolationViolations(
  state: ServiceState,
  key: TaskKey,
  run: Run,
  worker: WorkerState,
): Generator<StartViolation, void, void> {
  if (state.quarantine.tasks.isEmpty()) return;
  const task = findTask(state, key);
  const hasWaited = task !== null && run.placedAt - task.waitingSince >= SHARING_PATIENCE_MILLISECONDS;
  const mustRunAlone = task?.isQuarantined === true && !hasWaited;
  for (const [other] of runsBeside(state, worker, isolationIdOfTask(state, key))) {
    if (mustRunAlone || findTask(state, other)?.isQuarantined === true) {
      yield { invariant: 'quarantined-task-is-isolated', detail: `beside ${taskIdOf(other)}` };
    }
  }
}

/** Yields every invariant that the start of a run violates; empty if the run may start. */
export function* findStartViolations(
  state: ServiceState,
  key: TaskKey,
  run: Run,
): Generator<StartViolation, void, void> {
  const job = state.jobs.get(key.jobId);
  const steps = job?.occurrences.get(key.occurrence)?.steps;
  if (job === undefined || job.phase !== 'active' || steps === undefined) {
    yield { invariant: 'starts-what-was-asked', detail: 'the job is not active' };
    return;
  }
  const request = stepRequestOf(job.request, key.step);
  yield* findTaskViolations(job, request, steps, key, run);
  const worker = state.workers.get(run.workerId);
  if (worker === undefined) return;
  if (refusesTask(state, worker, request)) {
    yield { invariant: 'leaving-worker-gets-no-task', detail: `worker ${run.workerId} is leaving` };
  }
  yield* findIsolationViolations(state, key, run, worker);
}
