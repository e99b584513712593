/** Tracks the resources that jobs use of hosts and of team quotas. */
import type { JobRequest } from '@baobabdeck/types';
import type { Allocation, FleetState, Host } from './fold-state.js';

const NOTHING: Allocation = { cores: 0, accelerators: 0, memoryGigabytes: 0 };

function add(allocation: Allocation, job: JobRequest, sign: 1 | -1): Allocation {
  return {
    cores: allocation.cores + sign * job.cores,
    accelerators: allocation.accelerators + sign * job.accelerators,
    memoryGigabytes: allocation.memoryGigabytes + sign * job.memoryGigabytes,
  };
}

/** Returns the fleet with a job's resources allocated (`1`) or released (`-1`). */
export function changeAllocation(
  fleet: FleetState,
  job: JobRequest,
  hostId: string,
  sign: 1 | -1,
): FleetState {
  const hostAllocation = add(fleet.hostAllocations.get(hostId) ?? NOTHING, job, sign);
  const teamAllocation = add(fleet.teamAllocations.get(job.team) ?? NOTHING, job, sign);
  return {
    ...fleet,
    hostAllocations: fleet.hostAllocations.set(hostId, hostAllocation),
    teamAllocations: fleet.teamAllocations.set(job.team, teamAllocation),
  };
}

/** Returns whether a host's hardware is large enough for a job if nothing else runs on it. */
export function canEverHold(fleet: FleetState, host: Host, job: JobRequest): boolean {
  const hardware = fleet.configuration.hardware.get(host.hardware);
  if (hardware === undefined) return false;
  return (
    job.cores <= hardware.cores &&
    job.accelerators <= hardware.accelerators &&
    job.memoryGigabytes <= hardware.memoryGigabytes
  );
}

/** Returns whether a host has enough free capacity for a job now. */
export function hasCapacity(fleet: FleetState, host: Host, job: JobRequest): boolean {
  const taken = add(fleet.hostAllocations.get(host.hostId) ?? NOTHING, job, 1);
  const hardware = fleet.configuration.hardware.get(host.hardware);
  if (hardware === undefined) return false;
  return (
    taken.cores <= hardware.cores &&
    taken.accelerators <= hardware.accelerators &&
    taken.memoryGigabytes <= hardware.memoryGigabytes
  );
}

/** Returns whether a team's remaining quota is enough for a job now. */
export function hasQuota(fleet: FleetState, job: JobRequest): boolean {
  const team = fleet.configuration.teams.get(job.team);
  if (team === undefined) return false;
  const taken = add(fleet.teamAllocations.get(job.team) ?? NOTHING, job, 1);
  return taken.cores <= team.coresQuota && taken.accelerators <= team.acceleratorsQuota;
}
