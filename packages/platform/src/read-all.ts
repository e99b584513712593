/** Reads the retained contents of a stream, for a process that starts without state. */
import { fail, succeed, type Result } from '@baobabdeck/errors';
import type { StoredRecord, StreamName } from '@baobabdeck/types';
import type { Platform } from './platform.js';
import { createSnapshotCollector, type WholeSnapshot } from './snapshot-parts.js';

/** Records in one page. */
const PAGE_RECORDS = 1_000;

/** Contents of a stream from which a new process restores its state. */
export interface StreamContents {
  /** The newest complete snapshot, which the records continue; null if the records begin at offset 0. */
  readonly snapshot: WholeSnapshot | null;
  /** Records after the snapshot, without a gap. */
  readonly records: readonly StoredRecord[];
  readonly nextOffset: number;
}

function assemble(
  records: readonly StoredRecord[],
  firstOffset: number,
  nextOffset: number,
): Result<StreamContents> {
  const collector = createSnapshotCollector();
  records.forEach(collector.add);
  const snapshot = collector.newest();
  if (firstOffset === 0) {
    const tail =
      snapshot === null ? records : records.filter((record) => record.offset > snapshot.throughOffset);
    return succeed({ snapshot, records: tail, nextOffset });
  }
  if (snapshot === null || snapshot.throughOffset + 1 < firstOffset) {
    return fail(
      'logGap',
      `The log begins at offset ${firstOffset} and holds no whole snapshot that reaches it`,
    );
  }
  return succeed({
    snapshot,
    records: records.filter((record) => record.offset > snapshot.throughOffset),
    nextOffset,
  });
}

/** Reads a stream from its oldest record to its end. Fails with `logGap` if no snapshot covers the expired records. */
export async function readWholeStream(
  platform: Platform,
  stream: StreamName,
): Promise<Result<StreamContents>> {
  const records: StoredRecord[] = [];
  let fromOffset = 0;
  let firstOffset = 0;
  for (;;) {
    const page = await platform.read({ stream, fromOffset, waitMilliseconds: 0, limit: PAGE_RECORDS });
    if (!page.ok && page.failure.kind === 'logGap') {
      const bounds = await platform.read({
        stream,
        fromOffset: Number.MAX_SAFE_INTEGER,
        waitMilliseconds: 0,
        limit: 1,
      });
      if (!bounds.ok) return bounds;
      // Records expired during the read: there is a gap after the records read so far, so the read restarts.
      records.length = 0;
      firstOffset = bounds.value.firstOffset;
      fromOffset = firstOffset;
      continue;
    }
    if (!page.ok) return page;
    if (records.length === 0) firstOffset = fromOffset;
    records.push(...page.value.records);
    fromOffset = (records.at(-1)?.offset ?? fromOffset - 1) + 1;
    if (page.value.records.length === 0 || fromOffset >= page.value.nextOffset) {
      return assemble(records, firstOffset, page.value.nextOffset);
    }
  }
}
