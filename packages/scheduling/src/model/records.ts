/** Records of a service's topic: the durable state of its jobs. The newest record of each subject counts. */
import type { JobRequest } from './job.js';

/** A run as recorded before it is started. */
export interface RecordedRun {
  readonly run: number;
  readonly workerId: string;
  readonly incarnation: number;
}

/** Recorded progress of one task. Tasks that never started have no entry. */
export interface TaskProgress {
  readonly index: number;
  readonly isDone: boolean;
  readonly lastRun: number;
  readonly failedRuns: number;
  /** Number of workers that crashed under the task and may have been crashed by it. */
  readonly workerCrashes: number;
  /** Whether the task runs alone on a worker, since it may crash its workers. */
  readonly isQuarantined: boolean;
  /** The newest checkpoint; empty for none. */
  readonly checkpoint: string;
  readonly runs: readonly RecordedRun[];
}

/** Recorded progress of one occurrence, by step. */
export interface OccurrenceProgress {
  readonly occurrence: number;
  readonly steps: readonly (readonly TaskProgress[])[];
}

/** Lifecycle phase of a job. */
export type JobPhase = 'active' | 'completed' | 'failed' | 'cancelled';

/** Recorded progress of a job. */
export interface JobProgress {
  readonly phase: JobPhase;
  /** The job's queue, needed once its request is deleted. */
  readonly queue: string;
  /** Occurrences that are done beyond `occurrencesDoneBelow`; all below that number are done, too. */
  readonly occurrencesDone: readonly number[];
  readonly occurrencesDoneBelow: number;
  /** Empty for a job whose tasks are recorded in parts. */
  readonly occurrences: readonly OccurrenceProgress[];
  /** Whether a worker was known to have started a run of the job. */
  readonly hasStarted: boolean;
  /** Why the job has failed; null if it has not, or was ended by an earlier version. */
  readonly failureReason: string | null;
}

/** Identifies a part of a job: a fixed range of the tasks of one occurrence, counted through its steps. */
export interface JobPart {
  readonly jobId: string;
  readonly occurrence: number;
  /** Index of the part in its occurrence. */
  readonly part: number;
}

/** Recorded progress of the tasks of one part. */
export interface JobPartProgress extends JobPart {
  readonly steps: readonly { readonly step: number; readonly tasks: readonly TaskProgress[] }[];
}

/** Recorded model of the interference between images. */
export interface InterferenceRecord {
  readonly recordedAt: Date;
  readonly baselines: readonly {
    readonly image: string;
    readonly isServing: boolean;
    readonly mean: number;
    readonly variance: number;
    readonly noise: number;
    readonly samples: number;
    readonly ageMilliseconds: number;
  }[];
  readonly pairs: readonly {
    readonly slowed: string;
    readonly beside: string;
    readonly effect: number;
    readonly variance: number;
    readonly samples: number;
    readonly firstSample: number;
    readonly isHarmful: boolean;
    readonly ageMilliseconds: number;
  }[];
}

/** Record of a job that another service schedules. */
export interface JobForwardRecord {
  readonly kind: 'job-forwarded';
  readonly jobId: string;
  readonly service: string;
  /** Whether the inbox of that service was known to hold the job. */
  readonly isSent: boolean;
}

/** Content of a record, by its subject. */
export type ServiceRecord =
  | { readonly kind: 'job-accepted'; readonly request: JobRequest }
  | { readonly kind: 'job-cancelled'; readonly jobId: string }
  | { readonly kind: 'job-progress'; readonly jobId: string; readonly progress: JobProgress }
  | { readonly kind: 'job-forgotten'; readonly jobId: string }
  | JobForwardRecord
  | { readonly kind: 'job-part-progress'; readonly part: JobPartProgress }
  | { readonly kind: 'job-part-forgotten'; readonly part: JobPart }
  | { readonly kind: 'worker-released'; readonly workerId: string; readonly incarnation: number }
  | { readonly kind: 'worker-returned'; readonly workerId: string }
  | { readonly kind: 'interference-learned'; readonly model: InterferenceRecord }
  | { readonly kind: 'ownership-claimed'; readonly owner: string };

/** A record with its offset. */
export interface StoredServiceRecord {
  readonly offset: number;
  readonly record: ServiceRecord;
}
