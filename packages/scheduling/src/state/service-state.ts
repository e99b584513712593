/** State of one service's scheduler: jobs, workers and records that are not stored yet. */
import type {
  Map as PersistentMap,
  OrderedSet as PersistentOrderedSet,
  Set as PersistentSet,
} from 'immutable';
import type { Instant } from '../model/instant.js';
import type { JobRequest, TaskKey } from '../model/job.js';
import type { JobPart, JobPhase, ServiceRecord } from '../model/records.js';
import type { Resources } from '../model/resources.js';
import type { WorkerListing } from '../model/worker.js';
import type { Arrival } from './arrivals.js';
import type { ForwardingState } from './forwarding-state.js';
import type { InterferenceState } from './interference-state.js';
import type { PaceBudget } from './pace-budget.js';
import type { SchedulingParameters } from './parameters.js';
import type { CrashEvidence, QuarantineState } from './quarantine-state.js';
import type { WaitingKey, WaitingQueue } from './waiting-queue.js';
import type { WorkspacesState } from './workspaces-state.js';

/** Phase of a run, from placement to stop. */
export type RunPhase =
  /** Placed on a worker; its record is not stored yet, so no order was sent. */
  | 'recording'
  /** An order to start was sent; it is retried until it is answered. */
  | 'starting'
  | 'running'
  /** An order to stop was sent; it is retried until it is answered. */
  | 'stopping';

/** Pace of a run of a filling task. */
export interface RunPace {
  /** Share of full speed that was last ordered, in percent. */
  readonly percent: number;
  readonly phase:
    | 'sent'
    /** The worker has answered. */
    | 'settled'
    /** The order was not answered and is sent again. */
    | 'unanswered'
    /** The run was restored; an earlier owner may have ordered any pace. */
    | 'inherited';
  readonly since: Instant;
  /** Whether an order was not answered. It may be executed late, after newer ones. */
  readonly hasUnansweredOrder: boolean;
  /** Time that the run lost by its pace before `since`, in milliseconds at full speed. */
  readonly lostMilliseconds: number;
}

/** One run of a task on one incarnation of a worker. */
export interface Run {
  readonly run: number;
  readonly workerId: string;
  readonly incarnation: number;
  readonly phase: RunPhase;
  readonly placedAt: Instant;
  /** First version of its job that includes this run. The run may start once that version is stored. */
  readonly placedInVersion: number;
  /** When the worker answered the newest order. Reports requested later are authoritative for this run. */
  readonly acknowledgedAt: Instant | null;
  /** Whether an order to start was sent and not answered. The worker may still execute it. */
  readonly hasUnansweredStart: boolean;
  /** When the newest order was sent; null if it has not been sent yet. */
  readonly sentAt: Instant | null;
  /** When this incarnation of the worker was first known to have started the run. */
  readonly startedAt: Instant | null;
  /** Speed that the worker last reported, in percent of full speed. */
  readonly speedPercent: number;
  /** Crash of a worker that may have run it; it counts unless the run ends by itself on the next incarnation. */
  readonly crash: CrashEvidence | null;
  /** Its pace; null if none was ever ordered. */
  readonly pace: RunPace | null;
}

/** State of one task of a step. */
export interface TaskState {
  readonly runs: readonly Run[];
  readonly isDone: boolean;
  /** Highest run number so far; 0 if the task has never been placed. */
  readonly lastRun: number;
  readonly failedRuns: number;
  /** Number of runs that were stopped because they stalled. */
  readonly stalledRuns: number;
  /** Newest known checkpoint; empty if there is none. */
  readonly checkpoint: string;
  /** When the task began to wait for a worker; updated whenever one of its runs is removed. */
  readonly waitingSince: Instant;
  /** Workers on which a run failed or was refused, newest last. */
  readonly avoidedWorkers: readonly string[];
  /** Number of workers that crashed under the task and may have been crashed by it. */
  readonly workerCrashes: number;
  /** Whether the task runs alone on a worker, since it may crash its workers. */
  readonly isQuarantined: boolean;
}

