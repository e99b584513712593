/** Connections to targets, bounded for each target. */
import { Pool } from 'undici';

/** Time after which an idle connection is closed: one that went silent meanwhile is not used again. */
const IDLE_MILLISECONDS = 1_000;

const CONNECT_TIMEOUT_MILLISECONDS = 1_000;

interface LimitedPool {
  readonly limit: number;
  readonly pool: Pool;
}

/** Pools by target address. */
export interface TargetPools {
  readonly poolFor: (address: string, connectionLimit: number) => Pool;
  readonly close: () => Promise<void>;
}

function openPool(address: string, connections: number): Pool {
  return new Pool(`http://${address}`, {
    connections,
    pipelining: 1,
    keepAliveTimeout: IDLE_MILLISECONDS,
    keepAliveMaxTimeout: IDLE_MILLISECONDS,
    connectTimeout: CONNECT_TIMEOUT_MILLISECONDS,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
}

/** Creates the pools of a gateway. */
export function createTargetPools(): TargetPools {
  const pools = new Map<string, LimitedPool>();
  return {
    poolFor: (address, connectionLimit) => {
      const known = pools.get(address);
      if (known?.limit === connectionLimit) return known.pool;
      void known?.pool.close();
      const pool = openPool(address, connectionLimit);
      pools.set(address, { limit: connectionLimit, pool });
      return pool;
    },
    close: async () => {
      await Promise.all([...pools.values()].map(({ pool }) => pool.destroy()));
    },
  };
}
