/** Encodes the records of the fleet's journal as keyed records of the store. */
import { Decoder, Encoder } from 'cbor-x';
import type { FleetRecord, HostAction } from '@baobabdeck/scheduling';
import { decodeStored, type DecodedRecord } from '../owner/decoded-record.js';
import type { KeyedRecord, StoredKeyedRecord } from '../ports/index.js';

const encoder = new Encoder({ useRecords: false });
const decoder = new Decoder({ useRecords: false });

const HOST_PREFIX = 'host/';
const WAVE_PREFIX = 'wave/';
const RESIGNED_KEY = 'resigned';

/** Stored content of a host's record; `what` is null once the order has ended. */
interface EncodedHost {
  readonly what: HostAction | null;
  readonly isAccepted: boolean;
  /** Milliseconds since 1970. */
  readonly recordedAt: number;
}

interface EncodedResignation {
  readonly rests: readonly { readonly hostId: string; readonly milliseconds: number }[];
  readonly recordedAt: number;
}

interface EncodedWave {
  /** Milliseconds since 1970. */
  readonly seenSince: number;
  readonly recordedAt: number;
  readonly begunHostIds: readonly string[];
  readonly isCompleted: boolean;
}

/** Encodes a fleet record. */
export function encodeFleetRecord(record: FleetRecord): KeyedRecord {
  const recordedAt = record.recordedAt.getTime();
  switch (record.kind) {
    case 'host-ordered': {
      const content: EncodedHost = { what: record.what, isAccepted: record.isAccepted, recordedAt };
      return { key: HOST_PREFIX + record.hostId, value: encoder.encode(content) };
    }
    case 'host-settled': {
      const content: EncodedHost = { what: null, isAccepted: true, recordedAt };
      return { key: HOST_PREFIX + record.hostId, value: encoder.encode(content) };
    }
    case 'fleet-resigned': {
      const content: EncodedResignation = { rests: record.rests, recordedAt };
      return { key: RESIGNED_KEY, value: encoder.encode(content) };
    }
    default: {
      const { begunHostIds, isCompleted } = record;
      const seenSince = record.seenSince.getTime();
      const content: EncodedWave = { seenSince, recordedAt, begunHostIds, isCompleted };
      return { key: WAVE_PREFIX + record.wave, value: encoder.encode(content) };
    }
  }
}

function decodeHost(hostId: string, encoded: EncodedHost): FleetRecord {
  const { what, isAccepted } = encoded;
  const recordedAt = new Date(encoded.recordedAt);
  return what === null
    ? { kind: 'host-settled', hostId, recordedAt }
    : { kind: 'host-ordered', hostId, what, isAccepted, recordedAt };
}

function decodeWave(wave: number, encoded: EncodedWave): FleetRecord {
  return {
    kind: 'wave-progress',
    wave,
    seenSince: new Date(encoded.seenSince),
    begunHostIds: encoded.begunHostIds,
    isCompleted: encoded.isCompleted,
    recordedAt: new Date(encoded.recordedAt),
  };
}

function decodeValue(key: string, value: Uint8Array): FleetRecord | null {
  if (key.startsWith(HOST_PREFIX)) {
    return decodeHost(key.slice(HOST_PREFIX.length), decoder.decode(value) as EncodedHost);
  }
  if (key === RESIGNED_KEY) {
    const encoded = decoder.decode(value) as EncodedResignation;
    return { kind: 'fleet-resigned', rests: encoded.rests, recordedAt: new Date(encoded.recordedAt) };
  }
  if (!key.startsWith(WAVE_PREFIX)) return null;
  return decodeWave(Number(key.slice(WAVE_PREFIX.length)), decoder.decode(value) as EncodedWave);
}

/** Decodes one stored record; ignores claims and unknown keys. */
export function decodeFleetRecord(stored: StoredKeyedRecord): DecodedRecord<FleetRecord> {
  return decodeStored(stored, decodeValue);
}
