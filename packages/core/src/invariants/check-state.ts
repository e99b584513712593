/** Checks the state after a step. Only the changed parts are checked, so the cost does not grow with the state. */
import { freeSlotsOf } from '../dispatch/host-load.js';
import type { PoolDispatch } from '../dispatch/dispatch-state.js';
import type { FleetState, PoolState } from '../fold/fold-state.js';
import { isAbsent, isPlannedAbsence } from '../fold/set-host.js';
import type { State } from '../state.js';
import type { InvariantFault } from './fault.js';

function checkOffsets(before: State, after: State): readonly InvariantFault[] {
  const faults: InvariantFault[] = [];
  if (
    after.fold.fleet.nextOffset < before.fold.fleet.nextOffset ||
    after.fold.keys.nextOffset < before.fold.keys.nextOffset
  ) {
    faults.push({
      invariant: 'offsets-never-step-back',
      detail: `fleet ${after.fold.fleet.nextOffset}, keys ${after.fold.keys.nextOffset}`,
    });
  }
  const old = before.fold.fleet.configuration;
  const now = after.fold.fleet.configuration;
  if (now.version < old.version || now.offset < old.offset) {
    faults.push({
      invariant: 'configuration-never-reverts',
      detail: `version ${old.version} became ${now.version}`,
    });
  }
  return faults;
}

/** Checks that a new planned absence does not raise all absences of a pool above its budget. */
function checkBudget(
  before: FleetState,
  after: FleetState,
  pool: string,
  view: PoolState,
): readonly InvariantFault[] {
  const maximum = after.configuration.pools.get(pool)?.maximumAbsentHosts ?? 0;
  const planned = view.absentHostIds.count((hostId) => {
    const host = after.hosts.get(hostId);
    return host !== undefined && isPlannedAbsence(host);
  });
  const earlier = before.pools.get(pool);
  const plannedBefore = earlier?.absentHostIds.count((hostId) => {
    const host = before.hosts.get(hostId);
    return host !== undefined && isPlannedAbsence(host);
  });
  const newPermit = planned > (plannedBefore ?? 0);
  const grew = view.absentHostIds.size > (earlier?.absentHostIds.size ?? 0);
  const exceeded = newPermit && grew && view.absentHostIds.size > maximum;
  return exceeded
    ? [
        {
          invariant: 'pool-within-budget',
          detail: `${pool}: ${view.absentHostIds.size} absent of ${maximum}`,
        },
      ]
    : [];
}

function checkPoolSets(
  fleet: FleetState,
  pool: string,
  view: PoolState,
  hostIds: Iterable<string>,
): readonly InvariantFault[] {
  const faults: InvariantFault[] = [];
  for (const hostId of hostIds) {
    const host = fleet.hosts.get(hostId);
    const belongs = host?.pool === pool;
    if (belongs !== view.hostIds.has(hostId)) {
      faults.push({ invariant: 'host-in-one-pool', detail: `${hostId} and ${pool}` });
    }
    const absent = host !== undefined && belongs && isAbsent(host);
    if (absent !== view.absentHostIds.has(hostId)) {
      faults.push({ invariant: 'host-index-agrees', detail: `${hostId} and ${pool}` });
    }
  }
  return faults;
}

function changedHostIds(before: PoolState | undefined, after: PoolState): ReadonlySet<string> {
  const earlier = before?.hostIds ?? after.hostIds.clear();
  const earlierAbsent = before?.absentHostIds ?? after.hostIds.clear();
  const moved = [...after.hostIds.subtract(earlier), ...earlier.subtract(after.hostIds)];
  const changed = [
    ...after.absentHostIds.subtract(earlierAbsent),
    ...earlierAbsent.subtract(after.absentHostIds),
  ];
  return new Set([...moved, ...changed]);
}

function checkPools(before: FleetState, after: FleetState): readonly InvariantFault[] {
  if (before.pools === after.pools) return [];
  const faults: InvariantFault[] = [];
  for (const [pool, view] of after.pools) {
    const earlier = before.pools.get(pool);
    if (earlier === view) continue;
    faults.push(...checkPoolSets(after, pool, view, changedHostIds(earlier, view)));
    if (earlier?.absentHostIds !== view.absentHostIds) faults.push(...checkBudget(before, after, pool, view));
  }
  return faults;
}

function checkDispatchTotals(
  before: PoolDispatch | undefined,
  after: PoolDispatch,
): readonly InvariantFault[] {
  const negative =
    after.freeSlots < 0 || after.longBusySlots < 0 || after.unsettledCount < 0 || after.ejectedCount < 0;
  if (!negative) return [];
  return [
    {
      invariant: 'slot-index-agrees',
      detail: `${after.pool}: ${after.freeSlots} free, before ${before?.freeSlots ?? 0}`,
    },
  ];
}

function checkDispatch(before: State, after: State): readonly InvariantFault[] {
  if (before.dispatch === after.dispatch) return [];
  const faults: InvariantFault[] = [];
  for (const [pool, view] of after.dispatch) {
    const earlier = before.dispatch.get(pool);
    if (earlier === view) continue;
    faults.push(...checkDispatchTotals(earlier, view));
  }
  return faults;
}

/** Returns the violations that one record caused in the fleet. */
export function findFoldFaults(before: FleetState, after: FleetState): readonly InvariantFault[] {
  return checkPools(before, after);
}

/** Returns the violations that a step caused, except those of its records. */
export function findTransitionFaults(before: State, after: State): readonly InvariantFault[] {
  return [...checkOffsets(before, after), ...checkDispatch(before, after)];
}

/** Returns the violations in a whole state by recomputing every index; for tests and occasional checks. */
export function findStateFaults(state: State): readonly InvariantFault[] {
  const faults: InvariantFault[] = [];
  const { fleet } = state.fold;
  for (const [pool, view] of fleet.pools) {
    faults.push(...checkPoolSets(fleet, pool, view, fleet.hosts.keys()));
  }
  for (const view of state.dispatch.values()) {
    const free = view.hosts.reduce((sum, load) => sum + freeSlotsOf(load), 0);
    const busy = view.hosts.reduce((sum, load) => sum + load.busySlots, 0);
    const held = view.grants.count((grant) => view.hosts.has(grant.hostId));
    if (free !== view.freeSlots) {
      faults.push({
        invariant: 'slot-index-agrees',
        detail: `${view.pool}: ${free} free, index ${view.freeSlots}`,
      });
    }
    if (busy !== held) {
      faults.push({ invariant: 'slot-index-agrees', detail: `${view.pool}: ${busy} busy, ${held} granted` });
    }
  }
  return faults;
}
