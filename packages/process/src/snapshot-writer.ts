/** Writes snapshots of the fold to the log, well before the records that they replace expire. */
import { randomUUID } from 'node:crypto';
import { selectSnapshotWriter, snapshotFleet, snapshotKeys, type State } from '@baobabdeck/core';
import type { WriteEvent } from '@baobabdeck/observability';
import { splitSnapshot } from '@baobabdeck/platform';
import type { LogRecord, StoredRecord, StreamName } from '@baobabdeck/types';

/** Dependencies of the snapshot writer. */
export interface SnapshotWriterParts {
  readonly state: () => State;
  readonly append: (stream: StreamName, record: LogRecord) => void;
  readonly writeEvent: WriteEvent;
  /** Number of records after which the next snapshot is due. */
  readonly everyRecords: number;
}

/** Observes the records that a process reads, and writes a snapshot when one is due. */
export interface SnapshotWriter {
  readonly observe: (stream: StreamName, records: readonly StoredRecord[]) => void;
}

/** Creates the snapshot writer of a process; only one process at a time is selected to write for a stream. */
export function createSnapshotWriter({
  state,
  append,
  writeEvent,
  everyRecords,
}: SnapshotWriterParts): SnapshotWriter {
  const snapshotOffsets = new Map<StreamName, number>();

  const write = (stream: StreamName): void => {
    const { fold, identity } = state();
    const text = stream === 'fleet' ? snapshotFleet(fold.fleet) : snapshotKeys(fold.keys);
    const throughOffset = fold[stream].nextOffset - 1;
    const parts = splitSnapshot(randomUUID(), throughOffset, text);
    parts.forEach((body) => {
      append(stream, {
        id: randomUUID(),
        issuer: identity.processId,
        issuedAt: state().now,
        decidedAtOffset: throughOffset + 1,
        body,
      });
    });
    snapshotOffsets.set(stream, throughOffset);
    writeEvent('snapshotWritten', { stream, throughOffset, parts: parts.length, characters: text.length });
  };

  return {
    observe: (stream, records) => {
      records.forEach(({ offset, record }) => {
        if (record?.body.kind === 'snapshot-part') snapshotOffsets.set(stream, offset);
      });
      const { nextOffset } = state().fold[stream];
      const since = snapshotOffsets.get(stream) ?? 0;
      if (
        nextOffset - since >= everyRecords &&
        selectSnapshotWriter(state(), stream) === state().identity.processId
      ) {
        write(stream);
      }
    },
  };
}
