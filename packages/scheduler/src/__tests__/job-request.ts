/** A request of a job with one short task. */
import { PLAIN_STEP, type JobRequest } from '@baobabdeck/scheduling';

/** Returns the request of a job of the service `quotes`. */
export function requestOf(jobId: string): JobRequest {
  return {
    jobId,
    service: 'quotes',
    queue: 'quotes',
    queueAddress: 'quotes',
    workspace: null,
    specification: 'work',
    steps: [PLAIN_STEP],
    repetition: null,
    priority: 0,
    maximumFailedRuns: 3,
    stretch: 2,
    targetMilliseconds: 500,
    advice: null,
    ageMilliseconds: 0,
    acceptedAt: new Date(0),
  };
}
