/** Hosts with their workers as models: the platform's service for hosts, the register, and the workers' addresses. */
import type { HostListing, HostOrderOutcome, Resources } from '@baobabdeck/scheduling';
import type {
  HostOrderBase,
  HostService,
  HostListOutcome,
  RegisterChange,
  RegisterReadOutcome,
  WorkerOrders,
  WorkerRegister,
} from '@baobabdeck/scheduler';
import type { RandomSource } from '@baobabdeck/emulator';
import { createGangHall } from './gang-hall.js';
import type { JobPlans } from './job-plans.js';
import type { ModelWorker } from './model-worker-types.js';
import { foreignListings } from './foreign-listings.js';
import { createModelWorker } from './model-worker.js';
import type { Endpoint, Network } from './network.js';
import type { WorkerObserver } from './observer.js';
import type { Disturbance } from './tail-meter.js';
import type { VirtualTime } from './virtual-time.js';

/** The name of the service for hosts on the network. */
export const HOST_SERVICE = 'host-service';

const ORDER_TIMEOUT_MILLISECONDS = 500;
const HOST_TIMEOUT_MILLISECONDS = 1_000;
const MOVE_MILLISECONDS = 1_500;
const MAINTENANCE_MILLISECONDS = 2_000;

/** Time until a host that a task has crashed is up again. */
const SHORTEST_CRASH_MILLISECONDS = 1_500;
const LONGEST_CRASH_MILLISECONDS = 4_000;

/** Share of the crashes by tasks after which the worker has the id that it had before. */
const KEPT_ID_SHARE = 0.5;

/** Time until the register shows what has changed, and until it drops a silent worker. */
const REGISTER_LAG_MILLISECONDS = 800;
const REGISTER_TTL_MILLISECONDS = 4_500;

/** One host. */
export interface ModelHost {
  readonly hostId: string;
  readonly rack: string;
  readonly dataCentre: string;
  readonly capacity: Resources;
  pool: string;
  state: HostListing['state'];
  worker: ModelWorker | null;
  /** Counts its lives. */
  lives: number;
  fence: number;
  wave: number | null;
  /** The wave that it is down for now. */
  downFor: number | null;
  /** Waves whose maintenance it has begun. */
  readonly begunWaves: Set<number>;
}

/** What the referee hears of orders on hosts. */
export interface HostObserver {
  readonly onHostTaken: (host: ModelHost, holder: string, fencingEpoch: number, wave: number | null) => void;
  readonly onHostOrdered: (host: ModelHost, holder: string, fencingEpoch: number) => void;
}

/** The fleet. */
export interface ModelFleet {
  readonly hosts: ReadonlyMap<string, ModelHost>;
  readonly addHost: (host: Pick<ModelHost, 'hostId' | 'rack' | 'dataCentre' | 'capacity' | 'pool'>) => void;
  /** Ends the life on a host; another begins later, under the same id if `keepsId`. */
  readonly crash: (hostId: string, downMilliseconds: number, keepsId: boolean) => void;
  /** Adds entries to the register that no worker of a pool stands behind, with the oddest valid values. */
  readonly addForeignEntries: (pool: string) => void;
  readonly drain: (hostId: string) => void;
  /** Leaves the worker of a host a share of the host's capacity for a time. */
  readonly shrink: (hostId: string, share: number, milliseconds: number) => void;
  readonly workers: () => readonly ModelWorker[];
  readonly ordersFor: (endpoint: Endpoint) => WorkerOrders;
  readonly registerFor: (endpoint: Endpoint) => WorkerRegister;
  readonly hostServiceFor: (endpoint: Endpoint) => HostService;
}

/** What the fleet is made of. */
export interface ModelFleetParts {
  readonly time: VirtualTime;
  readonly network: Network;
  readonly random: RandomSource;
  readonly plans: JobPlans;
  readonly isStandby: (pool: string) => boolean;
  /** Workers refuse starts that do not fit into their capacity. */
  readonly guardsCapacity: boolean;
  /** How filling tasks disturb serving tasks; null for workers that report no tails. */
  readonly disturbance: Disturbance | null;
  /** Workers acknowledge pace orders and carry none out. */
  readonly ignoresPaces: boolean;
  /** The most ends that a worker lists at once. */
  readonly endsPerList: number;
  readonly observer: WorkerObserver & HostObserver;
  /** The store is away: the register does not change. */
  readonly isStoreDown: () => boolean;
}

function shareOf({ milliCores, memoryMegabytes, accelerators }: Resources, share: number): Resources {
  return {
    milliCores: Math.floor(milliCores * share),
    memoryMegabytes: Math.floor(memoryMegabytes * share),
    accelerators: Math.floor(accelerators * share),
  };
}

