/** One partition of the log of the stand-in store: appends, producers, and the records that are still retained. */
import { Buffer } from 'node:buffer';

const RECENT_APPENDS = 5;
const LENGTH_BYTES = 4;

/** Cuts the body of an append into records. */
export function splitRecords(body) {
  const records = [];
  for (let position = 0; position + LENGTH_BYTES <= body.length;) {
    const start = position + LENGTH_BYTES;
    position = start + body.readUInt32BE(position);
    records.push(body.subarray(start, position));
  }
  return records;
}

/** Frames a record with its length. */
export function frameRecord(record) {
  const length = Buffer.alloc(LENGTH_BYTES);
  length.writeUInt32BE(record.length);
  return Buffer.concat([length, record]);
}

/** Returns the record of a key and a value. */
export function keyedRecord(key, value) {
  const keyBytes = Buffer.from(key);
  return Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, value]);
}

function parseKeyed(record) {
  const valueAt = 1 + record[0];
  return { key: record.toString('utf8', 1, valueAt), value: record.subarray(valueAt) };
}

/** Creates an empty partition; only keyed ones keep the newest record of each key. */
export function createPartition(isKeyed) {
  /** Retained records; the first one has the offset `first`. */
  let records = [];
  let first = 0;
  const newest = new Map();
  const producers = new Map();
  let waiting = [];

  const end = () => first + records.length;

  const store = (added) => {
    const offset = end();
    added.forEach((record, index) => {
      records.push(record);
      if (!isKeyed) return;
      const { key, value } = parseKeyed(record);
      if (value.length === 0) newest.delete(key);
      else newest.set(key, { key, value, offset: offset + index });
    });
    if (added.length > 0) {
      const woken = waiting;
      waiting = [];
      woken.forEach((wake) => wake());
    }
    return { status: 200, body: { offset, end: end() } };
  };

  const appendAsProducer = (added, { producer, epoch, sequence }) => {
    const known = producers.get(producer) ?? { epoch: -1, sequence: null, recent: [] };
    if (epoch < known.epoch) return { status: 409, body: { reason: 'fenced' } };
    if (added.length === 0) {
      if (epoch > known.epoch) producers.set(producer, { epoch, sequence: null, recent: [] });
      return { status: 200, body: { offset: end(), end: end() } };
    }
    const current = epoch > known.epoch ? { epoch, sequence: null, recent: [] } : known;
    const repeated = current.recent.find((one) => one.sequence === sequence);
    if (repeated !== undefined) return repeated.answer;
    if (current.sequence !== null && sequence !== current.sequence + 1) {
      return { status: 409, body: { reason: 'seq', sequence: current.sequence + 1 } };
    }
    const answer = store(added);
    const recent = [...current.recent, { sequence, answer }].slice(-RECENT_APPENDS);
    producers.set(producer, { epoch, sequence, recent });
    return answer;
  };

  return {
    end,
    first: () => first,
    /** Appends all records or none; `at` is the expected end, or null. */
    append: (added, { at, ...producer }) => {
      if (at !== null && at !== end()) return { status: 412, body: { end: end() } };
      return producer.producer === null ? store(added) : appendAsProducer(added, producer);
    },
    readFrom: (from) => records.slice(Math.max(0, from - first)),
    newest: () => [...newest.values()],
    /** Resolves to a function that stops the wait, once a record is appended. */
    onAppended: (wake) => {
      waiting.push(wake);
      return () => {
        waiting = waiting.filter((one) => one !== wake);
      };
    },
    /** Drops the history: only the newest record of each key stays. */
    forgetHistory: () => {
      first = end();
      records = [];
    },
  };
}
