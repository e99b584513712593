/** The journal of an owned log: its owner appends each batch until it is stored, or a newer owner has appended. */
import type { LogFields, WriteEvent } from '@baobabdeck/observability';
import { bytesOf } from '../measure/measured-store.js';
import type { OwnerLoad } from '../measure/owner-load.js';
import type { SteadyClock } from '../node/steady-clock.js';
import type { KeyedRecord, LogPartition, Store } from '../ports/index.js';
import { OWNER_PRODUCER } from './claim.js';

const FAILURE_PAUSE_MILLISECONDS = 100;

/** Time that a stopping owner waits for a batch under way. */
const STOP_WAIT_MILLISECONDS = 1_000;

/** What a journal needs. */
export interface OwnedJournalParts {
  readonly store: Store;
  readonly clock: SteadyClock;
  readonly place: LogPartition;
  /** The claim's epoch, under which the owner appends. */
  readonly epoch: number;
  /** Whether the owner still wants its batches stored. */
  readonly isOpen: () => boolean;
  readonly onFenced: () => void;
  readonly writeEvent: WriteEvent;
  readonly load: OwnerLoad;
  /** Names the owner in the log. */
  readonly logFields: LogFields;
}

type OnStored = (firstOffset: number, askedAt: number) => void;

/** A journal. */
export interface OwnedJournal {
  /** Appends a batch; the owner appends the next one once this one is stored. */
  readonly append: (appendId: number, records: readonly KeyedRecord[], onStored: OnStored) => void;
  /** Resolves once the batch under way is settled, or it was waited for long enough. */
  readonly settle: () => Promise<void>;
}

/** Opens the journal of a claim that stands. */
export function openJournal(parts: OwnedJournalParts): OwnedJournal {
  const { store, clock, place, epoch } = parts;
  let nextSequence = 1;
  let appending: Promise<void> = Promise.resolve();

  const appendUntilStored = async (
    appendId: number,
    records: readonly KeyedRecord[],
    onStored: OnStored,
  ): Promise<void> => {
    const producer = { name: OWNER_PRODUCER, epoch, sequence: nextSequence };
    nextSequence += 1;
    const bytes = bytesOf(records);
    while (parts.isOpen()) {
      const askedAt = clock.steadyNow();
      const outcome = await store.append({ partition: place, records, producer, expectedEnd: null });
      parts.load.noteAppend(clock.steadyNow() - askedAt, bytes);
      if (outcome.kind === 'stored') {
        onStored(outcome.firstOffset, askedAt);
        return;
      }
      if (outcome.kind === 'fenced') {
        parts.onFenced();
        return;
      }
      parts.writeEvent('appendFailed', { ...parts.logFields, appendId, outcome });
      await clock.sleep(FAILURE_PAUSE_MILLISECONDS);
    }
  };

  return {
    append: (appendId, records, onStored) => {
      appending = appendUntilStored(appendId, records, onStored);
    },
    settle: () => Promise.race([appending, clock.sleep(STOP_WAIT_MILLISECONDS)]),
  };
}
