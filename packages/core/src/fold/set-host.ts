/** Changes hosts. All changes go through this module, so that the pools' host sets stay consistent. */
import { PersistentSet } from '../persistent.js';
import type { FleetState, Host, PoolState } from './fold-state.js';

/** Returns whether a host counts against its pool's budget. */
export function isAbsent(host: Host): boolean {
  return host.duty.kind !== 'in-service' || host.presence !== 'live' || host.retired;
}

/** Returns whether a host was taken out of service by a drain, not by a failure. */
export function isPlannedAbsence(host: Host): boolean {
  return host.duty.kind !== 'in-service';
}

/** Returns the state of a pool without hosts. */
export function emptyPoolState(): PoolState {
  return { hostIds: PersistentSet(), absentHostIds: PersistentSet(), control: null };
}

function updatePool(fleet: FleetState, pool: string, change: (state: PoolState) => PoolState): FleetState {
  const state = fleet.pools.get(pool) ?? emptyPoolState();
  return { ...fleet, pools: fleet.pools.set(pool, change(state)) };
}

function leavePool(fleet: FleetState, host: Host): FleetState {
  return updatePool(fleet, host.pool, (state) => ({
    ...state,
    hostIds: state.hostIds.remove(host.hostId),
    absentHostIds: state.absentHostIds.remove(host.hostId),
  }));
}

function joinPool(fleet: FleetState, host: Host): FleetState {
  return updatePool(fleet, host.pool, (state) => ({
    ...state,
    hostIds: state.hostIds.add(host.hostId),
    absentHostIds: isAbsent(host)
      ? state.absentHostIds.add(host.hostId)
      : state.absentHostIds.remove(host.hostId),
  }));
}

/** Returns the fleet with a host added or replaced. */
export function setHost(fleet: FleetState, host: Host): FleetState {
  const earlier = fleet.hosts.get(host.hostId);
  const left = earlier !== undefined && earlier.pool !== host.pool ? leavePool(fleet, earlier) : fleet;
  const joined = joinPool(left, host);
  return { ...joined, hosts: joined.hosts.set(host.hostId, host) };
}

/** Returns the fleet without a host. */
export function removeHost(fleet: FleetState, hostId: string): FleetState {
  const host = fleet.hosts.get(hostId);
  if (host === undefined) return fleet;
  const left = leavePool(fleet, host);
  return { ...left, hosts: left.hosts.remove(hostId) };
}
