/** Puts processes, store, hosts, callers and the referee together. */
import type { HostListing } from '@baobabdeck/scheduling';
import type { QueueConfiguration, RelayMode, SchedulerSettings } from '@baobabdeck/scheduler';
import { createRandom, type RandomSource } from '@baobabdeck/emulator';
import type { JobPlans } from './job-plans.js';
import { createModelFleet, type ModelFleet } from './model-fleet.js';
import { createModelStore, type ModelStore } from './model-store.js';
import { PUBLISHED_LIMITS, type PlayedLimits } from './played-limits.js';
import { createProcessor, FREE_PROCESSOR, type Processor, type ProcessorCosts } from './processor.js';
import { createNetwork, type Network } from './network.js';
import type { Referee } from './referee-types.js';
import { createReferee } from './referee.js';
import type { Disturbance } from './tail-meter.js';
import { createVirtualNode, type OperatorPublications, type VirtualNode } from './virtual-node.js';
import type { PlayedWorkspaces } from './workspace-play.js';
import { createVirtualTime, type VirtualTime } from './virtual-time.js';

/** The pool whose hosts are off. */
export const STANDBY_POOL = 'standby';

/** How large a world is. */
export interface WorldSize {
  readonly services: number;
  readonly hostsPerService: number;
  readonly standbyHosts: number;
  readonly nodes: number;
  /** What things cost a process's processor; they take no time where left out. */
  readonly costs?: ProcessorCosts;
  /** Thousandths of a core that each process may use; alike where left out. */
  readonly milliCoresOf?: (node: number) => number;
  /** Capacity of each host; that of large hosts where left out. */
  readonly hostCapacity?: HostListing['capacity'];
  /** Whether workers refuse starts that do not fit into their capacity; they do where left out. */
  readonly workersGuardCapacity?: boolean;
  /** Whether orders go through other processes; they do not where left out. */
  readonly relays?: RelayMode;
  /** Changes what processes send each other; as a broken version of them would. */
  readonly alterPeerRequest?: (content: unknown) => unknown;
  /** Workspaces of the jobs; none where left out. */
  readonly workspaces?: PlayedWorkspaces;
  /** How filling tasks disturb serving tasks; workers report no tails where left out. */
  readonly disturbance?: Disturbance;
  /** Whether workers acknowledge pace orders and carry none out; they obey where left out. */
  readonly workersIgnorePaces?: boolean;
  /** Limits of the store and the workers; the published ones where left out. */
  readonly limits?: PlayedLimits;
  /** Whether another writer has left entries in the register that no worker stands behind; none where left out. */
  readonly hasForeignEntries?: boolean;
}

/** A whole system in virtual time. */
export interface World {
  readonly time: VirtualTime;
  readonly network: Network;
  readonly random: RandomSource;
  readonly store: ModelStore;
  readonly fleet: ModelFleet;
  readonly operator: OperatorPublications;
  readonly nodes: readonly VirtualNode[];
  readonly processors: readonly Processor[];
  readonly plans: JobPlans;
  readonly referee: Referee;
  /** When a trouble last began or ended. */
  lastTroubleAt: number;
  /** Lines that the processes logged, and the troubles. */
  readonly log: string[];
}

/** Time within which machines come up. */
const START_SPAN_MILLISECONDS = 2_000;

const HOSTS_PER_RACK = 3;

const MILLI_CORES_PER_CORE = 1_000;

/** Processor of processes that are alike. */
const ALIKE_MILLI_CORES = 1_000;

/** Thousandths of a core and megabytes of each host. */
const HOST_CAPACITY: HostListing['capacity'] = {
  milliCores: 16_000,
  memoryMegabytes: 65_536,
  accelerators: 0,
};

const SCHEDULING: SchedulerSettings['scheduling'] = {
  leaseMilliseconds: 5_000,
  ownershipProofMilliseconds: 5_000,
  reportWaitMilliseconds: 1_000,
  silenceMilliseconds: 500,
  statusRetentionMilliseconds: 120_000,
  gangTimeoutMilliseconds: 3_000,
  stopMilliseconds: 200,
  remoteFactor: 2,
  absenceNoticeMilliseconds: 4_500,
};

function settingsOf(index: number, milliCores: number, relays: RelayMode): SchedulerSettings {
  return {
    nodeName: `node-${index}`,
    dataCentre: 'west',
    milliCores,
    ip: '127.0.0.1',
    peerPort: 0,
    metricsPort: null,
    graceMilliseconds: 6_000,
    relays,
    revocation: { isStrict: false, maximumAgeMilliseconds: 5_000 },
    scheduling: SCHEDULING,
    fleet: { holderLeaseMilliseconds: 3_000, ownershipProofMilliseconds: 2_000 },
  };
}

/** The name of a service. */
export function serviceName(index: number): string {
  return `service-${index}`;
}

