/** Records that exceed the limit of the store: they are stored without checkpoints, or not at all. */
import type { LogFields, WriteEvent } from '@baobabdeck/observability';
import type { ServiceRecord, TaskProgress } from '@baobabdeck/scheduling';
import type { KeyedRecord } from '../ports/index.js';
import { storedBytesOf } from './append-batches.js';

/** What becomes of a record that is too large. */
export type LargeRecordOutcome = 'stored without checkpoints' | 'left out';

/** Logs a record that is too large. */
export type ReportLargeRecord = (record: KeyedRecord, outcome: LargeRecordOutcome, detail: string) => void;

/** Creates a reporter; `logFields` identify the owner. */
export function createLargeRecordReporter(writeEvent: WriteEvent, logFields: LogFields): ReportLargeRecord {
  return (record, outcome, detail) =>
    writeEvent('recordTooLarge', {
      ...logFields,
      key: record.key,
      bytes: storedBytesOf(record),
      outcome,
      detail,
    });
}

function clearCheckpoints(tasks: readonly TaskProgress[]): readonly TaskProgress[] {
  return tasks.map((task) => ({ ...task, checkpoint: '' }));
}

/** Returns a record of progress without the checkpoints of its tasks, which then start from the beginning. */
export function withoutCheckpoints(record: ServiceRecord): ServiceRecord {
  if (record.kind === 'job-part-progress') {
    const steps = record.part.steps.map(({ step, tasks }) => ({ step, tasks: clearCheckpoints(tasks) }));
    return { ...record, part: { ...record.part, steps } };
  }
  if (record.kind !== 'job-progress') return record;
  const occurrences = record.progress.occurrences.map(({ occurrence, steps }) => ({
    occurrence,
    steps: steps.map(clearCheckpoints),
  }));
  return { ...record, progress: { ...record.progress, occurrences } };
}
