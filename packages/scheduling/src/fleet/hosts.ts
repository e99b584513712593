/** Applies the platform's list of hosts: settles completed orders and removes hosts that are gone. */
import type { FleetEventOf, FleetStep } from './event.js';
import { addRecord, describeOrder, setHost } from './orders.js';
import type { FleetState, HostState } from './state.js';
import { updateFleet, updateHost } from './update.js';

function newHost(state: FleetState, listing: HostState['listing']): HostState {
  const cooldownUntil = state.inheritedCooldowns.get(listing.hostId) ?? 0;
  return { listing, order: null, requestedAction: null, cooldownUntil, orderedAt: null };
}

/** Returns whether an accepted order is completed: a list requested after its acceptance shows the host up or down. */
function isOrderCompleted(host: HostState, askedAt: number): boolean {
  const { order, listing } = host;
  if (order?.phase !== 'accepted' || order.acceptedAt === null || askedAt <= order.acceptedAt) return false;
  return listing.state === 'up' || listing.state === 'down';
}

/** Applies a list of hosts; ignores it if it was requested before the newest known list. */
export function* handleFleetHostsListed(
  state: FleetState,
  { hosts, askedAt }: FleetEventOf<'hosts-listed'>,
): FleetStep<FleetState> {
  if (state.listedAt !== null && askedAt <= state.listedAt) return state;
  const listedIds = new Set(hosts.map((listing) => listing.hostId));
  // A host that is no longer listed has left the platform permanently.
  let next: FleetState = updateFleet(state, {
    listedAt: askedAt,
    hosts: state.hosts.filter((_, hostId) => listedIds.has(hostId)),
  });
  for (const listing of hosts) {
    const known = next.hosts.get(listing.hostId) ?? newHost(state, listing);
    const host: HostState = updateHost(known, { listing });
    if (isOrderCompleted(host, askedAt) && host.order !== null) {
      const { hostId, pool, workerId } = listing;
      yield {
        kind: 'log',
        decision: 'hostBack',
        fields: { hostId, pool, workerId, order: describeOrder(host.order.what) },
      };
      next = addRecord(setHost(next, updateHost(host, { order: null })), { kind: 'host-settled', hostId });
    } else {
      next = setHost(next, host);
    }
  }
  return next;
}
