/** Tells a request that no target can ever serve from one that has to wait. */
import type { CapabilityNeed } from '@baobabdeck/types';
import type { FleetState } from '../fold/fold-state.js';
import { meetsAll } from './needs.js';

/**
 * Whether some configured host of the pool has what is needed, in service or not: a host that
 * drains or fails comes back, so the request waits for it within its deadline.
 */
export function canEverServe(fleet: FleetState, pool: string, needs: readonly CapabilityNeed[]): boolean {
  const { hardware } = fleet.configuration;
  const hostIds = fleet.pools.get(pool)?.hostIds;
  if (hostIds === undefined || hostIds.size === 0) return false;
  if (needs.length === 0) return true;
  const suitable = hardware.filter((section) => meetsAll(section, needs));
  if (suitable.size === 0) return false;
  return hostIds.some((hostId) => suitable.has(fleet.hosts.get(hostId)?.hardware ?? ''));
}
