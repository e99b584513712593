/** Identity of a queue, by which its jobs are found again. */
import type { JobRequest } from './job.js';

/** Refers to a queue. */
export interface QueueReference {
  readonly name: string;
  /** Host name and path prefix, which stay while the name and the service change; null if unknown. */
  readonly address: string | null;
}

/** Whether a job was submitted to a queue. Names are compared only where an address is unknown. */
export function isJobOfQueue(request: JobRequest, queue: QueueReference): boolean {
  return request.queueAddress === null || queue.address === null
    ? request.queue === queue.name
    : request.queueAddress === queue.address;
}
