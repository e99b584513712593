/** Forgets ended jobs: their occurrences once all their runs have ended, their status after the retention time. */
import type { ServiceStep } from '../state/effect.js';
import { setJob } from '../state/job-index.js';
import { partsOf } from '../state/recorded-parts.js';
import { runsOfJob } from './jobs.js';
import type { Instant } from '../model/instant.js';
import type { ServiceState } from '../state/service-state.js';
import { updateJob, updateService } from '../state/update.js';

/** Removes ended jobs from the active jobs once their end is stored and they have no runs. */
function settleOverJobs(state: ServiceState): ServiceState {
  let next = state;
  for (const jobId of state.endingJobIds) {
    const job = state.jobs.get(jobId);
    const isSettled = job === undefined || (job.recordedPhase !== 'active' && runsOfJob(job).length === 0);
    if (isSettled && !next.dirtyJobIds.has(jobId)) {
      const settled =
        job === undefined ? next : setJob(next, updateJob(job, { occurrences: job.occurrences.clear() }));
      next = updateService(settled, {
        activeJobIds: settled.activeJobIds.remove(jobId),
        endingJobIds: settled.endingJobIds.remove(jobId),
      });
    }
  }
  return next;
}

function* forgetEndedJobs(state: ServiceState, endedBefore: Instant): ServiceStep<ServiceState> {
  let next = state;
  for (const jobId of state.endedJobIds) {
    const job = state.jobs.get(jobId);
    if (job !== undefined && (job.endedAt ?? Infinity) >= endedBefore) return next;
    if (!next.activeJobIds.has(jobId)) {
      yield { kind: 'log', decision: 'jobForgotten', fields: { jobId, phase: job?.phase ?? null } };
      next = updateService(next, {
        jobs: next.jobs.remove(jobId),
        endedJobIds: next.endedJobIds.remove(jobId),
        forgottenJobs: next.forgottenJobs.set(
          jobId,
          job === undefined ? [] : partsOf(jobId, job.recordedOccurrences),
        ),
      });
    }
  }
  return next;
}

/** Forgets ended jobs, and cancellations of jobs that were never accepted, after the retention time. */
export function* forgetJobs(state: ServiceState): ServiceStep<ServiceState> {
  const endedBefore = state.now - state.parameters.statusRetentionMilliseconds;
  const next = yield* forgetEndedJobs(settleOverJobs(state), endedBefore);
  if (next.earlyCancels.isEmpty()) return next;
  const earlyCancels = next.earlyCancels.filter((since) => since >= endedBefore);
  return earlyCancels.size === next.earlyCancels.size ? next : updateService(next, { earlyCancels });
}
