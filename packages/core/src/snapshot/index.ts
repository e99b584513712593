/** Serialises and restores folded state, for snapshots in the log and for new processes. */
import {
  PersistentList,
  PersistentMap,
  PersistentOrderedMap,
  PersistentOrderedSet,
  PersistentSet,
} from '../persistent.js';
import { emptyFoldState, type FleetState, type HistoryEntry, type KeysState } from '../fold/fold-state.js';

/** Raised if a snapshot has a different shape from the one that this version writes. */
export class SnapshotShapeError extends Error {}

/** Version of the snapshot shape; a process that reads a newer one starts from an older snapshot. */
const SHAPE_VERSION = 1;

type Plain = null | boolean | number | string | readonly Plain[] | { readonly [key: string]: Plain };

const TAG = '$type';

function encode(value: unknown): Plain {
  if (
    value === null ||
    typeof value === 'boolean' ||
    typeof value === 'number' ||
    typeof value === 'string'
  ) {
    return value;
  }
  if (value instanceof Date) return { [TAG]: 'date', milliseconds: value.getTime() };
  if (PersistentOrderedMap.isOrderedMap(value)) return encodeEntries('ordered-map', value);
  if (PersistentMap.isMap(value)) return encodeEntries('map', value);
  if (PersistentOrderedSet.isOrderedSet(value)) {
    return { [TAG]: 'ordered-set', values: [...value].map(encode) };
  }
  if (PersistentSet.isSet(value)) return { [TAG]: 'set', values: [...value].map(encode) };
  if (PersistentList.isList(value)) return { [TAG]: 'list', values: [...value].map(encode) };
  if (Array.isArray(value)) return value.map(encode);
  if (typeof value === 'object') {
    return Object.fromEntries(Object.entries(value).map(([key, member]) => [key, encode(member)]));
  }
  throw new SnapshotShapeError(`A value of type ${typeof value} cannot be part of a snapshot`);
}

function encodeEntries(type: string, entries: Iterable<readonly [unknown, unknown]>): Plain {
  return { [TAG]: type, entries: [...entries].map(([key, member]) => [encode(key), encode(member)]) };
}

function decodeTagged(type: Plain, value: Readonly<Record<string, Plain>>): unknown {
  const entries = Array.isArray(value.entries)
    ? value.entries.map((entry) => decode(entry) as [unknown, unknown])
    : [];
  const values = Array.isArray(value.values) ? value.values.map(decode) : [];
  switch (type) {
    case 'date':
      return new Date(Number(value.milliseconds));
    case 'map':
      return PersistentMap(entries);
    case 'ordered-map':
      return PersistentOrderedMap(entries);
    case 'set':
      return PersistentSet(values);
    case 'ordered-set':
      return PersistentOrderedSet(values);
    case 'list':
      return PersistentList(values);
    default:
      throw new SnapshotShapeError(`Snapshots have no values of type '${JSON.stringify(type)}'`);
  }
}

function decode(value: Plain): unknown {
  if (value === null || typeof value !== 'object') return value;
  if (Array.isArray(value)) return value.map(decode);
  const table = value as Readonly<Record<string, Plain>>;
  const type = table[TAG];
  if (type !== undefined) return decodeTagged(type, table);
  return Object.fromEntries(Object.entries(table).map(([key, member]) => [key, decode(member)]));
}

function write(state: unknown): string {
  return JSON.stringify({ shape: SHAPE_VERSION, state: encode(state) });
}

function read(text: string): unknown {
  const { shape, state } = JSON.parse(text) as { readonly shape: number; readonly state: Plain };
  if (shape !== SHAPE_VERSION) {
    throw new SnapshotShapeError(`Expected a snapshot of shape ${SHAPE_VERSION}, found ${shape}`);
  }
  return decode(state);
}

/** Serialises the fleet state as JSON. */
export function snapshotFleet(fleet: FleetState): string {
  return write(fleet);
}

/** Restores the fleet state that `snapshotFleet` wrote. Throws SnapshotShapeError for another shape. */
export function restoreFleet(text: string): FleetState {
  const empty = emptyFoldState().fleet;
  const stored = read(text) as FleetState;
  // Snapshots of earlier versions lack the kinds of sections that were added since.
  const configuration = { ...empty.configuration, ...stored.configuration };
  const fleet = { ...empty, ...stored, configuration };
  const history = fleet.history.map((entries) => PersistentList<HistoryEntry>(entries));
  return { ...fleet, history };
}

/** Serialises the keys state as JSON. */
export function snapshotKeys(keys: KeysState): string {
  return write(keys);
}

/** Restores the keys state that `snapshotKeys` wrote. Throws SnapshotShapeError for another shape. */
export function restoreKeys(text: string): KeysState {
  return { ...emptyFoldState().keys, ...(read(text) as KeysState) };
}
