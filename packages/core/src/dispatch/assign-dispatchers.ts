/** Assigns each pool to the gateway that dispatches it. */
import type { FleetState } from '../fold/fold-state.js';
import { PersistentMap } from '../persistent.js';
import { pickByRendezvous } from '../routing/rendezvous.js';

/** Returns the process ids of the registered gateways, sorted. */
export function selectGatewayIds(fleet: FleetState): readonly string[] {
  return [...fleet.members.values()]
    .filter((member) => member.identity.role === 'gateway')
    .map((member) => member.identity.processId)
    .sort();
}

/**
 * Returns the dispatcher of each pool. Every process that has folded the log to the same offset gets the same
 * result.
 */
export function assignDispatchers(fleet: FleetState): PersistentMap<string, string> {
  const gateways = selectGatewayIds(fleet);
  return PersistentMap<string, string>().withMutations((map) => {
    for (const pool of fleet.configuration.pools.keys()) {
      const dispatcher = pickByRendezvous(pool, gateways);
      if (dispatcher !== null) map.set(pool, dispatcher);
    }
  });
}
