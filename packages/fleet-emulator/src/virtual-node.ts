/** One scheduler process in virtual time: it can be killed, frozen and started again. */
import {
  NO_MEASURES,
  startNode,
  type OperatorFeed,
  type OperatorReadOutcome,
  type PeerNetwork,
  type QueueConfiguration,
  type SchedulerNode,
  type SchedulerSettings,
  type SteadyClock,
  type Store,
  type WaveRequest,
} from '@baobabdeck/scheduler';
import type { WaveStatus } from '@baobabdeck/scheduling';
import type { ModelFleet } from './model-fleet.js';
import { STORE, type ModelStore } from './model-store.js';
import type { Endpoint, Network } from './network.js';
import type { Processor } from './processor.js';
import { withWorkspaces, type PlayedWorkspaces } from './workspace-play.js';
import type { VirtualTime } from './virtual-time.js';

/** What the operator has published. */
export interface OperatorPublications {
  configuration: QueueConfiguration;
  readonly waves: WaveRequest[];
  readonly onWaveStatus: (wave: number, status: WaveStatus) => void;
}

/** What a process is played among. */
export interface VirtualNodeParts {
  readonly time: VirtualTime;
  readonly network: Network;
  readonly store: ModelStore;
  readonly fleet: ModelFleet;
  readonly operator: OperatorPublications;
  readonly settings: SchedulerSettings;
  readonly processor: Processor;
  /** Answers of peers by their address. */
  readonly switchboard: Map<string, (content: unknown) => Promise<unknown>>;
  /** Changes what the process sends to others. */
  readonly alterPeerRequest: (content: unknown) => unknown;
  /** Null for a play without workspaces. */
  readonly workspaces: PlayedWorkspaces | null;
  readonly onLog: (name: string, fields: Readonly<Record<string, unknown>>) => void;
}

/** A process. */
export interface VirtualNode {
  readonly name: string;
  readonly endpoint: Endpoint;
  /** Null while it is down or starting. */
  readonly running: () => SchedulerNode | null;
  /** Hands a call of somebody outside to the process; one that dies before it comes to it never does. */
  readonly receive: (handle: (node: SchedulerNode) => void) => void;
  readonly kill: () => void;
  readonly freeze: (milliseconds: number) => void;
  readonly start: () => void;
  /** Asks it to stop, and starts it again once it has. */
  readonly restart: (downMilliseconds: number) => void;
}

/** Time from the start of a process until it runs. */
const START_MILLISECONDS = 500;

/** Time of day at the virtual time 0. */
const DAY_START = new Date('2026-01-01T00:00:00Z').getTime();

const FEED_TIMEOUT_MILLISECONDS = 1_000;

