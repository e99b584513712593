/** What callers ask of the scheduler, and what they are answered. */
import type { JobStatus, Repetition, StepRequest } from '@baobabdeck/scheduling';
import type { Queue } from './operator.js';

/** A job as a caller hands it in. */
export interface SubmittedJob {
  readonly jobId: string;
  readonly specification: string;
  readonly steps: readonly StepRequest[];
  readonly repetition: Repetition | null;
}

/** Which queue a request is for. */
export type QueueLookup =
  | { readonly kind: 'found'; readonly queue: Queue; readonly remainingPath: string }
  | { readonly kind: 'unknown' }
  | { readonly kind: 'no-configuration' };

/** The answer to a job handed in. */
export type SubmitResult =
  | { readonly kind: 'accepted' }
  /** It is not accepted and never runs. */
  | { readonly kind: 'refused'; readonly reason: string; readonly retryAfterSeconds: number }
  /** It may have been accepted. */
  | { readonly kind: 'unknown' };

/** The answer to a question on a job. */
export type JobStatusResult =
  | { readonly kind: 'known'; readonly status: JobStatus }
  | { readonly kind: 'unknown-job' }
  | { readonly kind: 'unavailable' };

/** The answer to a cancelling. */
export type CancelResult =
  { readonly kind: 'cancelled' } | { readonly kind: 'unknown-job' } | { readonly kind: 'unavailable' };

/** The answer to a question on a queue. */
export type PendingCountResult =
  { readonly kind: 'counted'; readonly pending: number } | { readonly kind: 'unavailable' };

/** What the scheduler does for callers. */
export interface CallerService {
  readonly findQueue: (hostName: string, path: string) => QueueLookup;
  readonly submit: (queue: Queue, job: SubmittedJob, patienceMilliseconds: number) => Promise<SubmitResult>;
  readonly getJobStatus: (
    queue: Queue,
    jobId: string,
    patienceMilliseconds: number,
  ) => Promise<JobStatusResult>;
  readonly cancel: (queue: Queue, jobId: string, patienceMilliseconds: number) => Promise<CancelResult>;
  readonly countPending: (queue: Queue, patienceMilliseconds: number) => Promise<PendingCountResult>;
  /** Whether new connections should come here, and why not. */
  readonly readiness: () => { readonly isReady: boolean; readonly reason: string };
  readonly isStopping: () => boolean;
  /** Bytes that a request's body may have; null before a configuration is in force. */
  readonly bodyLimitBytes: () => number | null;
}
