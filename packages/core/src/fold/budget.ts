/** Decides whether a pool's availability budget allows one more drain. */
import { failureOf, type Failure } from '@baobabdeck/errors';
import type { FleetState, Host } from './fold-state.js';
import { isAbsent } from './set-host.js';

/** Age of the host list beyond which no drain is permitted. */
export const MAXIMUM_HOST_LIST_AGE_MILLISECONDS = 15_000;

/** Use of a pool's availability budget, in hosts. */
export interface BudgetUse {
  readonly hosts: number;
  readonly absent: number;
  readonly maximumAbsent: number;
  /** Number of hosts that planned work may still take out of service. */
  readonly room: number;
}

/** Returns the use of a pool's budget; a pool without configuration allows no drain. */
export function selectBudgetUse(fleet: FleetState, pool: string): BudgetUse {
  const state = fleet.pools.get(pool);
  const section = fleet.configuration.pools.get(pool);
  const hosts = state?.hostIds.size ?? 0;
  const absent = state?.absentHostIds.size ?? 0;
  const maximumAbsent = section?.maximumAbsentHosts ?? 0;
  const reserve = section?.failureReserveHosts ?? 0;
  return { hosts, absent, maximumAbsent, room: Math.max(0, maximumAbsent - reserve - absent) };
}

function countAbsentInRack(fleet: FleetState, host: Host): number {
  const entries = fleet.configuration.racks.get(host.rack)?.hosts ?? [];
  return entries.filter((entry) => {
    const other = fleet.hosts.get(entry.id);
    return other !== undefined && other.pool === host.pool && isAbsent(other);
  }).length;
}

/** Returns the reason why a host may not be taken out of service now, or null if it may. */
export function findDrainObstacle(
  fleet: FleetState,
  host: Host,
  hostListAgeMilliseconds: number,
): Failure | null {
  if (host.duty.kind !== 'in-service') {
    return failureOf('hostNotInService', `Host '${host.hostId}' is ${host.duty.kind}`);
  }
  if (hostListAgeMilliseconds > MAXIMUM_HOST_LIST_AGE_MILLISECONDS) {
    return failureOf(
      'hostListTooOld',
      `Expected a host list of at most ${MAXIMUM_HOST_LIST_AGE_MILLISECONDS} ms, found ${hostListAgeMilliseconds} ms; wait until the platform answers`,
    );
  }
  // An absent host already counts against the budget, so draining it uses no more of it.
  if (isAbsent(host)) return null;
  const use = selectBudgetUse(fleet, host.pool);
  if (use.room < 1) {
    return failureOf(
      'budgetExhausted',
      `Pool '${host.pool}' has ${use.absent} absent hosts and may have ${use.maximumAbsent}, its failure reserve included; wait for a host to return`,
    );
  }
  const perRack = fleet.configuration.pools.get(host.pool)?.maximumDrainedPerRack ?? 0;
  const inRack = countAbsentInRack(fleet, host);
  if (inRack >= perRack) {
    return failureOf(
      'rackBudgetExhausted',
      `Rack '${host.rack}' has ${inRack} absent hosts and planned work may take ${perRack}`,
    );
  }
  return null;
}
