/** The operations that the scheduler offers to callers, and their results. */
import type { JobStatus, Repetition, StepRequest } from '@baobabdeck/scheduling';
import type { Queue } from './operator.js';

/** A job as submitted by a caller. */
export interface SubmittedJob {
  readonly jobId: string;
  readonly specification: string;
  readonly steps: readonly StepRequest[];
  readonly repetition: Repetition | null;
}

/** The queue that a host name and path lead to; `remainingPath` is the path without the prefix of the queue. */
export type QueueLookup =
  | { readonly kind: 'found'; readonly queue: Queue; readonly remainingPath: string }
  | { readonly kind: 'unknown' }
  | { readonly kind: 'no-configuration' };

/** The result of a submission. */
export type SubmitResult =
  | { readonly kind: 'accepted' }
  /** The job was not accepted and never runs. */
  | { readonly kind: 'refused'; readonly reason: string; readonly retryAfterSeconds: number }
  /** The job can never be accepted as it is. */
  | { readonly kind: 'too-large'; readonly detail: string }
  /** The job may have been accepted. */
  | { readonly kind: 'unknown' };

/** The result of a job status query. */
export type JobStatusResult =
  | {
      readonly kind: 'known';
      readonly status: JobStatus;
      /** Why the job has failed; null if it has not, or if that is not known. */
      readonly failureReason: string | null;
    }
  | { readonly kind: 'unknown-job' }
  | { readonly kind: 'unavailable' };

/** The result of a cancellation. */
export type CancelResult =
  { readonly kind: 'cancelled' } | { readonly kind: 'unknown-job' } | { readonly kind: 'unavailable' };

/** The number of pending jobs of a queue. */
export type PendingCountResult =
  { readonly kind: 'counted'; readonly pending: number } | { readonly kind: 'unavailable' };

/**
 * Whether a call may go on. The workspace is null if the call needs no key. Reasons are fixed words that never contain a
 * part of a header.
 */
export type Authentication =
  | { readonly kind: 'authenticated'; readonly workspace: string | null }
  | {
      readonly kind: 'unauthenticated';
      readonly reason: 'no-header' | 'several-headers' | 'malformed-header' | 'unknown-key';
    };

/** The authentication of a call by the configuration in force. */
export type CallerAuthentication =
  | Authentication
  /** The configuration may be outdated, and the settings forbid to rely on it. */
  | { readonly kind: 'unverifiable' };

/**
 * The operations for callers. A timeout is the time that is left until the caller must have its answer. A workspace
 * is that of the caller's key; null if the call needed none.
 */
export interface CallerService {
  readonly findQueue: (hostName: string, path: string) => QueueLookup;
  /** Identifies the caller by the values of all its `Authorization` headers. */
  readonly authenticate: (queue: Queue, authorizations: readonly string[]) => Promise<CallerAuthentication>;
  readonly submit: (
    queue: Queue,
    job: SubmittedJob,
    timeoutMilliseconds: number,
    workspace: string | null,
  ) => Promise<SubmitResult>;
  /** The status of a job of another workspace is that of an unknown job. */
  readonly getJobStatus: (
    queue: Queue,
    jobId: string,
    timeoutMilliseconds: number,
    workspace: string | null,
  ) => Promise<JobStatusResult>;
  readonly cancel: (
    queue: Queue,
    jobId: string,
    timeoutMilliseconds: number,
    workspace: string | null,
  ) => Promise<CancelResult>;
  readonly countPending: (queue: Queue, timeoutMilliseconds: number) => Promise<PendingCountResult>;
  /** Whether the load balancer should send new connections to this process, and if not, the reason. */
  readonly readiness: () => { readonly isReady: boolean; readonly reason: string };
  readonly isStopping: () => boolean;
  /** The largest body of a request, in bytes; null before a configuration is in force. */
  readonly bodyLimitBytes: () => number | null;
}
