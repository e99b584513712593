/** Restores the initial state of a process from the newest complete snapshot and the records after it. */
import { setTimeout as sleep } from 'node:timers/promises';
import { emptyFoldState, type FoldState } from '@baobabdeck/core';
import { succeed, type Result } from '@baobabdeck/errors';
import { readFleet, readKeys } from '@baobabdeck/fold-reader';
import type { WriteEvent } from '@baobabdeck/observability';
import type { Platform } from '@baobabdeck/platform';

const RETRY_PAUSE_MILLISECONDS = 500;

async function readBoth(platform: Platform): Promise<Result<FoldState>> {
  const fleet = await readFleet(platform);
  if (!fleet.ok) return fleet;
  const keys = await readKeys(platform);
  if (!keys.ok) return keys;
  return succeed({ fleet: fleet.value, keys: keys.value });
}

/** Restores the fold; retries until the log can be read without a gap. Returns an empty fold once `isClosed` is true. */
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
