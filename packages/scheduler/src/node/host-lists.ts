/** Knows the platform's list of hosts: from the fleet's owner, or from the platform where that does not answer. */
import type { HostListing } from '@baobabdeck/scheduling';
import type { WriteEvent } from '@baobabdeck/observability';
import type { HostService } from '../ports/index.js';
import type { SteadyClock } from './steady-clock.js';

/** Time between two looks. */
const LOOK_MILLISECONDS = 400;

/** Age from which on a list of the fleet's owner is too old to find lost workers by. */
const OLD_MILLISECONDS = 1_500;

/** A list of hosts of one pool, and the time by which it was certainly asked for. */
export interface PoolHostList {
  readonly hosts: readonly HostListing[];
  readonly askedAt: number;
}

/** Asks the fleet's owner for the hosts of a pool; null where it does not answer. */
export type AskFleet = (pool: string) => Promise<PoolHostList | null>;

/** What the looks need. */
export interface HostListParts {
  readonly hosts: HostService;
  readonly clock: SteadyClock;
  readonly writeEvent: WriteEvent;
  readonly askFleet: AskFleet;
  /** Pools that this process owns. */
  readonly pools: () => readonly string[];
  readonly onListed: (pool: string, listed: PoolHostList) => void;
}

/** The looks at the list of hosts. */
export interface HostLists {
  /** A worker does not answer: the platform itself is asked if the fleet's owner cannot tell. */
  readonly suspect: () => void;
  readonly close: () => void;
}

/** Begins to look. */
export function followHostLists(parts: HostListParts): HostLists {
  const { clock } = parts;
  let suspected = false;
  let closed = false;

  const lookAtPlatform = async (pools: readonly string[]): Promise<void> => {
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

  const look = async (): Promise<void> => {
    const pools = parts.pools();
    const wasSuspected = suspected;
    suspected = false;
    const untold: string[] = [];
    await Promise.all(
      pools.map(async (pool) => {
        const listed = await parts.askFleet(pool);
        if (listed !== null) parts.onListed(pool, listed);
        if (listed === null || clock.steadyNow() - listed.askedAt > OLD_MILLISECONDS) untold.push(pool);
      }),
    );
    if (wasSuspected && untold.length > 0) await lookAtPlatform(untold);
  };

  const follow = async (): Promise<void> => {
    while (!closed) {
      await look();
      await clock.sleep(LOOK_MILLISECONDS);
    }
  };
  void follow();
  return {
    suspect: () => {
      suspected = true;
    },
    close: () => {
      closed = true;
    },
  };
}
