/** Test harness that dispatches events to the scheduler of the fleet and answers its appends. */
import { runSteps } from '@baobabdeck/types';
import type { FleetEffect, FleetEvent, HostOrderOutcome } from '../fleet/event.js';
import { reduceFleet, restoreFleet } from '../fleet/reduce.js';
import type { FleetRecord, FleetState } from '../fleet/state.js';
import type { HostListing } from '../model/worker.js';
import type { HostLoad, ServiceReport } from '../model/service-report.js';

type Body = FleetEvent extends infer E ? (E extends FleetEvent ? Omit<E, 'at' | 'timeOfDay'> : never) : never;
type EffectOf<K extends FleetEffect['kind']> = Extract<FleetEffect, { readonly kind: K }>;

/** Time of day at which a harness starts. */
export const DAY = new Date('2026-01-01T00:00:00Z').getTime();
const CLAIMED_AT = 1_000_000;
/** Processor of each host. */
export const HOST_MILLI_CORES = 10_000;

export function hostOf(hostId: string, pool: string, fields: Partial<HostListing> = {}): HostListing {
  return {
    hostId,
    pool,
    state: 'up',
    dataCentre: 'west',
    rack: 'r1',
    capacity: { milliCores: HOST_MILLI_CORES, memoryMegabytes: 1_000, accelerators: 0 },
    workerId: pool === 'spare' ? null : `worker-of-${hostId}`,
    ...fields,
  };
}

export function loadOf(hostId: string, fields: Partial<HostLoad> = {}): HostLoad {
  return {
    hostId,
    workerId: `worker-of-${hostId}`,
    committedMilliCores: 0,
    taskCount: 0,
    lastingCount: 0,
    isSound: true,
    release: null,
    ...fields,
  };
}

export function reportOf(hosts: readonly HostLoad[], fields: Partial<ServiceReport> = {}): ServiceReport {
  return {
    service: 'quotes',
    hosts,
    waitingMilliCores: 0,
    lastingMilliCores: 0,
    offeredMilliCores: 0,
    leastHosts: 0,
    missingHosts: 0,
    workspaces: [],
    grants: { ownerEpoch: 1, epoch: 1, sequence: 0, provenSequence: 0 },
    ...fields,
  };
}

/** Scheduler of the fleet under test, with a manual clock. */
export interface FleetHarness {
  readonly state: () => FleetState;
  readonly dispatch: (body: Body) => readonly FleetEffect[];
  readonly advance: (milliseconds: number) => readonly FleetEffect[];
  readonly list: (...hosts: readonly HostListing[]) => readonly FleetEffect[];
  readonly settle: (order: EffectOf<'order-host'>, outcome: HostOrderOutcome) => readonly FleetEffect[];
}

export function ordersOf(effects: readonly FleetEffect[]): readonly EffectOf<'order-host'>[] {
  return effects.filter((effect): effect is EffectOf<'order-host'> => effect.kind === 'order-host');
}

/** Creates a fleet with some pools and a standby pool `spare`; appends are answered at once. */
export function createFleetHarness(
  records: readonly FleetRecord[] = [],
  pools: readonly string[] = ['quotes'],
  fleetEpoch = 1,
): FleetHarness {
  let now = CLAIMED_AT;
  let offset = 100;
  let state = restoreFleet({
    parameters: { holderLeaseMilliseconds: 3_000, ownershipProofMilliseconds: 2_000 },
    now,
    timeOfDay: new Date(DAY),
    claimedAt: now,
    provenAt: now,
    records,
    fencingEpoch: fleetEpoch,
  });
  const step = (body: Body): readonly FleetEffect[] => {
    const timeOfDay = new Date(DAY + now - CLAIMED_AT);
    const result = runSteps(reduceFleet(state, { ...body, at: now, timeOfDay }));
    ({ state } = result);
    return result.effects;
  };
  const dispatch = (body: Body): readonly FleetEffect[] => {
    const effects = [...step(body)];
    for (let index = 0; index < effects.length; index += 1) {
      const effect = effects[index];
      if (effect?.kind === 'store-fleet-records') {
        const { appendId, records: stored } = effect;
        effects.push(...step({ kind: 'fleet-records-stored', appendId, firstOffset: offset, askedAt: now }));
        offset += stored.length;
      }
    }
    return effects;
  };
  dispatch({
    kind: 'pools-known',
    pools: [...pools.map((pool) => ({ pool, isStandby: false })), { pool: 'spare', isStandby: true }],
  });
  return {
    state: () => state,
    dispatch,
    advance: (milliseconds) => {
      now += milliseconds;
      dispatch({ kind: 'ownership-proven', askedAt: now });
      return dispatch({ kind: 'ticked' });
    },
    list: (...hosts) => {
      now += 1;
      return dispatch({ kind: 'hosts-listed', hosts, askedAt: now });
    },
    settle: ({ hostId, fencingEpoch }, outcome) =>
      dispatch({ kind: 'host-order-settled', hostId, fencingEpoch, outcome }),
  };
}

/** Two hosts of the pool `quotes`. */
export const TWO_HOSTS = [hostOf('h1', 'quotes'), hostOf('h2', 'quotes')];

/** Returns how many hosts are requested to be drained. */
export function countRequested(harness: FleetHarness): number {
  return harness.state().hosts.count(({ requestedAction }) => requestedAction !== null);
}
