/** The state of one service's scheduler: its jobs, its workers and what waits to be recorded. */
import type {
  Map as PersistentMap,
  OrderedSet as PersistentOrderedSet,
  Set as PersistentSet,
} from 'immutable';
import type { JobRequest, TaskKey } from '../model/job.js';
import type { JobPhase, ServiceRecord } from '../model/records.js';
import type { Resources } from '../model/resources.js';
import type { WorkerListing } from '../model/worker.js';
import type { Arrival } from './demand.js';
import type { SchedulingParameters } from './parameters.js';
import type { WaitingKey, WaitingQueue } from './waiting-queue.js';

/** Milliseconds on the steady clock of the process. */
export type Instant = number;

/** How far the start or stop of a run has come. */
export type RunPhase =
  /** Placed; its record is not stored yet, so nothing was sent. */
  | 'recording'
  /** The start was sent, or will be sent again. */
  | 'starting'
  | 'running'
  /** A stop was sent, or will be sent again. */
  | 'stopping';

/** One run of a task on a worker. */
export interface Run {
  readonly run: number;
  readonly workerId: string;
  readonly incarnation: number;
  readonly phase: RunPhase;
  readonly placedAt: Instant;
  /** The first version of its job that holds it: once that is stored, the run may start. */
  readonly placedInVersion: number;
  /** When the worker answered the newest order; its lists from then on tell the truth about the run. */
  readonly acknowledgedAt: Instant | null;
  /** An order to start was sent and not answered: it may still be carried out. */
  readonly hasUnansweredStart: boolean;
  /** When an order to start was last sent. */
  readonly sentAt: Instant | null;
  /** When this life of the worker was first known to have started it. */
  readonly startedAt: Instant | null;
  /** Share of full speed that the worker last reported. */
  readonly speedPercent: number;
}

/** One task of a step. */
export interface TaskState {
  readonly runs: readonly Run[];
  readonly isDone: boolean;
  readonly lastRun: number;
  readonly failedRuns: number;
  /** Runs that were stopped because they stood still. */
  readonly stalledRuns: number;
  /** The newest checkpoint known; empty for none. */
  readonly checkpoint: string;
  /** Since when it waits for a worker, or when it was last away. */
  readonly waitingSince: Instant;
  /** Workers on which a run failed or was refused, newest last. */
  readonly avoidedWorkers: readonly string[];
}

/** One step of an occurrence. */
export interface StepState {
  readonly tasks: readonly TaskState[];
  readonly doneCount: number;
  /** Tasks that are neither done nor have a run. */
  readonly waitingCount: number;
  /** When the steps that it waits for were done; null before. */
  readonly readySince: Instant | null;
}

/** One occurrence of a job's steps. */
export interface OccurrenceState {
  readonly occurrence: number;
  /** When it was due or accepted. */
  readonly dueAt: Instant;
  readonly steps: readonly StepState[];
  /** Estimated run time of the longest chain of steps that are not done. */
  readonly remainingMilliseconds: number;
}

/** One job. */
export interface JobState {
  readonly request: JobRequest;
  readonly arrivedAt: Instant;
  /** By when its caller should have its result. */
  readonly softDeadlineAt: Instant;
  readonly phase: JobPhase;
  /** The phase that is stored: callers are told no other. */
  readonly recordedPhase: JobPhase;
  readonly cancelRequested: boolean;
  /** Occurrences that have begun and are not done. */
  readonly occurrences: PersistentMap<number, OccurrenceState>;
  readonly occurrencesDone: PersistentSet<number>;
  readonly occurrencesDoneBelow: number;
  readonly hasStarted: boolean;
  readonly hasGang: boolean;
  /** Rises with each change that must be recorded. */
  readonly version: number;
  /** The first version that holds the job's end; null while it is active. */
  readonly endedInVersion: number | null;
  /** When the job's end was stored; null while it is active. */
  readonly endedAt: Instant | null;
}

/** Whether a worker is kept free because its host is wanted for something else. */
export type DrainState =
  | { readonly kind: 'none' }
  | {
      readonly kind: 'leaving';
      readonly purpose: 'move' | 'maintenance';
      /** When the host was first wished for. */
      readonly since: Instant;
      /** When the wish was last repeated. */
      readonly lastRequestedAt: Instant;
    };

