/** Rebuilds state from the log: restores the newest complete snapshot and applies the records after it. */
import {
  emptyFoldState,
  foldFleetRecord,
  foldKeysRecord,
  restoreFleet,
  restoreKeys,
  type FleetState,
  type KeysState,
} from '@baobabdeck/core';
import { succeed, type Result } from '@baobabdeck/errors';
import { readWholeStream, type Platform } from '@baobabdeck/platform';
import type { StoredRecord, StreamName } from '@baobabdeck/types';

/** Functions that rebuild the state of one log stream. */
interface StreamFold<S> {
  readonly stream: StreamName;
  readonly empty: S;
  readonly restore: (text: string) => S;
  readonly fold: (state: S, stored: StoredRecord) => S;
}

async function readState<S>(
  platform: Platform,
  { stream, empty, restore, fold }: StreamFold<S>,
): Promise<Result<S>> {
  const contents = await readWholeStream(platform, stream);
  if (!contents.ok) return contents;
  const { snapshot, records } = contents.value;
  const start = snapshot === null ? empty : restore(snapshot.text);
  return succeed(records.reduce(fold, start));
}

/** Reads the current fleet state from the log. Fails if the stream cannot be read. */
export function readFleet(platform: Platform): Promise<Result<FleetState>> {
  return readState(platform, {
    stream: 'fleet',
    empty: emptyFoldState().fleet,
    restore: restoreFleet,
    fold: (fleet, stored) => foldFleetRecord(fleet, stored).fleet,
  });
}

/** Reads the current state of the idempotency keys from the log. Fails if the stream cannot be read. */
export function readKeys(platform: Platform): Promise<Result<KeysState>> {
  return readState(platform, {
    stream: 'keys',
    empty: emptyFoldState().keys,
    restore: restoreKeys,
    fold: (keys, stored) => foldKeysRecord(keys, stored).keys,
  });
}
