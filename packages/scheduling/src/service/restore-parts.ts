/** Restores the progress of jobs that are recorded in parts. */
import { Map as PersistentMap, Set as PersistentSet } from 'immutable';
import type {
  JobPart,
  JobPartProgress,
  JobProgress,
  OccurrenceProgress,
  TaskProgress,
} from '../model/records.js';
import type { JobState, OccurrenceState } from '../state/service-state.js';

/** The newest record of each part, by job. */
export interface PartRecords {
  readonly add: (part: JobPartProgress) => void;
  readonly remove: (part: JobPart) => void;
  readonly ofJob: (jobId: string) => readonly JobPartProgress[];
}

function partIdOf({ occurrence, part }: JobPart): string {
  return `${occurrence}/${part}`;
}

/** Creates an empty collection of part records. */
export function createPartRecords(): PartRecords {
  const partsByJob = new Map<string, Map<string, JobPartProgress>>();
  return {
    add: (part) => {
      const parts = partsByJob.get(part.jobId) ?? new Map<string, JobPartProgress>();
      partsByJob.set(part.jobId, parts.set(partIdOf(part), part));
    },
    remove: (part) => partsByJob.get(part.jobId)?.delete(partIdOf(part)),
    ofJob: (jobId) => [...(partsByJob.get(jobId)?.values() ?? [])],
  };
}

/** Returns the progress of an occurrence that the parts of a job record together. */
function joinParts(occurrence: number, parts: readonly JobPartProgress[]): OccurrenceProgress {
  const steps: TaskProgress[][] = [];
  for (const { step, tasks } of parts.flatMap((part) => part.steps)) {
    steps[step] = [...(steps[step] ?? []), ...tasks];
  }
  return { occurrence, steps: Array.from(steps, (tasks) => tasks ?? []) };
}

function groupByOccurrence(
  parts: readonly JobPartProgress[],
): ReadonlyMap<number, readonly JobPartProgress[]> {
  const groups = new Map<number, JobPartProgress[]>();
  for (const part of parts) {
    const group = groups.get(part.occurrence);
    if (group === undefined) groups.set(part.occurrence, [part]);
    else group.push(part);
  }
  return groups;
}

/** Completes the progress of a job by its parts. Earlier versions record the progress of every job as a whole. */
export function completeWithParts(progress: JobProgress, parts: readonly JobPartProgress[]): JobProgress {
  if (progress.occurrences.length > 0 || parts.length === 0) return progress;
  const occurrences = [...groupByOccurrence(parts)].map(([occurrence, ofOccurrence]) =>
    joinParts(occurrence, ofOccurrence),
  );
  return { ...progress, occurrences };
}

/** Returns the parts that have a record. Those that `occurrences` were not restored from are recorded again. */
export function restoreRecordedOccurrences(
  occurrences: PersistentMap<number, OccurrenceState>,
  parts: readonly JobPartProgress[],
): JobState['recordedOccurrences'] {
  return PersistentMap(
    [...groupByOccurrence(parts)].map(([occurrence, ofOccurrence]) => [
      occurrence,
      {
        tasksByStep: occurrences.get(occurrence)?.steps.map(({ tasks }) => tasks) ?? [],
        parts: PersistentSet(ofOccurrence.map(({ part }) => part)),
      },
    ]),
  );
}
