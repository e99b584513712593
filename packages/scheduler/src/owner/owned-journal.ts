/** Journal of an owner: retries each append until the batch is stored or a newer owner has fenced this one. */
import type { LogFields, WriteEvent } from '@baobabdeck/observability';
import { bytesOf } from '../measure/measured-store.js';
import type { OwnerLoad } from '../measure/owner-load.js';
import type { SteadyClock } from '../node/steady-clock.js';
import type { KeyedRecord, LogPartition, Store } from '../ports/index.js';
import { OWNER_PRODUCER } from './claim.js';

const RETRY_DELAY_MILLISECONDS = 100;

/** Longest time that a stopping owner waits for the pending append. */
const FLUSH_TIMEOUT_MILLISECONDS = 1_000;

/** Dependencies and parameters of a journal. */
export interface OwnedJournalParts {
  readonly store: Store;
  readonly clock: SteadyClock;
  readonly partition: LogPartition;
  /** Epoch of the claim, used as the producer epoch of every append. */
  readonly epoch: number;
  /** Returns false once the owner is closed; the pending append is then not retried. */
  readonly isOpen: () => boolean;
  /** Called when the store refuses an append because a newer owner has claimed the log. */
  readonly onFenced: () => void;
  readonly writeEvent: WriteEvent;
  readonly load: OwnerLoad;
  /** Fields that identify the owner in log lines. */
  readonly logFields: LogFields;
}

/** Receives the offset of the first record and the steady-clock time at which the successful attempt began. */
type OnStored = (firstOffset: number, askedAt: number) => void;

/** Journal to which one owner appends. */
export interface OwnedJournal {
  /** Appends a batch. The owner must not append another one before `onStored` is called. */
  readonly append: (appendId: number, records: readonly KeyedRecord[], onStored: OnStored) => void;
  /** Resolves once the pending append has ended, at the latest after `FLUSH_TIMEOUT_MILLISECONDS`. */
  readonly flush: () => Promise<void>;
}

/** Opens the journal of a successful claim. */
export function openJournal(parts: OwnedJournalParts): OwnedJournal {
  const { store, clock, partition, epoch } = parts;
  let nextSequence = 1;
  let pendingAppend: Promise<void> = Promise.resolve();

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
      const outcome = await store.append({ partition, records, producer, expectedEnd: null });
      parts.load.recordAppend(clock.steadyNow() - askedAt, bytes);
      if (outcome.kind === 'stored') {
        onStored(outcome.firstOffset, askedAt);
        return;
      }
      if (outcome.kind === 'fenced') {
        parts.onFenced();
        return;
      }
      parts.writeEvent('appendFailed', { ...parts.logFields, appendId, outcome });
      await clock.sleep(RETRY_DELAY_MILLISECONDS);
    }
  };

  return {
    append: (appendId, records, onStored) => {
      pendingAppend = appendUntilStored(appendId, records, onStored);
    },
    flush: () => Promise.race([pendingAppend, clock.sleep(FLUSH_TIMEOUT_MILLISECONDS)]),
  };
}
