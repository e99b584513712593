/** Stops gangs that have lost a member: the other members would wait for it without making progress. */
import type { TaskKey } from '../model/job.js';
import type { ServiceStep } from '../state/effect.js';
import { orderStop } from './runs.js';
import type { JobState, Run, ServiceState, StepState, TaskState } from '../state/service-state.js';
import { updateService } from '../state/update.js';

/** Returns whether a run may be at work; a run on a terminated worker is kept only until no order for it can arrive. */
function isOnLiveWorker(state: ServiceState, run: Run): boolean {
  return state.workers.get(run.workerId)?.isTerminated !== true;
}

/** Returns whether some unfinished members of a gang have a run on a live worker and others have none. */
function isIncomplete(state: ServiceState, { tasks }: StepState): boolean {
  const isPresent = ({ runs }: TaskState): boolean => runs.some((run) => isOnLiveWorker(state, run));
  const unfinished = tasks.filter((task) => !task.isDone);
  return unfinished.some(isPresent) && !unfinished.every(isPresent);
}

function* runsOfIncompleteGangs(
  state: ServiceState,
  job: JobState,
): Generator<readonly [key: TaskKey, run: Run], void, void> {
  const { jobId } = job.request;
  for (const { occurrence, steps } of job.occurrences.values()) {
    for (const [step, gang] of steps.entries()) {
      if (job.request.steps[step]?.isGang === true && isIncomplete(state, gang)) {
        for (const [index, { runs }] of gang.tasks.entries()) {
          for (const run of runs) yield [{ jobId, occurrence, step, index }, run];
        }
      }
    }
  }
}

/** Stops the remaining runs of gangs that have lost a member. */
export function* stopIncompleteGangs(state: ServiceState): ServiceStep<ServiceState> {
  if (state.brokenGangJobIds.isEmpty()) return state;
  let next: ServiceState = updateService(state, { brokenGangJobIds: state.brokenGangJobIds.clear() });
  for (const jobId of state.brokenGangJobIds) {
    const job = state.jobs.get(jobId);
    if (job?.hasGang === true && job.phase === 'active') {
      for (const [key, run] of [...runsOfIncompleteGangs(next, job)]) {
        next = yield* orderStop(next, key, run, 'a member of its gang is missing');
      }
    }
  }
  return next;
}
