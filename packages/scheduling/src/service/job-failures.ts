/** Ends jobs as failed, and logs the evidence for it. */
import { taskIdOf, type TaskKey } from '../model/job.js';
import type { SchedulingFields, ServiceStep } from '../state/effect.js';
import type { CrashEvidence } from '../state/quarantine-state.js';
import type { ServiceState } from '../state/service-state.js';
import { endJob } from './jobs.js';

/** Why a job has failed. No other cause ends a job as failed, above all no configuration, which may be changed again. */
export type JobFailure =
  | {
      /** The runs of a task, or of the members of a gang, ended as failed too often. */
      readonly kind: 'runs-failed';
      readonly key: TaskKey;
      readonly failedRuns: number;
      readonly limit: number;
      readonly lastWorkerId: string;
    }
  | {
      /** Too many workers crashed under a task. */
      readonly kind: 'workers-crashed';
      readonly key: TaskKey;
      readonly workerCrashes: number;
      readonly limit: number;
      /** Evidence of the last crash. */
      readonly evidence: CrashEvidence;
    };

/** Describes a failure to the caller of the job. */
function describeFailure(failure: JobFailure): string {
  const { step, index } = failure.key;
  const place = `task ${index} of step ${step}`;
  return failure.kind === 'runs-failed'
    ? `${failure.failedRuns} runs failed: ${place}`
    : `${failure.workerCrashes} workers crashed: ${place}`;
}

function evidenceFields(failure: JobFailure): SchedulingFields {
  if (failure.kind === 'runs-failed') {
    const { failedRuns, limit, lastWorkerId } = failure;
    return { failedRuns, limit, workerId: lastWorkerId };
  }
  const { workerCrashes, limit, evidence } = failure;
  const { crashId, isConfirmed, isYoung, wasAlone } = evidence;
  return { workerCrashes, limit, crashId, isConfirmed, isYoung, wasAlone };
}

/** Returns the limits of a workspace in force, and the versions of the configuration that they come from. */
function limitFields({ workspaces }: ServiceState, workspace: string | null): SchedulingFields {
  if (workspace === null) return {};
  const grant = workspaces.grants.get(workspace);
  const cap = grant?.cap ?? workspaces.terms.get(workspace)?.cap;
  return {
    workspace,
    capMilliCores: cap?.milliCores ?? null,
    capMemoryMegabytes: cap?.memoryMegabytes ?? null,
    grantedMilliCores: grant?.limit.milliCores ?? null,
    configurationVersion: workspaces.termsVersion,
    cappedVersion: workspaces.cappedVersion,
  };
}

/** Ends a job as failed. */
export function* failJob(state: ServiceState, failure: JobFailure): ServiceStep<ServiceState> {
  const { jobId } = failure.key;
  const job = state.jobs.get(jobId);
  if (job === undefined || job.phase !== 'active') return state;
  const fields = {
    jobId,
    task: taskIdOf(failure.key),
    cause: failure.kind,
    ...evidenceFields(failure),
    ...limitFields(state, job.request.workspace),
  };
  yield { kind: 'log', decision: 'jobFailed', fields };
  return yield* endJob(state, jobId, 'failed', describeFailure(failure));
}
