/** Counts the resources that jobs take of hosts and of teams' quotas. */
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

/** The fleet with a job's resources taken (`1`) or given back (`-1`). */
export function changeAllocation(
  fleet: FleetState,
  job: JobRequest,
  hostId: string,
  sign: 1 | -1,
): FleetState {
  const ofHost = add(fleet.hostAllocations.get(hostId) ?? NOTHING, job, sign);
  const ofTeam = add(fleet.teamAllocations.get(job.team) ?? NOTHING, job, sign);
  return {
    ...fleet,
    hostAllocations: fleet.hostAllocations.set(hostId, ofHost),
    teamAllocations: fleet.teamAllocations.set(job.team, ofTeam),
  };
}

/** Whether a host's hardware could hold a job if nothing else ran there. */
export function canEverHold(fleet: FleetState, host: Host, job: JobRequest): boolean {
  const hardware = fleet.configuration.hardware.get(host.hardware);
  if (hardware === undefined) return false;
  return (
    job.cores <= hardware.cores &&
    job.accelerators <= hardware.accelerators &&
    job.memoryGigabytes <= hardware.memoryGigabytes
  );
}

/** Whether a host has room for a job now. */
export function hasRoom(fleet: FleetState, host: Host, job: JobRequest): boolean {
  const taken = add(fleet.hostAllocations.get(host.hostId) ?? NOTHING, job, 1);
  const hardware = fleet.configuration.hardware.get(host.hardware);
  if (hardware === undefined) return false;
  return (
    taken.cores <= hardware.cores &&
    taken.accelerators <= hardware.accelerators &&
    taken.memoryGigabytes <= hardware.memoryGigabytes
  );
}

/** Whether a team's quota has room for a job now. */
export function hasQuota(fleet: FleetState, job: JobRequest): boolean {
  const team = fleet.configuration.teams.get(job.team);
  if (team === undefined) return false;
  const taken = add(fleet.teamAllocations.get(job.team) ?? NOTHING, job, 1);
  return taken.cores <= team.coresQuota && taken.accelerators <= team.acceleratorsQuota;
}
