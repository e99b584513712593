/** Groups encoded service records: those of one job are stored together where the store's limits permit. */
import type { ServiceRecord } from '@baobabdeck/scheduling';
import type { AppendLimits, KeyedRecord } from '../ports/index.js';
import { isStorable } from './append-batches.js';
import { withoutCheckpoints, type ReportLargeRecord } from './large-records.js';
import { encodeRecord } from './record-codec.js';

function jobIdOf(record: ServiceRecord): string | null {
  if (record.kind === 'job-part-progress' || record.kind === 'job-part-forgotten') return record.part.jobId;
  return record.kind === 'job-progress' || record.kind === 'job-forgotten' ? record.jobId : null;
}

function encodeWithin(
  record: ServiceRecord,
  limits: AppendLimits,
  onLarge: ReportLargeRecord,
): readonly KeyedRecord[] {
  const encoded = encodeRecord(record);
  const large = encoded.filter((one) => !isStorable(one, limits));
  if (large.length === 0) return encoded;
  large.forEach((one) =>
    onLarge(one, 'stored without checkpoints', `the store accepts ${limits.recordBytes} bytes`),
  );
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
