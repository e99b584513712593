/** Stops gangs that have lost a member: the other members would wait for it without making progress. */
import type { TaskKey } from '../model/job.js';
import type { ServiceStep } from '../service/effect.js';
import { orderStop } from '../service/runs.js';
import type { JobState, Run, ServiceState, StepState } from '../service/state.js';
import { updateService } from '../service/update.js';

/** Returns whether some unfinished members of a gang have a run and others have none. */
function isIncomplete({ tasks }: StepState): boolean {
  const isPresent = tasks.some((task) => !task.isDone && task.runs.length > 0);
  return isPresent && tasks.some((task) => !task.isDone && task.runs.length === 0);
}

function* runsOfIncompleteGangs(job: JobState): Generator<readonly [key: TaskKey, run: Run], void, void> {
  const { jobId } = job.request;
  for (const { occurrence, steps } of job.occurrences.values()) {
    for (const [step, state] of steps.entries()) {
      if (job.request.steps[step]?.isGang === true && isIncomplete(state)) {
        for (const [index, { runs }] of state.tasks.entries()) {
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
      for (const [key, run] of [...runsOfIncompleteGangs(job)]) {
        next = yield* orderStop(next, key, run, 'a member of its gang is missing');
      }
    }
  }
  return next;
}
