/** State of the search for tasks that crash their workers: recent crashes, suspected tasks and isolated workers. */
import { Map as PersistentMap, Set as PersistentSet } from 'immutable';
import type { TaskKey } from '../model/job.js';
import type { Instant } from '../model/instant.js';

/** Time at work, by the reports of its worker, after which a run has shown that its start crashes no worker. */
export const SURVIVAL_MILLISECONDS = 300;

/** Number of crashes from which on a task is quarantined however long its runs were at work. */
export const QUARANTINE_CRASHES = 2;

/** Crashes after which a task is given up if its last run had been at work for long, or the crash had no witness. */
export const LIMIT_OF_WEAK_EVIDENCE = 4;

/**
 * Time after which a suspect starts beside other tasks if no worker for it has become empty. A job must not stand still
 * for 3 s while there is capacity, and a crash is noticed within a second.
 */
export const SHARING_PATIENCE_MILLISECONDS = 2_000;

/** Time for which a crash is remembered. */
export const CRASH_RETENTION_MILLISECONDS = 30_000;

/** What the crash of a worker says of one run on it. */
export interface CrashEvidence {
  /** The crash; null if the worker ended while the service had no owner that knew it. */
  readonly crashId: string | null;
  /** Whether the worker was known to have started the run. */
  readonly isConfirmed: boolean;
  /** Whether the run was not known to have been at work for `SURVIVAL_MILLISECONDS`. */
  readonly isYoung: boolean;
  /** Whether no other task can have crashed the worker. */
  readonly wasAlone: boolean;
}

/** Returns whether the crash of a worker is no evidence against a task, since it is part of a mass end. */
export function isExcused({ crashes }: QuarantineState, { crashId }: CrashEvidence, taskId: string): boolean {
  return crashId !== null && crashes.get(crashId)?.excusedTaskIds.has(taskId) === true;
}

/** Evidence against a run whose worker ended while the service had no owner that knew the worker. */
export const UNWITNESSED_CRASH: CrashEvidence = {
  crashId: null,
  isConfirmed: true,
  isYoung: false,
  wasAlone: false,
};

/** Effect of a crash on one task, so that it can be undone. */
export interface CountedTask {
  readonly key: TaskKey;
  readonly count: number;
  readonly causedQuarantine: boolean;
}

/** Crash of one incarnation of a worker. */
export interface WorkerCrash {
  readonly crashId: string;
  readonly at: Instant;
  readonly workerId: string;
  readonly hostId: string;
  readonly rack: string;
  readonly dataCentre: string;
  /** Ids of the tasks that the worker ran; empty if it was idle. */
  readonly taskIds: ReadonlySet<string>;
  readonly counted: readonly CountedTask[];
  /** Ids of the tasks that ran alone on the worker. */
  readonly aloneTaskIds: ReadonlySet<string>;
  /** Whether the worker ran a quarantined task, which is the likely cause. */
  readonly isExplained: boolean;
  /** Ids of the tasks against which it is no evidence, since it is part of a mass end. */
  readonly excusedTaskIds: ReadonlySet<string>;
}

/** Many workers that crashed at about the same time, with a rack or a data centre. */
export interface MassEnd {
  /** When it was detected. */
  readonly at: Instant;
  /** Ids of the tasks that it excuses, each for one crash. */
  readonly excusedTaskIds: ReadonlySet<string>;
}

/** A task that may be given up once it is known whether the crash is part of a mass end. */
export interface PendingVerdict {
  readonly key: TaskKey;
  readonly evidence: CrashEvidence;
  readonly crashedAt: Instant;
}

/** State of the search for tasks that crash their workers. */
export interface QuarantineState {
  /** Crashes within `CRASH_RETENTION_MILLISECONDS`, by crash id. */
  readonly crashes: PersistentMap<string, WorkerCrash>;
  /** Whether a crash was recorded since mass ends were last searched for. */
  readonly hasNewCrash: boolean;
  /** The newest mass end; null for none. */
  readonly massEnd: MassEnd | null;
  /** Quarantined tasks, by task id. */
  readonly tasks: PersistentMap<string, TaskKey>;
  /** Quarantined tasks whose quarantine is not logged yet. */
  readonly unloggedTaskIds: PersistentSet<string>;
  /** Workers that quarantined tasks occupy or that are reserved for some: the id of these tasks by worker id. */
  readonly workers: PersistentMap<string, string>;
  /** Whether a change since the last placement may let a quarantined task start or release a worker. */
  readonly isStale: boolean;
  readonly verdicts: PersistentMap<string, PendingVerdict>;
}

/** State without any crash. */
export const EMPTY_QUARANTINE: QuarantineState = {
  crashes: PersistentMap(),
  hasNewCrash: false,
  massEnd: null,
  tasks: PersistentMap(),
  unloggedTaskIds: PersistentSet(),
  workers: PersistentMap(),
  isStale: false,
  verdicts: PersistentMap(),
};

/** Returns a copy of the state with some fields changed. */
export function updateQuarantine(
  quarantine: QuarantineState,
  changes: Partial<QuarantineState>,
): QuarantineState {
  return {
    crashes: quarantine.crashes,
    hasNewCrash: quarantine.hasNewCrash,
    massEnd: quarantine.massEnd,
    tasks: quarantine.tasks,
    unloggedTaskIds: quarantine.unloggedTaskIds,
    workers: quarantine.workers,
    isStale: quarantine.isStale,
    verdicts: quarantine.verdicts,
    ...changes,
  };
}

/** Returns the id under which tasks share isolated workers: members of a gang share them, other tasks do not. */
export function isolationIdOf({ jobId, occurrence, step, index }: TaskKey, isGang: boolean): string {
  const stepId = `${jobId}/${occurrence}/${step}`;
  return isGang ? stepId : `${stepId}/${index}`;
}
