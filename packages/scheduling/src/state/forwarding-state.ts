/** Jobs that were submitted to the inbox of this service and are scheduled by another one. */
import { Map as PersistentMap, OrderedSet as PersistentOrderedSet } from 'immutable';
import type { JobRequest } from '../model/job.js';
import type { QueueReference } from '../model/queue.js';
import type { Instant } from '../model/instant.js';

/** A job that is forwarded to another service. */
export interface ForwardedJob {
  /** The service that schedules the job. */
  readonly service: string;
  readonly queue: QueueReference;
  /** The workspace whose key submitted the job; null if none did. */
  readonly workspace: string | null;
  /** Null once the inbox of the service holds it. */
  readonly request: JobRequest | null;
  /** When the inbox of the service was known to hold the job; null before that. */
  readonly sentAt: Instant | null;
}

/** All forwarded jobs that the other services may still know. */
export interface ForwardingState {
  readonly jobs: PersistentMap<string, ForwardedJob>;
  /** Jobs whose entry has changed since it was last recorded, the longest waiting first. */
  readonly unrecordedJobIds: PersistentOrderedSet<string>;
  /** When the other services were last asked which jobs they no longer know. */
  readonly reviewedAt: Instant;
}

/** Returns the state without forwarded jobs. */
export function noForwardedJobs(now: Instant): ForwardingState {
  return { jobs: PersistentMap(), unrecordedJobIds: PersistentOrderedSet(), reviewedAt: now };
}

/** Returns the entry of a job that the inbox of its service does not hold yet. */
export function unsentJob(request: JobRequest, service: string): ForwardedJob {
  return {
    service,
    queue: { name: request.queue, address: request.queueAddress },
    workspace: request.workspace,
    request: { ...request, service },
    sentAt: null,
  };
}