/** State of one step of an occurrence. */
export interface StepState {
  readonly tasks: readonly TaskState[];
  readonly doneCount: number;
  /** Number of tasks that are not done and have no run. */
  readonly waitingCount: number;
  /** When all steps that this one depends on were done; null before that. */
  readonly readySince: Instant | null;
}

/** State of one occurrence of a job's steps. */
export interface OccurrenceState {
  readonly occurrence: number;
  /** When the occurrence was due, or the job was submitted if it does not repeat. */
  readonly dueAt: Instant;
  readonly steps: readonly StepState[];
  /** Estimated run time of the longest chain of unfinished steps. */
  readonly remainingMilliseconds: number;
}

/** One occurrence as it is recorded in parts. */
export interface RecordedOccurrence {
  /** The tasks of each step as of the newest append. */
  readonly tasksByStep: readonly (readonly TaskState[])[];
  /** Indexes of the parts that have a record. */
  readonly parts: PersistentSet<number>;
}

/** State of one job. */
export interface JobState {
  readonly request: JobRequest;
  readonly arrivedAt: Instant;
  /** When the caller should have the result; drives the order of placement. */
  readonly softDeadlineAt: Instant;
  readonly phase: JobPhase;
  /** The phase that is stored. Callers see only this one. */
  readonly recordedPhase: JobPhase;
  readonly cancelRequested: boolean;
  /** Why the job has failed, for its caller; null if it has not, or was ended by an earlier version. */
  readonly failureReason: string | null;
  /** Occurrences that have begun and are not done, by number. */
  readonly occurrences: PersistentMap<number, OccurrenceState>;
  /** Finished occurrences at or above `occurrencesDoneBelow`. */
  readonly occurrencesDone: PersistentSet<number>;
  /** All occurrences below this number are finished. */
  readonly occurrencesDoneBelow: number;
  /** Whether a worker is known to have started a run of the job. */
  readonly hasStarted: boolean;
  readonly hasGang: boolean;
  /** The occurrences with recorded parts, by number; empty for a job that is recorded as a whole. */
  readonly recordedOccurrences: PersistentMap<number, RecordedOccurrence>;
  /** Incremented by each change that must be recorded. */
  readonly version: number;
  /** First version that includes the end of the job; null while the job is active. */
  readonly endedInVersion: number | null;
  /** When the end of the job was stored; null before that. */
  readonly endedAt: Instant | null;
}

/** Whether a worker is drained because its host was requested for a move or for maintenance. */
export type DrainState =
  | { readonly kind: 'none' }
  | {
      readonly kind: 'leaving';
      readonly purpose: 'move' | 'maintenance';
      /** When the host was first requested. */
      readonly since: Instant;
      /** When the request was last repeated. */
      readonly lastRequestedAt: Instant;
      /** When the drain began or a lasting task on the worker was last stopped for it. */
      readonly lastProgressAt: Instant;
      /** From when on tasks that end by themselves may delay the drain only for the grace period. */
      readonly graceSince: Instant;
    };

/** Capacity that is kept for a lasting task while its run is stopped to drain its worker. */
export interface CapacityReservation {
  readonly workerId: string;
  readonly needs: Resources;
}

/** Pace of the filling tasks on a worker with serving tasks. */
export interface WorkerPacing {
  /** Share of full speed in percent, from 0 to 100. */
  readonly percent: number;
  readonly changedAt: Instant;
  /** Since when a tail has been over its target in every report; null while none is. */
  readonly overSince: Instant | null;
  /** The last pace that was too fast, which is not tried again before `until`; null for none. */
  readonly ceiling: {
    readonly percent: number;
    readonly milliseconds: number;
    readonly until: Instant;
  } | null;
}

/** Runs of one image on a worker. */
export interface ImageUse {
  readonly runs: number;
  /** Number of these runs that use spare capacity. */
  readonly fillingRuns: number;
}

/** Whether stops that an earlier owner ordered may still take effect on a worker. */
export type FormerStops =
  /** The worker may still accept orders of an earlier owner. */
  | { readonly kind: 'possible' }
  /** The worker accepts no more of them; those that it has accepted take effect before `until`. */
  | { readonly kind: 'ending'; readonly until: Instant }
  | { readonly kind: 'over' };