/** One worker. */
export interface WorkerState {
  readonly listing: WorkerListing;
  readonly foundAt: Instant;
  /** Whether the register still has it. */
  readonly isListed: boolean;
  /** Its life is over, by the platform's list of hosts; the register may still have it. */
  readonly isTerminated: boolean;
  /** It has answered under our fencing token in this life. */
  readonly hasAcknowledgedEpoch: boolean;
  /** A renewal is under way. */
  readonly reportPending: boolean;
  readonly lastReportAt: Instant | null;
  /** Since when it does not answer; null while it does. */
  readonly silentSince: Instant | null;
  /** A reading of its clock and when it was read. */
  readonly clockReading: { readonly milliseconds: number; readonly at: Instant } | null;
  /** Lease end on the worker's clock: the latest that was ever sent. */
  readonly leaseUntil: number;
  /** Ends up to this number are worked in. */
  readonly processedEnd: number;
  /** Ends up to this number are stored, so that the worker may forget them. */
  readonly storedEnd: number;
  readonly drainState: DrainState;
  /** Room taken by runs that are on it or may be. */
  readonly committed: Resources;
  /** Runs of lasting tasks among them. */
  readonly lastingCount: number;
  /** Tasks with a run on it, by their text. */
  readonly tasks: PersistentMap<string, TaskKey>;
  /** No task is placed before. */
  readonly cooldownUntil: Instant;
  /** Runs that ended well or failed in a row on it; drives ejection. */
  readonly consecutiveFailures: number;
  /** Rests without a success in between. */
  readonly consecutiveCooldowns: number;
  readonly lastSuccessAt: Instant | null;
}

/** What has changed since tasks were last placed: nothing else can have become possible. */
export interface PlacementChanges {
  /** Workers with more room than before. */
  readonly freedWorkerIds: PersistentSet<string>;
  /** Steps with tasks that began to wait, by their text. */
  readonly newlyWaitingSteps: PersistentMap<string, WaitingKey>;
}

/** A record of a worker that its service gives away or takes back. */
export type ReleaseRecord = Extract<
  ServiceRecord,
  { readonly kind: 'worker-released' } | { readonly kind: 'worker-returned' }
>;

/** Records that are being stored. */
export interface AppendInFlight {
  readonly appendId: number;
  /** Version of each job that the records hold. */
  readonly jobVersions: PersistentMap<string, number>;
  readonly releasedWorkerIds: ReadonlySet<string>;
  /** Ends that the records cover, by worker. */
  readonly processedEnds: PersistentMap<string, number>;
}

/** The whole state. */
export interface ServiceState {
  readonly service: string;
  readonly parameters: SchedulingParameters;
  /** Our fencing token: orders with a lower one are refused. */
  readonly fencingEpoch: number;
  readonly now: Instant;
  readonly timeOfDay: Date;
  /** When the ownership was claimed. */
  readonly claimedAt: Instant;
  /** When the newest proof of ownership was asked for. */
  readonly provenAt: Instant;
  readonly jobs: PersistentMap<string, JobState>;
  /** Jobs that are not over or still have runs, in the order of their acceptance. */
  readonly activeJobIds: PersistentOrderedSet<string>;
  /** Work that arrived lately, oldest first. */
  readonly arrivals: readonly Arrival[];
  /** Jobs that were cancelled before they were seen. */
  readonly earlyCancels: PersistentMap<string, Instant>;
  readonly workers: PersistentMap<string, WorkerState>;
  /** Tasks with recorded runs on workers that have not been seen since the service was claimed. */
  readonly orphanTaskIds: PersistentSet<string>;
  /** Workers that are recorded as free for good, with their incarnation. */
  readonly releasedWorkers: PersistentMap<string, number>;
  readonly waiting: WaitingQueue;
  readonly placementChanges: PlacementChanges;
  /** Waiting steps at the head of the order that the last look at all workers tried in vain; 0 where it came to the end. */
  readonly scannedSteps: number;
  /** Active jobs whose steps run several times. */
  readonly repeatingJobIds: PersistentSet<string>;
  /** Active jobs with steps whose tasks must all run at once: lasting ones and gangs. */
  readonly coscheduledJobIds: PersistentSet<string>;
  /** Active jobs with a gang that may have lost a member. */
  readonly brokenGangJobIds: PersistentSet<string>;
  /** Jobs that are over and still count as active, until their runs are gone and their end is stored. */
  readonly endingJobIds: PersistentSet<string>;
  /** Jobs with runs that may serve no purpose any more. */
  readonly obsoleteRunJobIds: PersistentSet<string>;
  /** Jobs whose end is stored, oldest first, until their status is kept no longer. */
  readonly endedJobIds: PersistentOrderedSet<string>;
  /** Workers with ends that are worked in and not stored. */
  readonly unstoredEndWorkerIds: PersistentSet<string>;
  /** How many ticks there were, and when the last one was. */
  readonly ticks: { readonly count: number; readonly lastAt: Instant };
  /** Jobs with changes that are not being stored, the longest waiting first. */
  readonly dirtyJobIds: PersistentOrderedSet<string>;
  readonly forgottenJobIds: PersistentSet<string>;
  /** The newest message of the fleet's owner that was obeyed. */
  readonly lastFleetMessage: { readonly epoch: number; readonly sequence: number };
  /** Releases and returns of workers that wait to be recorded. */
  readonly pendingReleaseRecords: readonly ReleaseRecord[];
  readonly appendInFlight: AppendInFlight | null;
  readonly nextAppendId: number;
  readonly isSuperseded: boolean;
  /** By worker, when an order to start was last left unanswered: it may be carried out late, by another life too. */
  readonly unansweredStarts: PersistentMap<string, Instant>;
  /** A worker that started again under its id while orders to its former life may still be carried out. */
  readonly restartedWorkerId: string | null;
  readonly isStopping: boolean;
}
