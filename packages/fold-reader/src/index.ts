/** Folds what the streams of the log keep: the newest whole snapshot and the records behind it. */
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

interface StreamFold<S> {
  readonly stream: StreamName;
  readonly empty: S;
  readonly restore: (text: string) => S;
  readonly fold: (state: S, stored: StoredRecord) => S;
}

async function readFold<S>(
  platform: Platform,
  { stream, empty, restore, fold }: StreamFold<S>,
): Promise<Result<S>> {
  const contents = await readWholeStream(platform, stream);
  if (!contents.ok) return contents;
  const { snapshot, records } = contents.value;
  const start = snapshot === null ? empty : restore(snapshot.text);
  return succeed(records.reduce(fold, start));
}

/** The fleet as the log has it now. */
export function readFleet(platform: Platform): Promise<Result<FleetState>> {
  return readFold(platform, {
    stream: 'fleet',
    empty: emptyFoldState().fleet,
    restore: restoreFleet,
    fold: (fleet, stored) => foldFleetRecord(fleet, stored).fleet,
  });
}

/** The keys as the log has them now. */
export function readKeys(platform: Platform): Promise<Result<KeysState>> {
  return readFold(platform, {
    stream: 'keys',
    empty: emptyFoldState().keys,
    restore: restoreKeys,
    fold: (keys, stored) => foldKeysRecord(keys, stored).keys,
  });
}