/** State of one worker. */
export interface WorkerState {
  readonly listing: WorkerListing;
  readonly foundAt: Instant;
  /** Whether the worker is still in the register. */
  readonly isListed: boolean;
  /** Whether its incarnation has ended, by the platform's list of hosts. The register may still list it. */
  readonly isTerminated: boolean;
  /** Whether this incarnation has answered under our fencing epoch, so that it refuses earlier owners. */
  readonly hasAcknowledgedEpoch: boolean;
  readonly formerStops: FormerStops;
  /** Whether a renewal is in flight. */
  readonly reportPending: boolean;
  readonly lastReportAt: Instant | null;
  /** When it stopped answering; null while it answers. */
  readonly silentSince: Instant | null;
  /** Latest reading of the worker's clock, and our time of the reading. */
  readonly clockReading: { readonly milliseconds: number; readonly at: Instant } | null;
  /** Latest lease end that was ever sent, on the worker's clock. */
  readonly leaseUntil: number;
  /** Run ends up to this number are applied. */
  readonly processedEnd: number;
  /** Run ends up to this number are stored, so the worker may discard them. */
  readonly storedEnd: number;
  readonly drainState: DrainState;
  /** Capacity reserved for runs that are on the worker or may be. */
  readonly committed: Resources;
  /** Number of these runs that belong to lasting tasks. */
  readonly lastingCount: number;
  /** Keys of the tasks with a run on the worker, by task id. */
  readonly tasks: PersistentMap<string, TaskKey>;
  /** Runs by image, of steps that name one. */
  readonly images: PersistentMap<string, ImageUse>;
  /** Ids of the tasks on the worker whose step has a target for their tail. */
  readonly servingTaskIds: PersistentSet<string>;
  /** Ids of the tasks on the worker that use spare capacity. */
  readonly fillingTaskIds: PersistentSet<string>;
  /** Tasks that are placed on the worker and whose start it has not answered yet, by task id. */
  readonly startingTasks: PersistentMap<string, TaskKey>;
  /** Null while it has no serving task beside filling tasks. */
  readonly pacing: WorkerPacing | null;
  /** No task is placed on the worker before this time. */
  readonly cooldownUntil: Instant;
  /** Number of failed runs since the last success; drives ejection. */
  readonly consecutiveFailures: number;
  /** Number of cooldowns since the last success. */
  readonly consecutiveCooldowns: number;
  readonly lastSuccessAt: Instant | null;
}

/** Changes since tasks were last placed. Only these can make a new placement possible. */
export interface PlacementChanges {
  /** Workers with more free capacity than before. */
  readonly freedWorkerIds: PersistentSet<string>;
  /** Steps with tasks that began to wait, by waiting id. */
  readonly newlyWaitingSteps: PersistentMap<string, WaitingKey>;
}

/** A record of a worker that the service releases or takes back. */
export type ReleaseRecord = Extract<
  ServiceRecord,
  { readonly kind: 'worker-released' } | { readonly kind: 'worker-returned' }
>;

/** The append to the log that is in flight. */
export interface AppendInFlight {
  readonly appendId: number;
  /** Version of each job in the records, by job id. */
  readonly jobVersions: PersistentMap<string, number>;
  /** Tasks with changed progress of the jobs that are recorded in parts. */
  readonly taskKeys: readonly TaskKey[];
  readonly releasedWorkerIds: ReadonlySet<string>;
  readonly forwardedJobIds: readonly string[];
  /** Number of the last run end that the records cover, by worker. */
  readonly processedEnds: PersistentMap<string, number>;
}

