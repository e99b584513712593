/** Guards against appends that the store refuses for their size, and against records that hold up all others. */
import { describe } from '@baobabdeck/test-tools';
import fc from 'fast-check';
import type { LogFields } from '@baobabdeck/observability';
import { NO_MEASURES } from '../measure/no-measures.js';
import { createOwnerLoad } from '../measure/owner-load.js';
import { cutIntoAppends, framedBytesOf, isStorable, storedBytesOf } from '../owner/append-batches.js';
import { openJournal } from '../owner/owned-journal.js';
import type { AppendLimits, AppendOutcome, AppendRequest, KeyedRecord, Store } from '../ports/index.js';
import { createManualClock } from './manual-clock.js';

function recordOf(key: string, bytes: number): KeyedRecord {
  return { key, value: new Uint8Array(bytes) };
}

const LIMITS: AppendLimits = { recordBytes: 100, requestBytes: 250 };

describe('records cut into appends', ({ it }) => {
  it('accepts records up to the limit, with a key of up to 255 bytes', (t) => {
    t.is(storedBytesOf(recordOf('key', 96)), 100);
    t.true(isStorable(recordOf('key', 96), LIMITS));
    t.false(isStorable(recordOf('key', 97), LIMITS));
    t.true(isStorable(recordOf('k'.repeat(255), 0), { recordBytes: 1_000 }));
    t.false(isStorable(recordOf('ü'.repeat(128), 0), { recordBytes: 1_000 }));
  });

  it('keeps appends within the limit, all records in order, and groups whole if they fit into one append', (t) => {
    const group = fc.array(fc.nat({ max: 95 }), { maxLength: 8 });
    const property = fc.property(fc.array(group, { maxLength: 12 }), (sizes) => {
      const groups = sizes.map((ofGroup, index) =>
        ofGroup.map((bytes, position) => recordOf(`${index}.${position}`, bytes)),
      );
      const appends = cutIntoAppends(groups, LIMITS);
      const keys = appends.flat().map(({ key }) => key);
      const isComplete =
        keys.join() ===
        groups
          .flat()
          .map(({ key }) => key)
          .join();
      const fits = appends.every((append) => framedBytesOf(append) <= LIMITS.requestBytes);
      const appendOf = new Map(appends.flatMap((append, at) => append.map(({ key }) => [key, at] as const)));
      const areWhole = groups.every(
        (records) =>
          framedBytesOf(records) > LIMITS.requestBytes ||
          new Set(records.map(({ key }) => appendOf.get(key))).size <= 1,
      );
      return isComplete && fits && areWhole;
    });
    t.notThrows(() => fc.assert(property, { seed: 20_261_205, numRuns: 1_000 }));
  });
});

interface Line extends LogFields {
  readonly event: string;
}

interface JournalHarness {
  readonly appends: readonly (readonly string[])[];
  readonly sequences: readonly number[];
  readonly lines: readonly Line[];
  readonly append: (groups: readonly (readonly KeyedRecord[])[]) => Promise<void>;
  readonly isStored: () => boolean;
}

/** Creates a journal on a store that answers as `answer` does. */
function createHarness(answer: (request: AppendRequest) => AppendOutcome): JournalHarness {
  const clock = createManualClock();
  const appends: string[][] = [];
  const sequences: number[] = [];
  const lines: Line[] = [];
  const failed = { kind: 'failed' as const, detail: 'not expected' };
  let isStored = false;
  const writeEvent = (event: string, fields: LogFields = {}): void => {
    lines.push({ ...fields, event });
  };
  const store: Store = {
    append: (request) => {
      appends.push(request.records.map(({ key }) => key));
      sequences.push(request.producer?.sequence ?? -1);
      return Promise.resolve(answer(request));
    },
    read: () => Promise.resolve(failed),
    readNewest: () => Promise.resolve(failed),
    join: () => Promise.resolve(failed),
    leave: () => Promise.resolve(),
    listOwners: () => Promise.resolve(failed),
    partitionCount: 1,
    limits: LIMITS,
  };
  const logFields = { service: 'quotes' };
  const journal = openJournal({
    store,
    clock,
    partition: { topic: 'keyed.journal.0', partition: 0 },
    epoch: 1,
    isOpen: () => true,
    onFenced: () => undefined,
    writeEvent,
    load: createOwnerLoad({
      clock,
      writeEvent,
      measures: NO_MEASURES,
      logFields,
      queueStatistics: () => ({}),
    }),
    logFields,
  });
  return {
    appends,
    sequences,
    lines,
    append: async (groups) => {
      journal.append(1, groups, () => {
        isStored = true;
      });
      await clock.advance(0);
    },
    isStored: () => isStored,
  };
}

const STORED: AppendOutcome = { kind: 'stored', firstOffset: 7, nextOffset: 9 };
const INVALID: AppendOutcome = { kind: 'invalid', detail: 'status 400, too large' };

describe('the journal of an owner', ({ it }) => {
  it('stores a batch that exceeds one append in several, one after the other', async (t) => {
    const journal = createHarness(() => STORED);
    await journal.append([[recordOf('a', 90), recordOf('b', 90)], [recordOf('c', 90)]]);
    t.deepEqual(journal.appends, [['a', 'b'], ['c']]);
    t.deepEqual(journal.sequences, [1, 2]);
    t.true(journal.isStored());
  });

  it('leaves out a record above the limit, says so once and stores the others', async (t) => {
    const journal = createHarness(() => STORED);
    await journal.append([[recordOf('large', 200)], [recordOf('small', 10)]]);
    t.deepEqual(journal.appends, [['small']]);
    t.deepEqual(
      journal.lines.map(({ event, key, bytes }) => [event, key, bytes]),
      [['recordTooLarge', 'large', 206]],
    );
    t.true(journal.isStored());
  });

  it('does not repeat an append that the store never accepts, and stores its other records', async (t) => {
    const journal = createHarness(({ records }) =>
      records.some(({ key }) => key === 'bad') ? INVALID : STORED,
    );
    await journal.append([[recordOf('a', 10), recordOf('bad', 10), recordOf('b', 10)]]);
    t.deepEqual(journal.appends, [['a', 'bad', 'b'], ['a'], ['bad'], ['b']]);
    // A refused append has used no sequence number.
    t.deepEqual(journal.sequences, [1, 1, 2, 2]);
    t.deepEqual(
      journal.lines.flatMap(({ event, key }) => (event === 'recordTooLarge' ? [key] : [])),
      ['bad'],
    );
    t.true(journal.isStored());
  });
});
