/** Groups encoded service records: those of one job are stored together where the store's limits permit. */
import type { ServiceRecord } from '@baobabdeck/scheduling';
import type { AppendLimits, KeyedRecord } from '../ports/index.js';
import { isStorable } from './append-batches.js';
import { encodeRecord } from './record-codec.js';

/** Called for a record that only fits without the checkpoints of its tasks, which then start from the beginning. */
export type ReportLargeRecord = (record: KeyedRecord) => void;

function jobIdOf(record: ServiceRecord): string | null {
  if (record.kind === 'job-part-progress' || record.kind === 'job-part-forgotten') return record.part.jobId;
  return record.kind === 'job-progress' || record.kind === 'job-forgotten' ? record.jobId : null;
}

function withoutCheckpoints(record: ServiceRecord): ServiceRecord {
  if (record.kind === 'job-part-progress') {
    const steps = record.part.steps.map(({ step, tasks }) => ({
      step,
      tasks: tasks.map((task) => ({ ...task, checkpoint: '' })),
    }));
    return { ...record, part: { ...record.part, steps } };
  }
  if (record.kind !== 'job-progress') return record;
  const occurrences = record.progress.occurrences.map(({ occurrence, steps }) => ({
    occurrence,
    steps: steps.map((tasks) => tasks.map((task) => ({ ...task, checkpoint: '' }))),
  }));
  return { ...record, progress: { ...record.progress, occurrences } };
}

function encodeWithin(
  record: ServiceRecord,
  limits: AppendLimits,
  onLarge: ReportLargeRecord,
): readonly KeyedRecord[] {
  const encoded = encodeRecord(record);
  const large = encoded.filter((one) => !isStorable(one, limits));
  if (large.length === 0) return encoded;
  large.forEach(onLarge);
  return encodeRecord(withoutCheckpoints(record));
}

/** Encodes records in their order; consecutive records of one job form a group. */
export function encodeGroups(
  records: readonly ServiceRecord[],
  limits: AppendLimits,
  onLarge: ReportLargeRecord,
): readonly (readonly KeyedRecord[])[] {
  const groups: KeyedRecord[][] = [];
  let currentJobId: string | null = null;
  for (const record of records) {
    const jobId = jobIdOf(record);
    const encoded = encodeWithin(record, limits, onLarge);
    if (jobId !== null && jobId === currentJobId) groups.at(-1)?.push(...encoded);
    else groups.push([...encoded]);
    currentJobId = jobId;
  }
  return groups;
}
