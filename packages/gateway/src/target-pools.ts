/** Connection pools for targets, with a connection limit for each target. */
import { Pool } from 'undici';

/** Idle connections are closed after this time, so that one whose peer has gone silent is not reused. */
const IDLE_TIMEOUT_MILLISECONDS = 1_000;

const CONNECT_TIMEOUT_MILLISECONDS = 1_000;

interface LimitedPool {
  readonly limit: number;
  readonly pool: Pool;
}

/** Connection pools by target address. */
export interface TargetPools {
  /** Returns the pool of a target. A changed connection limit replaces the pool. */
  readonly poolFor: (address: string, connectionLimit: number) => Pool;
  /** Destroys all pools and aborts the requests in progress on them. */
  readonly close: () => Promise<void>;
}

function openPool(address: string, connections: number): Pool {
  return new Pool(`http://${address}`, {
    connections,
    pipelining: 1,
    keepAliveTimeout: IDLE_TIMEOUT_MILLISECONDS,
    keepAliveMaxTimeout: IDLE_TIMEOUT_MILLISECONDS,
    connectTimeout: CONNECT_TIMEOUT_MILLISECONDS,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
}

/** Creates the connection pools of a gateway. */
export function createTargetPools(): TargetPools {
  const pools = new Map<string, LimitedPool>();
  return {
    poolFor: (address, connectionLimit) => {
      const existing = pools.get(address);
      if (existing?.limit === connectionLimit) return existing.pool;
      void existing?.pool.close();
      const pool = openPool(address, connectionLimit);
      pools.set(address, { limit: connectionLimit, pool });
      return pool;
    },
    close: async () => {
      await Promise.all([...pools.values()].map(({ pool }) => pool.destroy()));
    },
  };
}
