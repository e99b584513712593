/**
 * Journal of an owner: cuts each batch into appends within the store's limits and retries each until it is stored or a
 * newer owner has fenced this one. A record that can never be stored is reported and left out.
 */
import type { LogFields, WriteEvent } from '@baobabdeck/observability';
import { bytesOf } from '../measure/measured-store.js';
import type { OwnerLoad } from '../measure/owner-load.js';
import type { SteadyClock } from '../node/steady-clock.js';
import type { KeyedRecord, LogPartition, Store } from '../ports/index.js';
import { cutIntoAppends, isStorable } from './append-batches.js';
import { OWNER_PRODUCER } from './claim.js';
import { createLargeRecordReporter } from './large-records.js';

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
  /**
   * Appends a batch of groups. A group is stored in one append if it fits into one. The owner must not append another
   * batch before `onStored` is called.
   */
  readonly append: (
    appendId: number,
    groups: readonly (readonly KeyedRecord[])[],
    onStored: OnStored,
  ) => void;
  /** Resolves once the pending append has ended, at the latest after `FLUSH_TIMEOUT_MILLISECONDS`. */
  readonly flush: () => Promise<void>;
}

/** A stored append: the offset of its first record, and when the successful attempt began. */
interface StoredAppend {
  readonly firstOffset: number;
  readonly askedAt: number;
}

/** Opens the journal of a successful claim. */
export function openJournal(parts: OwnedJournalParts): OwnedJournal {
  const { store, clock, partition, epoch } = parts;
  let nextSequence = 1;
  let pendingAppend: Promise<void> = Promise.resolve();

  const reportLargeRecord = createLargeRecordReporter(parts.writeEvent, parts.logFields);

  const isAccepted = (record: KeyedRecord): boolean => {
    const isWithinLimit = isStorable(record, store.limits);
    if (!isWithinLimit) {
      reportLargeRecord(record, 'left out', `the store accepts ${store.limits.recordBytes} bytes`);
    }
    return isWithinLimit;
  };

  /** Retries an append until it is stored or refused for good; null if the owner is closed or fenced meanwhile. */
  const appendUntilSettled = async (
    appendId: number,
    records: readonly KeyedRecord[],
  ): Promise<StoredAppend | 'invalid' | null> => {
    const producer = { name: OWNER_PRODUCER, epoch, sequence: nextSequence };
    const bytes = bytesOf(records);
    while (parts.isOpen()) {
      const askedAt = clock.steadyNow();
      const outcome = await store.append({ partition, records, producer, expectedEnd: null });
      parts.load.recordAppend(clock.steadyNow() - askedAt, bytes);
      if (outcome.kind === 'stored') {
        nextSequence += 1;
        return { firstOffset: outcome.firstOffset, askedAt };
      }
      if (outcome.kind === 'fenced') {
        parts.onFenced();
        return null;
      }
      parts.writeEvent('appendFailed', { ...parts.logFields, appendId, outcome });
      if (outcome.kind === 'invalid') return 'invalid';
      await clock.sleep(RETRY_DELAY_MILLISECONDS);
    }
    return null;
  };

  /** Appends records that the store does not accept together one by one, and leaves out those that it never accepts. */
  const appendOneByOne = async (
    appendId: number,
    records: readonly KeyedRecord[],
  ): Promise<StoredAppend | null> => {
    let first: StoredAppend | null = null;
    for (const record of records) {
      const stored = await appendUntilSettled(appendId, [record]);
      if (stored === null) return null;
      if (stored === 'invalid') reportLargeRecord(record, 'left out', 'refused by the store');
      else first ??= stored;
    }
    return first ?? appendNothing(appendId);
  };

  const appendNothing = async (appendId: number): Promise<StoredAppend | null> => {
    const stored = await appendUntilSettled(appendId, []);
    return stored === 'invalid' ? null : stored;
  };

  const appendGroups = async (
    appendId: number,
    groups: readonly (readonly KeyedRecord[])[],
    onStored: OnStored,
  ): Promise<void> => {
    const storable = groups.map((group) => group.filter(isAccepted));
    const appends = cutIntoAppends(storable, store.limits);
    let firstOffset: number | null = null;
    let askedAt = -Infinity;
    for (const records of appends.length === 0 ? [[]] : appends) {
      const settled = await appendUntilSettled(appendId, records);
      const stored = settled === 'invalid' ? await appendOneByOne(appendId, records) : settled;
      if (stored === null) return;
      firstOffset ??= stored.firstOffset;
      ({ askedAt } = stored);
    }
    onStored(firstOffset ?? 0, askedAt);
  };

  return {
    append: (appendId, groups, onStored) => {
      pendingAppend = appendGroups(appendId, groups, onStored);
    },
    flush: () => Promise.race([pendingAppend, clock.sleep(FLUSH_TIMEOUT_MILLISECONDS)]),
  };
}
