/** Jobs as callers submit them: steps of equal tasks. */
import type { Resources } from './resources.js';

/** One step: a number of equal tasks that may start once the steps it waits for are done. */
export interface StepRequest {
  readonly taskCount: number;
  /** What one task needs. */
  readonly needs: Resources;
  /** The caller's estimate of how long one task runs; it may be far off. */
  readonly estimatedMilliseconds: number;
  /** Earlier steps, counted from 0, whose tasks must all be done. */
  readonly after: readonly number[];
  /** The tasks save checkpoints that a later start can resume from. */
  readonly savesCheckpoints: boolean;
  /** The tasks only work together: all start, or none. */
  readonly isGang: boolean;
  /** The tasks run longer when they are spread over several racks. */
  readonly prefersOneRack: boolean;
  /** A label that the worker must have. */
  readonly requiredLabel: string | null;
  /** The rack that holds the data; elsewhere the tasks run longer. */
  readonly rackOfData: string | null;
  /** The most tasks of one occurrence of the step that one worker may run at once. */
  readonly maximumPerWorker: number | null;
  /** Several copies of a task may run at once; the first to finish counts. */
  readonly allowsCopies: boolean;
  /** The tasks run until the job is cancelled and start again however they end. */
  readonly isLasting: boolean;
  /** Tasks of the same image behave alike. */
  readonly image: string | null;
  /** The tail of the tasks' response times must stay below this; null for tasks that serve nobody. */
  readonly tailTargetMilliseconds: number | null;
  /** The tasks' processor share is not reserved: they get what others leave unused. */
  readonly usesSpareCapacity: boolean;
  /** Tasks of a lasting step that may be away at the same time through the system's own acts. */
  readonly maximumAbsent: number | null;
}

/** One short task that asks for nothing but room; jobs that are made up for emulators and tests vary it. */
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

/** Repeated runs of a job's steps. */
export interface Repetition {
  readonly times: number;
  readonly firstDueAt: Date;
  readonly intervalMilliseconds: number;
}

/** What it costs to ask which workers may run a step. */
export interface AdviceTerms {
  readonly decisionMilliseconds: number;
  readonly perWorkerMilliseconds: number;
  readonly validMilliseconds: number;
}

/** A job, with the terms that were in force when it was accepted. */
export interface JobRequest {
  readonly jobId: string;
  readonly service: string;
  /** The queue that the job was handed in to. */
  readonly queue: string;
  /** Passed to workers as it is. */
  readonly specification: string;
  readonly steps: readonly StepRequest[];
  readonly repetition: Repetition | null;
  /** 0 comes first and may preempt others. */
  readonly priority: number;
  /** Failed runs of a task after which the job has failed. */
  readonly maximumFailedRuns: number;
  /** The objective of the job's duration is this many times its longest chain of work, and more by `targetMilliseconds`. */
  readonly stretch: number;
  readonly targetMilliseconds: number;
  readonly advice: AdviceTerms | null;
  /** Time from the caller's first sending to the acceptance. */
  readonly ageMilliseconds: number;
  /** When the job was accepted, by the time of day of the process that accepted it. */
  readonly acceptedAt: Date;
}

/** Which task of which job. */
export interface TaskKey {
  readonly jobId: string;
  /** Counted from 0; 0 for a job without repetition. */
  readonly occurrence: number;
  readonly step: number;
  readonly index: number;
}

/** How a run ended. */
export type RunEnd =
  | 'done'
  | 'failed'
  | 'stopped'
  /** Its lease ended. */
  | 'lapsed'
  /** Another member of its gang ended. */
  | 'broken'
  /** It waited too long for the other members of its gang. */
  | 'alone';

/** How far a job has come, as callers are told. */
export type JobStatus = 'queued' | 'running' | 'completed' | 'failed' | 'cancelled';

/** A key as text, for maps. */
export function taskIdOf({ jobId, occurrence, step, index }: TaskKey): string {
  return `${jobId}/${occurrence}/${step}/${index}`;
}
