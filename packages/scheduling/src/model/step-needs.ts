/** What the steps of a job ask for. */
import type { JobRequest, StepRequest } from './job.js';
import type { Resources } from './resources.js';

/** What a task takes of its worker's room. */
export function reservedResourcesOf(step: StepRequest): Resources {
  return step.usesSpareCapacity ? { ...step.needs, milliCores: 0 } : step.needs;
}

/** The request of a task's step. */
export function stepRequestOf(request: JobRequest, step: number): StepRequest {
  const found = request.steps[step];
  if (found === undefined) throw new RangeError(`Job ${request.jobId} has no step ${step}`);
  return found;
}
