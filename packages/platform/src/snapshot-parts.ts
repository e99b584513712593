/** Splits snapshots into records; each part carries the checksum of the complete snapshot. */
import { createHash } from 'node:crypto';
import type { RecordBody, StoredRecord } from '@baobabdeck/types';

/** Maximum number of characters in one part. */
const PART_CHARACTERS = 200_000;

type SnapshotPart = Extract<RecordBody, { readonly kind: 'snapshot-part' }>;

function checksumOf(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

/** Splits a snapshot of the state through `throughOffset` (inclusive) into parts. */
export function splitSnapshot(
  snapshotId: string,
  throughOffset: number,
  text: string,
): readonly SnapshotPart[] {
  const parts = Math.max(1, Math.ceil(text.length / PART_CHARACTERS));
  const checksum = checksumOf(text);
  return Array.from({ length: parts }, (_, part) => ({
    kind: 'snapshot-part',
    snapshotId,
    throughOffset,
    part,
    parts,
    checksum,
    data: text.slice(part * PART_CHARACTERS, (part + 1) * PART_CHARACTERS),
  }));
}

/** A snapshot reassembled from its parts. */
export interface WholeSnapshot {
  readonly throughOffset: number;
  readonly text: string;
}

/** Creates a collector of parts; `newest` returns the newest complete snapshot with a matching checksum, or null. */
export function createSnapshotCollector(): {
  readonly add: (stored: StoredRecord) => void;
  readonly newest: () => WholeSnapshot | null;
} {
  const partial = new Map<string, Map<number, SnapshotPart>>();
  let newest: WholeSnapshot | null = null;
  const complete = (parts: ReadonlyMap<number, SnapshotPart>, last: SnapshotPart): void => {
    const text = Array.from({ length: last.parts }, (_, part) => parts.get(part)?.data ?? '').join('');
    partial.delete(last.snapshotId);
    const better = newest === null || last.throughOffset > newest.throughOffset;
    if (better && checksumOf(text) === last.checksum) newest = { throughOffset: last.throughOffset, text };
  };
  return {
    add: ({ record }) => {
      if (record?.body.kind !== 'snapshot-part') return;
      const part = record.body;
      const parts = partial.get(part.snapshotId) ?? new Map<number, SnapshotPart>();
      parts.set(part.part, part);
      partial.set(part.snapshotId, parts);
      if (parts.size === part.parts) complete(parts, part);
    },
    newest: () => newest,
  };
}
