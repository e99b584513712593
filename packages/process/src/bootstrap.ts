/** The state that a new process starts from: the newest whole snapshot, and the records behind it. */
import { setTimeout as sleep } from 'node:timers/promises';
import {
  emptyFoldState,
  foldFleetRecord,
  foldKeysRecord,
  restoreFleet,
  restoreKeys,
  type FleetState,
  type FoldState,
  type KeysState,
} from '@baobabdeck/core';
import { succeed, type Result } from '@baobabdeck/errors';
import type { WriteEvent } from '@baobabdeck/observability';
import { readWholeStream, type Platform } from '@baobabdeck/platform';

const RETRY_PAUSE_MILLISECONDS = 500;

/** Folds everything that the stream `fleet` keeps. */
export async function readFleet(platform: Platform): Promise<Result<FleetState>> {
  const contents = await readWholeStream(platform, 'fleet');
  if (!contents.ok) return contents;
  const { snapshot, records } = contents.value;
  const start = snapshot === null ? emptyFoldState().fleet : restoreFleet(snapshot.text);
  return succeed(records.reduce((fleet: FleetState, stored) => foldFleetRecord(fleet, stored).fleet, start));
}

/** Folds everything that the stream `keys` keeps. */
export async function readKeys(platform: Platform): Promise<Result<KeysState>> {
  const contents = await readWholeStream(platform, 'keys');
  if (!contents.ok) return contents;
  const { snapshot, records } = contents.value;
  const start = snapshot === null ? emptyFoldState().keys : restoreKeys(snapshot.text);
  return succeed(records.reduce((keys: KeysState, stored) => foldKeysRecord(keys, stored).keys, start));
}

async function readBoth(platform: Platform): Promise<Result<FoldState>> {
  const fleet = await readFleet(platform);
  if (!fleet.ok) return fleet;
  const keys = await readKeys(platform);
  if (!keys.ok) return keys;
  return succeed({ fleet: fleet.value, keys: keys.value });
}

/** Restores the fold, trying until the log can be read. A log with a gap is no log to start from. */
export async function restoreFold(
  platform: Platform,
  writeEvent: WriteEvent,
  isClosed: () => boolean,
): Promise<FoldState> {
  for (;;) {
    const fold = await readBoth(platform);
    if (fold.ok) {
      writeEvent('bootstrapped', {
        fleetOffset: fold.value.fleet.nextOffset,
        keysOffset: fold.value.keys.nextOffset,
      });
      return fold.value;
    }
    if (isClosed()) return emptyFoldState();
    writeEvent(fold.failure.kind === 'logGap' ? 'recordGap' : 'logUnreachable', {
      detail: fold.failure.detail,
    });
    await sleep(RETRY_PAUSE_MILLISECONDS);
  }
}
