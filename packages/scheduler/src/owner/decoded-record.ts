/** Decodes stored records, of which some may be unreadable. */
import type { LogFields, WriteEvent } from '@baobabdeck/observability';
import type { StoredKeyedRecord } from '../ports/index.js';

/** Result of decoding a stored record. */
export type DecodedRecord<T> =
  | { readonly kind: 'record'; readonly record: T }
  /** A deleted key, or a key that the reader has no use for. */
  | { readonly kind: 'ignored' }
  | { readonly kind: 'unreadable'; readonly offset: number; readonly key: string };

/** Decodes a record by `decodeValue`, which returns null for keys without use and throws if the value is malformed. */
export function decodeStored<T>(
  { offset, key, value }: StoredKeyedRecord,
  decodeValue: (key: string, value: Uint8Array) => T | null,
): DecodedRecord<T> {
  if (value === null) return { kind: 'ignored' };
  try {
    const record = decodeValue(key, value);
    return record === null ? { kind: 'ignored' } : { kind: 'record', record };
  } catch {
    return { kind: 'unreadable', offset, key };
  }
}

/** Returns a decoder that decodes each stored record once, however often it is asked. */
export function rememberDecoded<T>(
  decode: (record: StoredKeyedRecord) => DecodedRecord<T>,
): (record: StoredKeyedRecord) => DecodedRecord<T> {
  const known = new WeakMap<StoredKeyedRecord, DecodedRecord<T>>();
  return (record) => {
    const decoded = known.get(record) ?? decode(record);
    known.set(record, decoded);
    return decoded;
  };
}

/** Decodes records and logs those that are unreadable. */
export function decodeReadable<T>(
  records: readonly StoredKeyedRecord[],
  decode: (record: StoredKeyedRecord) => DecodedRecord<T>,
  writeEvent: WriteEvent,
  logFields: LogFields,
): readonly T[] {
  return records.flatMap((stored) => {
    const decoded = decode(stored);
    if (decoded.kind === 'unreadable') {
      writeEvent('recordUnreadable', { ...logFields, offset: decoded.offset, key: decoded.key });
    }
    return decoded.kind === 'record' ? [decoded.record] : [];
  });
}