/** Creates a fleet without hosts. */
export function createModelFleet(parts: ModelFleetParts): ModelFleet {
  const { time, network, random, observer } = parts;
  const hosts = new Map<string, ModelHost>();
  const gangs = createGangHall();
  const changes: RegisterChange[] = [];
  const listed = new Map<string, RegisterChange>();
  const byAddress = new Map<string, ModelWorker>();

  const change = (entry: RegisterChange): void => {
    const apply = (): void => {
      if (parts.isStoreDown()) {
        time.after(REGISTER_LAG_MILLISECONDS, apply);
        return;
      }
      changes.push(entry);
      if (entry.kind === 'listed') listed.set(entry.listing.workerId, entry);
      else listed.delete(entry.workerId);
    };
    apply();
  };

  const listWorker = (worker: ModelWorker): void =>
    time.after(random.uniform() * REGISTER_LAG_MILLISECONDS, () => {
      if (worker.isUp()) change({ kind: 'listed', listing: worker.listing() });
    });

  const changeCapacity = (worker: ModelWorker, capacity: Resources): void => {
    worker.setCapacity(capacity);
    listWorker(worker);
  };

  const bootWorker = (host: ModelHost, keptId: string | null): void => {
    host.lives += 1;
    host.state = 'up';
    if (parts.isStandby(host.pool)) return;
    const workerId = keptId ?? `${host.hostId}-life-${host.lives}`;
    const worker = createModelWorker({
      time,
      listing: {
        workerId,
        incarnation: host.lives,
        hostId: host.hostId,
        pool: host.pool,
        address: host.hostId,
        dataCentre: host.dataCentre,
        capacity: host.capacity,
        labels: ['plain', host.rack],
        rack: host.rack,
      },
      clockRate: 1 - random.uniform() * 0.02,
      plans: parts.plans,
      disturbance: parts.disturbance,
      ignoresPaces: parts.ignoresPaces,
      endsPerList: parts.endsPerList,
      gangs,
      observer,
      chance: random.chance,
      guardsCapacity: parts.guardsCapacity,
      crashHost: () => crash(host.hostId, drawCrashMilliseconds(), random.chance(KEPT_ID_SHARE)),
    });
    host.worker = worker;
    byAddress.set(host.hostId, worker);
    listWorker(worker);
  };

  const endLife = (host: ModelHost): string | null => {
    const { worker } = host;
    if (worker === null) return null;
    const { workerId, incarnation } = worker.listing();
    worker.end();
    host.worker = null;
    byAddress.delete(host.hostId);
    time.after(REGISTER_TTL_MILLISECONDS, () => {
      const entry = listed.get(workerId);
      const isCurrent = entry?.kind === 'listed' && entry.listing.incarnation === incarnation;
      if (isCurrent) change({ kind: 'removed', workerId });
    });
    return workerId;
  };

  const drawCrashMilliseconds = (): number =>
    SHORTEST_CRASH_MILLISECONDS +
    random.uniform() * (LONGEST_CRASH_MILLISECONDS - SHORTEST_CRASH_MILLISECONDS);

  function crash(hostId: string, downMilliseconds: number, keepsId: boolean): void {
    const host = hosts.get(hostId);
    if (host?.state !== 'up' || host.worker === null) return;
    const workerId = endLife(host);
    host.state = 'down';
    time.after(downMilliseconds, () => bootWorker(host, keepsId ? workerId : null));
  }

  const take = (
    host: ModelHost,
    state: 'moving' | 'upkeep',
    pool: string,
    milliseconds: number,
  ): HostOrderOutcome => {
    endLife(host);
    host.pool = pool;
    host.state = state;
    time.after(milliseconds, () => bootWorker(host, null));
    return 'accepted';
  };

  const order = (
    head: HostOrderBase,
    isLate: boolean,
    execute: (host: ModelHost) => HostOrderOutcome,
  ): HostOrderOutcome => {
    const host = hosts.get(head.hostId);
    if (host === undefined) return 'invalid';
    if (head.fencingEpoch < host.fence) return 'fenced';
    host.fence = head.fencingEpoch;
    if (!isLate) observer.onHostOrdered(host, head.holder, head.fencingEpoch);
    return execute(host);
  };

  const move = (head: HostOrderBase & { readonly pool: string }, isLate: boolean): HostOrderOutcome =>
    order(head, isLate, (host) => {
      if (host.pool === head.pool && host.state !== 'down') return 'accepted';
      if (host.state !== 'up') return 'busy';
      observer.onHostTaken(host, head.holder, head.fencingEpoch, null);
      return take(host, 'moving', head.pool, MOVE_MILLISECONDS);
    });

  const maintain = (head: HostOrderBase & { readonly wave: number }, isLate: boolean): HostOrderOutcome =>
    order(head, isLate, (host) => {
      if (host.begunWaves.has(head.wave)) return 'accepted';
      if (host.wave !== head.wave) return 'not-in-wave';
      if (host.state !== 'up') return 'busy';
      observer.onHostTaken(host, head.holder, head.fencingEpoch, head.wave);
      host.begunWaves.add(head.wave);
      host.downFor = head.wave;
      return take(host, 'upkeep', host.pool, MAINTENANCE_MILLISECONDS);
    });

  const listingOf = (host: ModelHost): HostListing => ({
    hostId: host.hostId,
    pool: host.pool,
    state: host.state,
    dataCentre: host.dataCentre,
    rack: host.rack,
    capacity: host.capacity,
    workerId: host.worker?.listing().workerId ?? null,
  });

  /** A call to an address that nobody listens at is never answered. */
  const toWorker = <T>(
    endpoint: Endpoint,
    address: string,
    execute: (worker: ModelWorker, isLate: boolean) => Promise<T> | T,
    unanswered: () => T,
    waitMilliseconds = 0,
  ): Promise<T> =>
    network.call({
      from: endpoint,
      to: address,
      execute: (isLate) => {
        const worker = byAddress.get(address);
        return worker === undefined ? new Promise<T>(() => {}) : execute(worker, isLate);
      },
      timeoutMilliseconds: ORDER_TIMEOUT_MILLISECONDS + waitMilliseconds,
      unanswered,
    });

  const fleet: ModelFleet = {
    hosts,
    addHost: (added) => {
      const host: ModelHost = {
        ...added,
        state: 'up',
        worker: null,
        lives: 0,
        fence: 0,
        wave: null,
        downFor: null,
        begunWaves: new Set(),
      };
      hosts.set(added.hostId, host);
      bootWorker(host, null);
    },
    crash,
    addForeignEntries: (pool) =>
      foreignListings(pool).forEach((listing) => change({ kind: 'listed', listing })),
    drain: (hostId) => {
      const worker = hosts.get(hostId)?.worker;
      if (worker == null) return;
      worker.mood.isDraining = true;
      listWorker(worker);
    },
    shrink: (hostId, share, milliseconds) => {
      const host = hosts.get(hostId);
      if (host?.worker == null) return;
      const { worker, capacity } = host;
      changeCapacity(worker, shareOf(capacity, share));
      time.after(milliseconds, () => {
        if (worker.isUp()) changeCapacity(worker, capacity);
      });
    },
    workers: () => [...byAddress.values()],
    ordersFor: (endpoint) => ({
      renewLease: (given) =>
        toWorker(
          endpoint,
          given.address,
          (worker) => worker.renew(given),
          () => ({ kind: 'unanswered', detail: 'no answer' }),
          given.waitMilliseconds,
        ),
      startRun: (given) =>
        toWorker(
          endpoint,
          given.address,
          (worker, isLate) => worker.start(given, isLate),
          () => ({ outcome: 'unanswered', clockMilliseconds: null }),
        ),
      stopRun: (given) =>
        toWorker(
          endpoint,
          given.address,
          (worker) => worker.stop(given),
          () => 'unanswered',
        ),
      paceRun: (given) =>
        toWorker(
          endpoint,
          given.address,
          (worker) => worker.pace(given),
          () => 'unanswered',
        ),
      closeConnections: () => undefined,
    }),
    registerFor: (endpoint) => {
      const failed = (): RegisterReadOutcome => ({ kind: 'failed', detail: 'unreachable' });
      const call = (execute: () => RegisterReadOutcome): Promise<RegisterReadOutcome> =>
        network.call({
          from: endpoint,
          to: 'store',
          execute: () => (parts.isStoreDown() ? failed() : execute()),
          timeoutMilliseconds: HOST_TIMEOUT_MILLISECONDS,
          unanswered: failed,
        });
      return {
        readNewest: () =>
          call(() => ({
            kind: 'read',
            changes: [...listed.values()],
            nextOffset: changes.length,
            hasMore: false,
          })),
        read: (fromOffset) =>
          call(() => ({
            kind: 'read',
            changes: changes.slice(fromOffset),
            nextOffset: Math.max(fromOffset, changes.length),
            hasMore: false,
          })),
      };
    },
    hostServiceFor: (endpoint) => {
      const call = (execute: (isLate: boolean) => HostOrderOutcome): Promise<HostOrderOutcome> =>
        network.call({
          from: endpoint,
          to: HOST_SERVICE,
          execute,
          timeoutMilliseconds: HOST_TIMEOUT_MILLISECONDS,
          unanswered: () => 'unanswered',
        });
      return {
        list: () =>
          network.call<HostListOutcome>({
            from: endpoint,
            to: HOST_SERVICE,
            execute: () => ({ kind: 'listed' as const, hosts: [...hosts.values()].map(listingOf) }),
            timeoutMilliseconds: HOST_TIMEOUT_MILLISECONDS,
            unanswered: () => ({ kind: 'failed' as const, detail: 'no answer' }),
          }),
        move: (head) => call((isLate) => move(head, isLate)),
        maintain: (head) => call((isLate) => maintain(head, isLate)),
      };
    },
  };
  return fleet;
}
