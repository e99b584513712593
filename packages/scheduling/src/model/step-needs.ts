/** Requests and reservations of the steps of a job. */
import type { JobRequest, StepRequest } from './job.js';
import type { Resources } from './resources.js';

/** Returns the capacity that a task of a step reserves on its worker: no cores if it uses spare capacity. */
export function reservedResourcesOf(step: StepRequest): Resources {
  return step.usesSpareCapacity ? { ...step.needs, milliCores: 0 } : step.needs;
}

/**
 * Returns the request of a step.
 * @throws {RangeError} if the job has no such step
 */
export function stepRequestOf(request: JobRequest, step: number): StepRequest {
  const found = request.steps[step];
  if (found === undefined) throw new RangeError(`Job ${request.jobId} has no step ${step}`);
  return found;
}