function configurationOf(services: number, refusesOverload: boolean): QueueConfiguration {
  const names = Array.from({ length: services }, (_, index) => serviceName(index));
  return {
    version: 1,
    queues: names.map((service, index) => ({
      name: `queue-${index}`,
      hostName: 'example',
      pathPrefix: `/${service}/`,
      service,
      timeoutMilliseconds: 3_000,
      targetMilliseconds: 600,
      stretch: 1.6,
      priority: index % 2,
      maximumFailedRuns: 3,
      advice: null,
      isPublic: false,
    })),
    services: [
      ...names.map((name) => ({ name, isStandby: false, refusesOverload })),
      { name: STANDBY_POOL, isStandby: true, refusesOverload },
    ],
    workspaces: [],
    limits: {
      headerBytes: 16_384,
      bodyBytes: 262_144,
      headerTimeoutMilliseconds: 3_000,
      idleTimeoutMilliseconds: 15_000,
    },
  };
}

function addHosts(
  fleet: ModelFleet,
  capacity: HostListing['capacity'],
  pool: string,
  count: number,
  first: number,
): void {
  Array.from({ length: count }, (_, index) => first + index).forEach((number) =>
    fleet.addHost({
      hostId: `host-${number}`,
      rack: `rack-${Math.floor(number / HOSTS_PER_RACK)}`,
      dataCentre: 'west',
      capacity,
      pool,
    }),
  );
}

/** Builds a world; its processes start at once. */
export function createWorld(seed: number, size: WorldSize): World {
  const time = createVirtualTime();
  const random = createRandom(seed);
  const network = createNetwork(time, random);
  const limits = size.limits ?? PUBLISHED_LIMITS;
  const store = createModelStore(time, network, random, limits);
  const plans: JobPlans = new Map();
  const log: string[] = [];
  // The referee looks at the hosts, and the hosts tell the referee.
  let fleet: ModelFleet | null = null;
  let world: World | null = null;
  const referee = createReferee({
    time,
    plans,
    hosts: () => fleet?.hosts ?? new Map(),
    lastTroubleAt: () => world?.lastTroubleAt ?? 0,
    workspaces: size.workspaces ?? null,
  });
  const guardsCapacity = size.workersGuardCapacity ?? true;
  const models = createModelFleet({
    time,
    network,
    random,
    plans,
    isStandby: (pool) => pool === STANDBY_POOL,
    guardsCapacity,
    disturbance: size.disturbance ?? null,
    ignoresPaces: size.workersIgnorePaces ?? false,
    endsPerList: limits.endsPerList,
    observer: referee,
    isStoreDown: () => store.isDown,
  });
  fleet = models;
  const operator: OperatorPublications = {
    configuration: {
      ...configurationOf(size.services, guardsCapacity),
      workspaces: size.workspaces?.workspaces ?? [],
    },
    waves: [],
    onWaveStatus: (wave, status) => {
      if (status === 'completed') referee.onWaveCompleted(wave);
    },
  };
  const capacity = size.hostCapacity ?? HOST_CAPACITY;
  for (let service = 0; service < size.services; service += 1) {
    addHosts(models, capacity, serviceName(service), size.hostsPerService, service * size.hostsPerService);
  }
  addHosts(models, capacity, STANDBY_POOL, size.standbyHosts, size.services * size.hostsPerService);
  if (size.hasForeignEntries === true) {
    for (let service = 0; service < size.services; service += 1) {
      models.addForeignEntries(serviceName(service));
    }
  }
  const switchboard = new Map<string, (content: unknown) => Promise<unknown>>();
  const milliCoresOf = size.milliCoresOf ?? (() => ALIKE_MILLI_CORES);
  const processors = Array.from({ length: size.nodes }, (_, index) =>
    size.costs === undefined
      ? FREE_PROCESSOR
      : createProcessor(time, milliCoresOf(index) / MILLI_CORES_PER_CORE, size.costs),
  );
  const nodes = processors.map((processor, index) =>
    createVirtualNode({
      processor,
      time,
      network,
      store,
      fleet: models,
      operator,
      settings: settingsOf(index, milliCoresOf(index), size.relays ?? 'off'),
      switchboard,
      alterPeerRequest: size.alterPeerRequest ?? ((content) => content),
      workspaces: size.workspaces ?? null,
      onLog: (name, fields) => {
        const { err, ...rest } = fields;
        const text = err instanceof Error ? (err.stack ?? err.message) : '';
        log.push(`${time.now().toFixed(0)} ${name} ${JSON.stringify(rest)} ${text}`);
      },
    }),
  );
  // Machines with a bounded processor come up one by one, so that the fastest is not always the first.
  nodes.forEach((node) => {
    if (size.costs === undefined) node.start();
    else time.after(random.uniform() * START_SPAN_MILLISECONDS, node.start);
  });
  world = {
    time,
    network,
    random,
    store,
    fleet: models,
    operator,
    nodes,
    processors,
    plans,
    referee,
    lastTroubleAt: 0,
    log,
  };
  return world;
}
