/** Cuts records into appends that the store accepts, so that no record and no append is refused for its size. */
import type { AppendLimits, KeyedRecord } from '../ports/index.js';

/** The length of a key is stored in one byte. */
const MAXIMUM_KEY_BYTES = 255;

const KEY_LENGTH_BYTES = 1;

/** Each record of an append is preceded by its length. */
const RECORD_LENGTH_BYTES = 4;

/** Returns the bytes of a record as the store counts them. */
export function storedBytesOf({ key, value }: KeyedRecord): number {
  return KEY_LENGTH_BYTES + Buffer.byteLength(key) + (value?.byteLength ?? 0);
}

/** Returns whether the store accepts a record. */
export function isStorable(record: KeyedRecord, { recordBytes }: Pick<AppendLimits, 'recordBytes'>): boolean {
  return Buffer.byteLength(record.key) <= MAXIMUM_KEY_BYTES && storedBytesOf(record) <= recordBytes;
}

/** Returns the bytes of records as the store counts them in one append. */
export function framedBytesOf(records: readonly KeyedRecord[]): number {
  return records.reduce((sum, record) => sum + RECORD_LENGTH_BYTES + storedBytesOf(record), 0);
}

/**
 * Cuts groups of storable records into appends. The records of a group are stored together unless they exceed one append
 * by themselves; then they are stored in their order.
 */
export function cutIntoAppends(
  groups: readonly (readonly KeyedRecord[])[],
  { requestBytes }: Pick<AppendLimits, 'requestBytes'>,
): readonly (readonly KeyedRecord[])[] {
  const appends: KeyedRecord[][] = [];
  let bytes = Infinity;
  const add = (records: readonly KeyedRecord[]): void => {
    const added = framedBytesOf(records);
    bytes += added;
    if (bytes <= requestBytes) {
      appends.at(-1)?.push(...records);
    } else {
      appends.push([...records]);
      bytes = added;
    }
  };
  for (const group of groups) {
    if (framedBytesOf(group) <= requestBytes) add(group);
    else group.forEach((record) => add([record]));
  }
  return appends;
}
