/** Looks at the platform's list of hosts when someone needs it, not more often than it helps. */
import { setTimeout as sleep } from 'node:timers/promises';
import type { HostListing } from '@baobabdeck/scheduling';
import type { WriteEvent } from '@baobabdeck/observability';
import type { HostService } from '../ports/index.js';
import type { SteadyClock } from './steady-clock.js';

/** Shortest time between two looks. */
const LOOK_MILLISECONDS = 300;

/** The list of hosts, on demand. */
export interface HostLists {
  /** Asks for a look that begins after now. */
  readonly ask: () => void;
}

/** Creates the looks; `onListed` gets each list with the time at which it was asked for. */
export function createHostLists(
  hosts: HostService,
  clock: SteadyClock,
  writeEvent: WriteEvent,
  onListed: (hosts: readonly HostListing[], askedAt: number) => void,
): HostLists {
  let wanted = false;
  let running = false;

  const run = async (): Promise<void> => {
    running = true;
    while (wanted) {
      wanted = false;
      const askedAt = clock.steadyNow();
      const outcome = await hosts.list();
      if (outcome.kind === 'listed') onListed(outcome.hosts, askedAt);
      else writeEvent('hostListFailed', { detail: outcome.detail });
      await sleep(LOOK_MILLISECONDS);
    }
    running = false;
  };

  return {
    ask: () => {
      wanted = true;
      if (!running) void run();
    },
  };
}
