/** Plays a fleet owner and its services against hosts that move, go down and return over time. */
import type { FleetEffect } from '../fleet/event.js';
import { selectServiceHostRequests } from '../fleet/requested-actions.js';
import type { HostAction } from '../fleet/state.js';
import type { JobRequest } from '../model/job.js';
import type { HostListing, WorkerListing } from '../model/worker.js';
import { selectServiceReport } from '../service/demand.js';
import { createActingWorkers, type ActingWorkers, type WorkerTimes } from './acting-workers.js';
import { createFleetHarness, ordersOf, type FleetHarness } from './fleet-harness.js';
import { createServiceHarness, listingOf, type ServiceHarness } from './service-harness.js';

/** Time between two steps of a play. */
export const STEP_MILLISECONDS = 100;
const LIST_INTERVAL_MILLISECONDS = 500;
const MOVE_MILLISECONDS = 1_500;
const UPKEEP_MILLISECONDS = 2_000;
const STANDBY_POOL = 'spare';

/** Capacity of each host of a play. */
export const PLAY_CAPACITY = { milliCores: 16_000, memoryMegabytes: 64_000, accelerators: 0 };

interface PlayHost {
  readonly hostId: string;
  pool: string;
  state: HostListing['state'];
  life: number;
  /** When it is up again; null while it is up. */
  upAt: number | null;
  readonly begunWaves: Set<number>;
}

interface PlayService {
  readonly pool: string;
  harness: ServiceHarness;
  workers: ActingWorkers;
  listed: string;
}

/** A wave of a play. */
export interface PlayWave {
  readonly hostIds: readonly string[];
  readonly maximumDown: number;
  readonly durationMilliseconds: number;
}

/** A play; times are in milliseconds since its begin. */
export interface FleetPlay {
  readonly fleet: FleetHarness;
  readonly hostIds: readonly string[];
  readonly serviceOf: (pool: string) => ServiceHarness;
  readonly accept: (pool: string, ...requests: readonly JobRequest[]) => void;
  readonly startWave: (wave: PlayWave) => void;
  /** Takes a host down for some time. Its worker must be idle. */
  readonly takeDown: (hostId: string, milliseconds: number) => void;
  /** Lets one step pass; returns the effects of the fleet owner. */
  readonly step: () => readonly FleetEffect[];
  readonly now: () => number;
  readonly begunHosts: () => number;
  readonly moves: () => number;
  /** The most hosts of the wave that were in maintenance at once. */
  readonly mostDown: () => number;
  readonly hostsIn: (pool: string) => number;
  /** Replaces the owner of a service by one that restores its records. */
  readonly replaceOwner: (pool: string) => void;
}

