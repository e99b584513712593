/** Records of a service's topic: what must last of its jobs. The newest record of each subject counts. */
import type { JobRequest } from './job.js';

/** A run as it is recorded before it is started. */
export interface RecordedRun {
  readonly run: number;
  readonly workerId: string;
  readonly incarnation: number;
}

/** What is recorded of one task. Tasks that never started have no entry. */
export interface TaskProgress {
  readonly index: number;
  readonly isDone: boolean;
  readonly lastRun: number;
  readonly failedRuns: number;
  /** Empty for none. */
  readonly checkpoint: string;
  readonly runs: readonly RecordedRun[];
}

/** What is recorded of one occurrence, step by step. */
export interface OccurrenceProgress {
  readonly occurrence: number;
  readonly steps: readonly (readonly TaskProgress[])[];
}

/** Where a job stands. */
export type JobPhase = 'active' | 'completed' | 'failed' | 'cancelled';

/** What is recorded of a job's progress. */
export interface JobProgress {
  readonly phase: JobPhase;
  /** The queue, for a job whose request is kept no more. */
  readonly queue: string;
  /** Occurrences that are done; all below `occurrencesDoneBelow` are, too. */
  readonly occurrencesDone: readonly number[];
  readonly occurrencesDoneBelow: number;
  readonly occurrences: readonly OccurrenceProgress[];
}

/** Content of a record, by the subject that it is about. */
export type ServiceRecord =
  | { readonly kind: 'job-accepted'; readonly request: JobRequest }
  | { readonly kind: 'job-cancelled'; readonly jobId: string }
  | { readonly kind: 'job-progress'; readonly jobId: string; readonly progress: JobProgress }
  | { readonly kind: 'job-forgotten'; readonly jobId: string }
  | { readonly kind: 'worker-released'; readonly workerId: string; readonly incarnation: number }
  | { readonly kind: 'worker-returned'; readonly workerId: string }
  | { readonly kind: 'ownership-claimed'; readonly owner: string };

/** A record at its offset. */
export interface StoredServiceRecord {
  readonly offset: number;
  readonly record: ServiceRecord;
}
