/** Identity of a queue, by which its jobs are found again. */
import type { JobRequest } from './job.js';

/** Refers to a queue. */
export interface QueueReference {
  readonly name: string;
  /** Host name and path prefix, which stay while the name and the service change; null if unknown. */
  readonly address: string | null;
}

/** Whether two references are to the same queue. Names are compared only where an address is unknown. */
export function isSameQueue(left: QueueReference, right: QueueReference): boolean {
  return left.address === null || right.address === null
    ? left.name === right.name
    : left.address === right.address;
}

/** Whether a job was submitted to a queue. */
export function isJobOfQueue({ queue, queueAddress }: JobRequest, reference: QueueReference): boolean {
  return isSameQueue({ name: queue, address: queueAddress }, reference);
}
