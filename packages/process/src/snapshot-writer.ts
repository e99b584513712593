/** Writes snapshots of the fold into the log, well before the records that they replace expire. */
import { randomUUID } from 'node:crypto';
import { selectSnapshotWriter, snapshotFleet, snapshotKeys, type State } from '@baobabdeck/core';
import type { WriteEvent } from '@baobabdeck/observability';
import { cutSnapshot } from '@baobabdeck/platform';
import type { LogRecord, StoredRecord, StreamName } from '@baobabdeck/types';

/** What the writer needs. */
export interface SnapshotWriterParts {
  readonly state: () => State;
  readonly append: (stream: StreamName, record: LogRecord) => void;
  readonly writeEvent: WriteEvent;
  /** Records after which the next snapshot is due. */
  readonly everyRecords: number;
}

/** Watches the records of a process. */
export interface SnapshotWriter {
  readonly observe: (stream: StreamName, records: readonly StoredRecord[]) => void;
}

/** Creates the writer of a process; at each time one process writes for a stream. */
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
    const parts = cutSnapshot(randomUUID(), throughOffset, text);
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
