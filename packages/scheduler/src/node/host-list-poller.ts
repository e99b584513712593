/** Polls the host list from the fleet owner, or from the platform if the fleet owner does not answer. */
import type { HostListing } from '@baobabdeck/scheduling';
import type { WriteEvent } from '@baobabdeck/observability';
import type { HostService } from '../ports/index.js';
import type { SteadyClock } from './steady-clock.js';
import type { BackgroundWork } from '../unexpected-errors/background-work.js';

/** Time between two polls. */
const POLL_INTERVAL_MILLISECONDS = 400;

/** Age above which the fleet owner's list is too old to detect lost workers. */
const STALE_MILLISECONDS = 1_500;

/** The hosts of one pool; `askedAt` is the earliest time at which the list can have been requested, on the steady clock. */
export interface PoolHostList {
  readonly hosts: readonly HostListing[];
  readonly askedAt: number;
}

/** Requests the hosts of a pool from the fleet owner; null if it does not answer. */
export type RequestHostList = (pool: string) => Promise<PoolHostList | null>;

/** Dependencies of the poller. */
export interface HostListPollerParts {
  readonly hosts: HostService;
  readonly clock: SteadyClock;
  readonly background: BackgroundWork;
  readonly writeEvent: WriteEvent;
  readonly requestFromFleetOwner: RequestHostList;
  /** Pools that this process owns. */
  readonly pools: () => readonly string[];
  readonly onListed: (pool: string, listed: PoolHostList) => void;
}

/** Polls the host list. */
export interface HostListPoller {
  /** Reports that a worker does not answer: the next poll reads the platform's list if the fleet owner has no current one. */
  readonly reportSuspectWorker: () => void;
  readonly close: () => void;
}

/** Starts to poll. */
export function pollHostLists(parts: HostListPollerParts): HostListPoller {
  const { clock } = parts;
  let isWorkerSuspected = false;
  let closed = false;

  const readPlatformList = async (pools: readonly string[]): Promise<void> => {
    const askedAt = clock.steadyNow();
    const outcome = await parts.hosts.list();
    if (outcome.kind === 'failed') {
      parts.writeEvent('hostListFailed', { detail: outcome.detail });
      return;
    }
    pools.forEach((pool) =>
      parts.onListed(pool, { hosts: outcome.hosts.filter((host) => host.pool === pool), askedAt }),
    );
  };

  const pollOnce = async (): Promise<void> => {
    const pools = parts.pools();
    const wasWorkerSuspected = isWorkerSuspected;
    isWorkerSuspected = false;
    const stalePools: string[] = [];
    await Promise.all(
      pools.map(async (pool) => {
        const listed = await parts.requestFromFleetOwner(pool);
        if (listed !== null) parts.onListed(pool, listed);
        if (listed === null || clock.steadyNow() - listed.askedAt > STALE_MILLISECONDS) stalePools.push(pool);
      }),
    );
    if (wasWorkerSuspected && stalePools.length > 0) await readPlatformList(stalePools);
  };

  const poll = async (): Promise<void> => {
    await pollOnce();
    await clock.sleep(POLL_INTERVAL_MILLISECONDS);
  };
  parts.background.repeat('poll-host-list', () => !closed, poll);
  return {
    reportSuspectWorker: () => {
      isWorkerSuspected = true;
    },
    close: () => {
      closed = true;
    },
  };
}
