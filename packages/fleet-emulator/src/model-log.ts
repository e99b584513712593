/** One log of the model store: keyed records with offsets, producers with epochs, and waiting readers. */
import type {
  AppendOutcome,
  KeyedRecord,
  Producer,
  ReadOutcome,
  StoredKeyedRecord,
} from '@baobabdeck/scheduler';
import type { PlayedLimits } from './played-limits.js';
import type { VirtualTime } from './virtual-time.js';

interface ProducerState {
  epoch: number;
  lastSequence: number | null;
  readonly answers: Map<number, AppendOutcome>;
}

/** Appends of one producer that a repeat is recognised among. */
const REMEMBERED_APPENDS = 5;

/** One log. */
export interface ModelLog {
  readonly append: (
    records: readonly KeyedRecord[],
    producer: Producer | null,
    expectedEnd: number | null,
  ) => AppendOutcome;
  readonly read: (fromOffset: number, waitMilliseconds: number) => Promise<ReadOutcome>;
  readonly newest: () => { readonly records: readonly StoredKeyedRecord[]; readonly nextOffset: number };
  /** Lets all records expire; the newest of each key stays. */
  readonly expire: () => void;
}

/** Each record of an append is preceded by its length. */
const RECORD_LENGTH_BYTES = 4;

const KEY_LENGTH_BYTES = 1;

function bytesOf({ key, value }: KeyedRecord): number {
  return KEY_LENGTH_BYTES + Buffer.byteLength(key) + (value?.byteLength ?? 0);
}

/** Returns how many records from an offset on fit into a number of bytes; at least one, if there is any. */
function countFitting(records: readonly KeyedRecord[], fromOffset: number, maximumBytes: number): number {
  let bytes = 0;
  let count = 0;
  for (let at = fromOffset; at < records.length; at += 1) {
    bytes += bytesOf(records[at] ?? { key: '', value: null });
    if (count > 0 && bytes > maximumBytes) break;
    count += 1;
  }
  return count;
}

/** Creates an empty log. */
export function createModelLog(time: VirtualTime, limits: PlayedLimits): ModelLog {
  const records: StoredKeyedRecord[] = [];
  const newest = new Map<string, StoredKeyedRecord>();
  const producers = new Map<string, ProducerState>();
  const waiting = new Set<() => void>();
  let firstOffset = 0;

  const add = (added: readonly KeyedRecord[]): AppendOutcome => {
    const first = records.length;
    added.forEach(({ key, value }) => {
      const stored = { offset: records.length, key, value };
      records.push(stored);
      if (value === null) newest.delete(key);
      else newest.set(key, stored);
    });
    [...waiting].forEach((wake) => wake());
    return { kind: 'stored', firstOffset: first, nextOffset: records.length };
  };

  const addFor = (added: readonly KeyedRecord[], producer: Producer): AppendOutcome => {
    const known = producers.get(producer.name);
    if (known !== undefined && producer.epoch < known.epoch) return { kind: 'fenced' };
    const state: ProducerState =
      known !== undefined && known.epoch === producer.epoch
        ? known
        : { epoch: producer.epoch, lastSequence: null, answers: new Map() };
    producers.set(producer.name, state);
    const repeated = state.answers.get(producer.sequence);
    if (repeated !== undefined) return repeated;
    if (state.lastSequence !== null && producer.sequence !== state.lastSequence + 1) {
      return { kind: 'refused', detail: `expected sequence ${state.lastSequence + 1}` };
    }
    const outcome = add(added);
    state.lastSequence = producer.sequence;
    state.answers.set(producer.sequence, outcome);
    state.answers.delete(producer.sequence - REMEMBERED_APPENDS);
    return outcome;
  };

  const page = (fromOffset: number): ReadOutcome => {
    if (fromOffset < firstOffset) return { kind: 'expired' };
    const read = records.slice(fromOffset, fromOffset + countFitting(records, fromOffset, limits.readBytes));
    const nextOffset = fromOffset + read.length;
    return { kind: 'read', records: read, nextOffset, hasMore: nextOffset < records.length };
  };

  const findExcess = (added: readonly KeyedRecord[]): string | null => {
    const sizes = added.map(bytesOf);
    if (sizes.some((bytes) => bytes > limits.recordBytes)) return 'a record is too large';
    const total = sizes.reduce((sum, bytes) => sum + RECORD_LENGTH_BYTES + bytes, 0);
    return total > limits.requestBytes ? 'the records are too large together' : null;
  };

  return {
    append: (added, producer, expectedEnd) => {
      const excess = findExcess(added);
      if (excess !== null) return { kind: 'invalid', detail: excess };
      if (expectedEnd !== null && expectedEnd !== records.length) {
        return { kind: 'moved', nextOffset: records.length };
      }
      return producer === null ? add(added) : addFor(added, producer);
    },
    read: (fromOffset, waitMilliseconds) => {
      if (fromOffset < records.length || waitMilliseconds === 0) return Promise.resolve(page(fromOffset));
      return new Promise((resolve) => {
        const wake = (): void => {
          if (waiting.delete(wake)) resolve(page(fromOffset));
        };
        waiting.add(wake);
        time.after(waitMilliseconds, wake);
      });
    },
    newest: () => ({ records: [...newest.values()], nextOffset: records.length }),
    expire: () => {
      firstOffset = records.length;
    },
  };
}