/** Creates a process that does not run yet. */
export function createVirtualNode(parts: VirtualNodeParts): VirtualNode {
  const { time, network, store, fleet, operator, settings, processor } = parts;
  const name = settings.nodeName;
  let life = 0;
  /** The life that was started last: overlapping troubles may each start the process again. */
  let startedLife = -1;
  let frozenUntil = 0;
  let running: SchedulerNode | null = null;

  /** Hands something over to one life by its processor; a frozen one gets it when it wakes. */
  const deliverTo = (ofLife: number, action: () => void, run = processor.run): void => {
    if (ofLife !== life) return;
    const wait = frozenUntil - time.now();
    if (wait > 0) time.after(wait, () => deliverTo(ofLife, action, run));
    else {
      run(() => {
        if (ofLife === life) action();
      });
    }
  };

  const endpointOf = (ofLife: number): Endpoint => ({
    name,
    deliver: (action) => deliverTo(ofLife, action),
    send: processor.sendCall,
  });

  const clockOf = (ofLife: number): SteadyClock => ({
    now: () => new Date(DAY_START + time.now()),
    steadyNow: time.now,
    sleep: (milliseconds) =>
      new Promise((resolve) => {
        time.after(milliseconds, () => deliverTo(ofLife, resolve));
      }),
  });

  const feedOf = (endpoint: Endpoint): OperatorFeed => {
    const call = <T>(execute: () => Promise<T> | T, fail: () => T, waitMilliseconds: number): Promise<T> =>
      network.call({
        from: endpoint,
        to: STORE,
        execute: () => (store.isDown || store.refused.has(name) ? fail() : execute()),
        timeoutMilliseconds: FEED_TIMEOUT_MILLISECONDS + waitMilliseconds,
        unanswered: fail,
      });
    const failed = (): OperatorReadOutcome => ({ kind: 'failed', detail: 'unreachable' });
    const entries = (): OperatorReadOutcome => ({
      kind: 'read',
      entries: [
        { kind: 'configuration' as const, configuration: operator.configuration },
        ...operator.waves.map((wave) => ({ kind: 'wave' as const, wave })),
      ],
      nextOffset: 1,
    });
    const POLL_MILLISECONDS = 300;
    return {
      readNewest: () => call(entries, failed, 0),
      read: () =>
        call(
          () =>
            new Promise((resolve) => {
              time.after(POLL_MILLISECONDS, () => resolve(entries()));
            }),
          failed,
          POLL_MILLISECONDS,
        ),
      writeWaveStatus: (wave, status) =>
        call(
          () => {
            operator.onWaveStatus(wave, status);
            return true;
          },
          () => false,
          0,
        ),
    };
  };

  const peersOf = (endpoint: Endpoint, ofLife: number): PeerNetwork => ({
    listen: (answer) => {
      parts.switchboard.set(
        name,
        (content) =>
          new Promise((resolve) => {
            deliverTo(
              ofLife,
              () => {
                void answer(content).then(resolve);
              },
              processor.runCall,
            );
          }),
      );
      return Promise.resolve(name);
    },
    request: (address, content, timeoutMilliseconds) =>
      network.call<unknown>({
        from: endpoint,
        to: address,
        execute: () =>
          parts.switchboard.get(address)?.(parts.alterPeerRequest(structuredClone(content))) ?? null,
        timeoutMilliseconds,
        unanswered: () => null,
      }),
    keepOnly: () => undefined,
    close: () => undefined,
  });

  const boot = async (ofLife: number): Promise<void> => {
    const endpoint = endpointOf(ofLife);
    const plainStore: Store = store.portFor(endpoint);
    const storePort = parts.workspaces === null ? plainStore : withWorkspaces(plainStore, parts.workspaces);
    const node = await startNode({
      settings,
      incarnation: `${name}-${ofLife}`,
      clock: clockOf(ofLife),
      writeEvent: (event, fields = {}) => parts.onLog(event, { ...fields, node: name }),
      measures: NO_MEASURES,
      store: storePort,
      feed: feedOf(endpoint),
      register: fleet.registerFor(endpoint),
      workers: fleet.ordersFor(endpoint),
      hosts: fleet.hostServiceFor(endpoint),
      peers: peersOf(endpoint, ofLife),
    });
    if (ofLife === life) running = node;
  };

  const kill = (): void => {
    life += 1;
    running = null;
    frozenUntil = 0;
    parts.switchboard.delete(name);
  };

  const start = (): void => {
    const ofLife = life;
    time.after(START_MILLISECONDS, () => {
      if (ofLife !== life || startedLife === ofLife) return;
      startedLife = ofLife;
      processor.run(() => {
        void boot(ofLife);
      });
    });
  };

  return {
    name,
    endpoint: { name, deliver: (action) => action(), send: (action) => action() },
    running: () => running,
    receive: (handle) =>
      processor.runCall(() => {
        if (running !== null) handle(running);
      }),
    kill,
    freeze: (milliseconds) => {
      frozenUntil = Math.max(frozenUntil, time.now() + milliseconds);
    },
    start,
    restart: (downMilliseconds) => {
      const node = running;
      const ofLife = life;
      if (node === null) return;
      void node.leave().then(() => {
        node.close();
        if (ofLife !== life) return;
        kill();
        time.after(downMilliseconds, start);
      });
    },
  };
}