/** State of one service's scheduler. */
export interface ServiceState {
  readonly service: string;
  readonly parameters: SchedulingParameters;
  /** Our fencing epoch. Workers refuse orders with a lower one. */
  readonly fencingEpoch: number;
  readonly now: Instant;
  readonly timeOfDay: Date;
  /** When the ownership was claimed. */
  readonly claimedAt: Instant;
  /** When the request that last proved our ownership was sent. */
  readonly provenAt: Instant;
  /** What was logged of the ownership. */
  readonly ownershipReport: { readonly hasReportedWorkers: boolean; readonly isProven: boolean };
  /** When the newest answered request to read the inbox was sent; jobs accepted later may not be known yet. */
  readonly inboxReadAt: Instant;
  readonly jobs: PersistentMap<string, JobState>;
  /** Jobs that have not ended, still have runs or have an unstored end, in order of acceptance. */
  readonly activeJobIds: PersistentOrderedSet<string>;
  /** Recently arrived work, oldest first. */
  readonly arrivals: readonly Arrival[];
  /** When a cancellation was read of each job whose acceptance has not been read yet. */
  readonly earlyCancels: PersistentMap<string, Instant>;
  readonly workers: PersistentMap<string, WorkerState>;
  /** Tasks with recorded runs on worker incarnations that have not been seen since the service was claimed. */
  readonly orphanTaskIds: PersistentSet<string>;
  /** Incarnation of each worker that is recorded as released, by worker id. */
  readonly releasedWorkers: PersistentMap<string, number>;
  readonly waiting: WaitingQueue;
  /** Reservations by task id, from the order to stop a run until the run is removed and its task placed. */
  readonly reservations: PersistentMap<string, CapacityReservation>;
  readonly placementChanges: PlacementChanges;
  /** Number of waiting steps that the last full scan tried before its budget ran out; 0 if it reached the end. */
  readonly scannedSteps: number;
  /** Active jobs with a repetition. */
  readonly repeatingJobIds: PersistentSet<string>;
  /** Active jobs with a step whose tasks must all run at once: lasting steps and gangs. */
  readonly coscheduledJobIds: PersistentSet<string>;
  /** Jobs with a gang that may have lost a member. */
  readonly brokenGangJobIds: PersistentSet<string>;
  /** Ended jobs that stay in `activeJobIds` until their runs are gone and their end is stored. */
  readonly endingJobIds: PersistentSet<string>;
  /** Jobs that may have runs which are no longer needed. */
  readonly obsoleteRunJobIds: PersistentSet<string>;
  /** Jobs whose end is stored, oldest first, until the retention time of their status is over. */
  readonly endedJobIds: PersistentOrderedSet<string>;
  /** Workers with run ends that are applied but not stored. */
  readonly unstoredEndWorkerIds: PersistentSet<string>;
  /** Number of ticks so far, and when the last one was. */
  readonly ticks: { readonly count: number; readonly lastAt: Instant };
  /** Jobs with changes that are in no append yet, the longest waiting first. */
  readonly dirtyJobIds: PersistentOrderedSet<string>;
  /** The recorded parts of each job that is forgotten and not deleted yet, by job id. */
  readonly forgottenJobs: PersistentMap<string, readonly JobPart[]>;
  /** Jobs that other services schedule. */
  readonly forwarding: ForwardingState;
  /** Epoch and number of the newest message from the fleet owner that was applied. */
  readonly lastFleetMessage: { readonly epoch: number; readonly sequence: number };
  /** Releases and returns of workers that are not recorded yet. */
  readonly pendingReleaseRecords: readonly ReleaseRecord[];
  readonly appendInFlight: AppendInFlight | null;
  readonly nextAppendId: number;
  readonly isSuperseded: boolean;
  /**
   * When an order to start was last left unanswered, by worker. It may be executed with a delay, also by the next
   * incarnation.
   */
  readonly unansweredStarts: PersistentMap<string, Instant>;
  /** A worker that restarted under its id while orders to its former incarnation may still be executed. */
  readonly restartedWorkerId: string | null;
  readonly isStopping: boolean;
  readonly quarantine: QuarantineState;
  readonly workspaces: WorkspacesState;
  readonly interference: InterferenceState;
  readonly paceBudget: PaceBudget;
  /** The conflicts that are recorded, when they were, and whether the model is to be recorded with the next batch. */
  readonly recordedInterference: {
    readonly conflicts: InterferenceState['conflicts'];
    readonly at: Instant;
    readonly isDue: boolean;
  };
}