/** Creates a play with as many hosts in each pool as given; `spare` is the standby pool. */
export function createFleetPlay(sizes: Readonly<Record<string, number>>, times: WorkerTimes): FleetPlay {
  const pools = Object.keys(sizes).filter((pool) => pool !== STANDBY_POOL);
  const fleet = createFleetHarness([], pools);
  const hosts: readonly PlayHost[] = Object.entries(sizes).flatMap(([pool, count]) =>
    Array.from({ length: count }, (_, index) => ({
      hostId: `${pool}-${index}`,
      pool,
      state: 'up' as const,
      life: 1,
      upAt: null,
      begunWaves: new Set<number>(),
    })),
  );
  const hostById = new Map(hosts.map((host) => [host.hostId, host]));
  const services = new Map<string, PlayService>(
    pools.map((pool) => {
      const harness = createServiceHarness();
      return [pool, { pool, harness, workers: createActingWorkers(harness, times), listed: '' }];
    }),
  );
  let now = 0;
  let sequence = 0;
  let moves = 0;
  let mostDown = 0;
  let wave: PlayWave | null = null;

  const workerIdOf = ({ hostId, pool, state, life }: PlayHost): string | null =>
    state === 'up' && pool !== STANDBY_POOL ? `${hostId}-life-${life}` : null;

  const hostListingOf = (host: PlayHost): HostListing => ({
    hostId: host.hostId,
    pool: host.pool,
    state: host.state,
    dataCentre: 'west',
    rack: 'r1',
    capacity: PLAY_CAPACITY,
    workerId: workerIdOf(host),
  });

  const workerListingOf = (host: PlayHost, workerId: string): WorkerListing =>
    listingOf(workerId, {
      hostId: host.hostId,
      pool: host.pool,
      incarnation: host.life,
      capacity: PLAY_CAPACITY,
      clockMilliseconds: null,
    });

  const listWorkers = (service: PlayService): void => {
    const listings = hosts
      .filter(({ pool }) => pool === service.pool)
      .flatMap((host) => {
        const workerId = workerIdOf(host);
        return workerId === null ? [] : [workerListingOf(host, workerId)];
      });
    const key = listings.map(({ workerId }) => workerId).join();
    if (key === service.listed) return;
    service.listed = key;
    service.harness.dispatch({ kind: 'workers-listed', workers: listings });
  };

  const takeDown = (host: PlayHost, state: HostListing['state'], milliseconds: number): void => {
    host.state = state;
    host.upAt = now + milliseconds;
  };

  const bringUp = (): void => {
    hosts
      .filter(({ upAt }) => upAt !== null && upAt <= now)
      .forEach((host) => {
        host.state = 'up';
        host.life += 1;
        host.upAt = null;
      });
  };

  const execute = (hostId: string, what: HostAction): 'accepted' | 'busy' => {
    const host = hostById.get(hostId);
    if (host?.state !== 'up') return 'busy';
    if (what.kind === 'move') {
      host.pool = what.pool;
      moves += 1;
      takeDown(host, 'moving', MOVE_MILLISECONDS);
    } else {
      host.begunWaves.add(what.wave);
      takeDown(host, 'upkeep', UPKEEP_MILLISECONDS);
      const down = hosts.filter(({ state, begunWaves }) => state === 'upkeep' && begunWaves.has(what.wave));
      mostDown = Math.max(mostDown, down.length);
    }
    return 'accepted';
  };

  const perform = (effects: readonly FleetEffect[]): readonly FleetEffect[] => {
    const caused = ordersOf(effects).flatMap((order) =>
      perform(fleet.settle(order, execute(order.hostId, order.what))),
    );
    effects.forEach((effect) => {
      if (effect.kind !== 'tell-wave-status') return;
      fleet.dispatch({ kind: 'wave-status-told', wave: effect.wave, status: effect.status, isStored: true });
    });
    return [...effects, ...caused];
  };

  const exchangeReports = (service: PlayService): readonly FleetEffect[] => {
    sequence += 1;
    const requests = selectServiceHostRequests(fleet.state(), service.pool);
    service.harness.dispatch({ kind: 'host-requests-received', ...requests, epoch: 1, sequence });
    const report = { ...selectServiceReport(service.harness.state()), service: service.pool };
    return perform(fleet.dispatch({ kind: 'service-reported', report }));
  };

  const listHosts = (): readonly FleetEffect[] => {
    const effects = fleet.list(...hosts.map(hostListingOf));
    services.forEach(({ pool, harness }) =>
      harness.dispatch({
        kind: 'hosts-listed',
        hosts: hosts.filter((host) => host.pool === pool).map(hostListingOf),
        askedAt: harness.state().now,
      }),
    );
    return perform(effects);
  };

  const waveHosts = (): readonly PlayHost[] =>
    (wave?.hostIds ?? []).flatMap((hostId) => hostById.get(hostId) ?? []);
  const serviceFor = (pool: string): PlayService => {
    const service = services.get(pool);
    if (service === undefined) throw new Error(`no pool ${pool}`);
    return service;
  };

  fleet.list(...hosts.map(hostListingOf));
  return {
    fleet,
    hostIds: [...hostById.keys()],
    serviceOf: (pool) => serviceFor(pool).harness,
    accept: (pool, ...requests) => {
      serviceFor(pool).harness.accept(...requests);
    },
    startWave: (started) => {
      wave = started;
      fleet.dispatch({ kind: 'wave-asked', wave: 1, ...started });
    },
    takeDown: (hostId, milliseconds) => {
      const host = hostById.get(hostId);
      if (host?.state === 'up') takeDown(host, 'down', milliseconds);
    },
    step: () => {
      now += STEP_MILLISECONDS;
      bringUp();
      const effects: FleetEffect[] = [];
      services.forEach((service) => {
        listWorkers(service);
        service.workers.pass(STEP_MILLISECONDS);
      });
      if (now % LIST_INTERVAL_MILLISECONDS === 0) effects.push(...listHosts());
      services.forEach((service) => effects.push(...exchangeReports(service)));
      effects.push(...perform(fleet.advance(STEP_MILLISECONDS)));
      return effects;
    },
    now: () => now,
    begunHosts: () => waveHosts().filter(({ begunWaves }) => begunWaves.has(1)).length,
    moves: () => moves,
    mostDown: () => mostDown,
    hostsIn: (pool) => hosts.filter((host) => host.pool === pool).length,
    replaceOwner: (pool) => {
      const service = serviceFor(pool);
      service.harness = createServiceHarness(service.harness.records());
      service.workers = createActingWorkers(service.harness, times);
      service.listed = '';
    },
  };
}
