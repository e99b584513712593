/** The model of one life of a worker, as callers and observers see it. */
import type {
  PaceOutcome,
  Resources,
  StartOutcome,
  StopOutcome,
  TaskKey,
  WorkerListing,
} from '@baobabdeck/scheduling';
import type {
  PaceRunOrder,
  RenewLeaseOrder,
  RenewLeaseOutcome,
  StartRunOrder,
  StopRunOrder,
} from '@baobabdeck/scheduler';

/** A run on a worker. */
export interface ModelRun {
  readonly task: TaskKey;
  readonly run: number;
  readonly startedAt: number;
  /** Since when it works at its present pace; null while a gang waits. */
  workingSince: number | null;
  /** When it began to work, at any pace; null before that. */
  firstWorkedAt: number | null;
  /** Work done before `workingSince`, at full speed. */
  workedMilliseconds: number;
  /** Share of full speed at which it works, from 0 to 1. */
  share: number;
  isStopping: boolean;
}

/** How a worker's life treats what it is asked. */
export interface WorkerMood {
  /** Share of runs that fail by the worker's fault. */
  failing: number;
  /** Runs do not get on. */
  isHanging: boolean;
  isDraining: boolean;
}

/** One life of a worker. */
export interface ModelWorker {
  readonly listing: () => WorkerListing;
  readonly guardsCapacity: boolean;
  readonly capacity: () => Resources;
  /** Changes its capacity; what runs on it runs on. */
  readonly setCapacity: (capacity: Resources) => void;
  readonly mood: WorkerMood;
  readonly isUp: () => boolean;
  readonly runs: () => readonly ModelRun[];
  readonly percentOf: (run: ModelRun) => number;
  readonly renew: (order: RenewLeaseOrder) => Promise<RenewLeaseOutcome>;
  readonly start: (
    order: StartRunOrder,
    isLate: boolean,
  ) => {
    readonly outcome: StartOutcome;
    readonly clockMilliseconds: number | null;
  };
  readonly stop: (order: StopRunOrder) => StopOutcome;
  readonly pace: (order: PaceRunOrder) => PaceOutcome;
  /** Ends this life: everything on it ends, and no one hears of it. */
  readonly end: () => void;
}
