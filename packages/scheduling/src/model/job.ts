/** Jobs as submitted by callers: steps of identical tasks. */
import type { Resources } from './resources.js';

/** A step of a job: a number of identical tasks that may start once the steps it depends on are done. */
export interface StepRequest {
  readonly taskCount: number;
  /** Resources that one task needs. */
  readonly needs: Resources;
  /** The caller's estimate of how long one task runs; it may be far off. */
  readonly estimatedMilliseconds: number;
  /** Indexes of earlier steps, from 0, whose tasks must all be done. */
  readonly after: readonly number[];
  /** The tasks save checkpoints that a later start can resume from. */
  readonly savesCheckpoints: boolean;
  /** The tasks make progress only together: all start, or none. */
  readonly isGang: boolean;
  /** The tasks run longer when they are spread over several racks. */
  readonly prefersOneRack: boolean;
  /** A label that the worker must have; null for any worker. */
  readonly requiredLabel: string | null;
  /** The rack that holds the data; in other racks the tasks run longer. */
  readonly rackOfData: string | null;
  /** Maximum number of tasks of one occurrence of the step that one worker may run at once; null for no limit. */
  readonly maximumPerWorker: number | null;
  /** Several runs of a task may overlap; the first to finish counts. */
  readonly allowsCopies: boolean;
  /** The tasks run until the job is cancelled; a task that ends for any reason is started again. */
  readonly isLasting: boolean;
  /** Image that the tasks run; tasks of the same image behave alike. */
  readonly image: string | null;
  /** Upper bound for the tail of the tasks' response times; null for tasks that serve no requests. */
  readonly tailTargetMilliseconds: number | null;
  /** No cores are reserved for the tasks: they use cores that other tasks leave idle. */
  readonly usesSpareCapacity: boolean;
  /** The scheduler takes away no task of a lasting step while this many others are absent; null for no limit. */
  readonly maximumAbsent: number | null;
}

/** A step of one short task without constraints; emulators and tests override its fields. */
export const PLAIN_STEP: StepRequest = {
  taskCount: 1,
  needs: { milliCores: 1_000, memoryMegabytes: 1_024, accelerators: 0 },
  estimatedMilliseconds: 800,
  after: [],
  savesCheckpoints: false,
  isGang: false,
  prefersOneRack: false,
  requiredLabel: null,
  rackOfData: null,
  maximumPerWorker: null,
  allowsCopies: false,
  isLasting: false,
  image: null,
  tailTargetMilliseconds: null,
  usesSpareCapacity: false,
  maximumAbsent: null,
};

/** Schedule on which the steps of a job are repeated. */
export interface Repetition {
  readonly times: number;
  readonly firstDueAt: Date;
  readonly intervalMilliseconds: number;
}

/** Cost of placement advice: of asking which workers may run a step. */
export interface AdviceTerms {
  readonly decisionMilliseconds: number;
  readonly perWorkerMilliseconds: number;
  readonly validMilliseconds: number;
}

/** A job with the settings that were in force when it was accepted. */
export interface JobRequest {
  readonly jobId: string;
  readonly service: string;
  /** Name of the queue to which the job was submitted, at that time. */
  readonly queue: string;
  /** Address of that queue; null for a job that was accepted by an earlier version. */
  readonly queueAddress: string | null;
  /** The workspace whose key submitted the job; null for public queues and without workspaces. */
  readonly workspace: string | null;
  /** Passed to workers unchanged. */
  readonly specification: string;
  readonly steps: readonly StepRequest[];
  readonly repetition: Repetition | null;
  /** 0 is the highest priority and may preempt other jobs. */
  readonly priority: number;
  /** Number of failed runs of one task after which the job fails. */
  readonly maximumFailedRuns: number;
  /** Objective for the job's duration: `stretch` times its critical path plus `targetMilliseconds`. */
  readonly stretch: number;
  readonly targetMilliseconds: number;
  readonly advice: AdviceTerms | null;
  /** Time from the caller's first attempt to submit the job to its acceptance. */
  readonly ageMilliseconds: number;
  /** When the job was accepted, by the time of day of the accepting process. */
  readonly acceptedAt: Date;
}

/** Identifies a task. */
export interface TaskKey {
  readonly jobId: string;
  /** Index of the repetition, from 0; 0 for a job without repetition. */
  readonly occurrence: number;
  readonly step: number;
  readonly index: number;
}

/** Outcome of a run. */
export type RunEnd =
  | 'done'
  | 'failed'
  | 'stopped'
  /** The worker's lease expired. */
  | 'lapsed'
  /** A run of another member of its gang ended. */
  | 'broken'
  /** The run waited too long for the other members of its gang. */
  | 'alone';

/** Status of a job as reported to callers. */
export type JobStatus = 'queued' | 'running' | 'completed' | 'failed' | 'cancelled';

/** Returns a task key as text, for use as a map key. */
export function taskIdOf({ jobId, occurrence, step, index }: TaskKey): string {
  return `${jobId}/${occurrence}/${step}/${index}`;
}
