/** Names the gateway that hands out the slots of each pool. */
import type { FleetState } from '../fold/fold-state.js';
import { PersistentMap } from '../persistent.js';
import { pickByRendezvous } from '../routing/rendezvous.js';

/** The registered gateways. */
export function selectGatewayIds(fleet: FleetState): readonly string[] {
  return [...fleet.members.values()]
    .filter((member) => member.identity.role === 'gateway')
    .map((member) => member.identity.processId)
    .sort();
}

/** The dispatcher of each pool; every process that has folded as far names the same. */
export function assignDispatchers(fleet: FleetState): PersistentMap<string, string> {
  const gateways = selectGatewayIds(fleet);
  return PersistentMap<string, string>().withMutations((map) => {
    for (const pool of fleet.configuration.pools.keys()) {
      const dispatcher = pickByRendezvous(pool, gateways);
      if (dispatcher !== null) map.set(pool, dispatcher);
    }
  });
}
