/** Detects requests that no target of a pool can ever serve. */
import type { CapabilityNeed } from '@baobabdeck/types';
import type { FleetState } from '../fold/fold-state.js';
import { meetsAll } from './needs.js';

/**
 * Returns whether a configured host of the pool meets the needs, in service or not: a draining or failed host
 * may come back, so the request waits for it until its deadline.
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
