/** The platform's store as a model: its logs and groups, behind the network. */
import {
  SCHEDULER_GROUP,
  type JoinOutcome,
  type LogPartition,
  type ReadNewestOutcome,
  type ListOwnersOutcome,
  type Store,
} from '@baobabdeck/scheduler';
import type { RandomSource } from '@baobabdeck/emulator';
import { createModelGroup, type ModelGroup } from './model-group.js';
import { createModelLog, type ModelLog } from './model-log.js';
import type { Endpoint, Network } from './network.js';
import type { PlayedLimits } from './played-limits.js';
import type { VirtualTime } from './virtual-time.js';

/** The store's name on the network. */
export const STORE = 'store';

const PARTITIONS = 4;
const CALL_TIMEOUT_MILLISECONDS = 900;

/** The store. */
export interface ModelStore {
  readonly portFor: (endpoint: Endpoint) => Store;
  readonly logOf: (place: LogPartition) => ModelLog;
  /** The group that services are dealt in. */
  readonly group: ModelGroup;
  /** Names that are turned away; the whole store is down for all while `isDown`. */
  readonly refused: Set<string>;
  isDown: boolean;
}

/** Creates an empty store. */
export function createModelStore(
  time: VirtualTime,
  network: Network,
  random: RandomSource,
  limits: PlayedLimits,
): ModelStore {
  const logs = new Map<string, ModelLog>();
  const group = createModelGroup(time, random);
  const otherGroups = new Map<string, ModelGroup>();

  const groupOf = (name: string): ModelGroup => {
    if (name === SCHEDULER_GROUP) return group;
    const known = otherGroups.get(name) ?? createModelGroup(time, random);
    otherGroups.set(name, known);
    return known;
  };

  const logOf = ({ topic, partition }: LogPartition): ModelLog => {
    const key = `${topic}/${partition}`;
    const known = logs.get(key);
    if (known !== undefined) return known;
    const log = createModelLog(time, limits);
    logs.set(key, log);
    return log;
  };

  const store: ModelStore = { portFor, logOf, group, refused: new Set(), isDown: false };

  function portFor(endpoint: Endpoint): Store {
    const isRefused = (): boolean => store.isDown || store.refused.has(endpoint.name);
    const call = <T>(
      execute: () => Promise<T> | T,
      failed: () => T,
      unanswered: () => T,
      waitMilliseconds = 0,
    ): Promise<T> =>
      network.call({
        from: endpoint,
        to: STORE,
        execute: () => (isRefused() ? failed() : execute()),
        timeoutMilliseconds: CALL_TIMEOUT_MILLISECONDS + waitMilliseconds,
        unanswered,
      });
    const failed = (): { readonly kind: 'failed'; readonly detail: string } => ({
      kind: 'failed',
      detail: 'unreachable',
    });

    return {
      partitionCount: PARTITIONS,
      limits: { recordBytes: limits.recordBytes, requestBytes: limits.requestBytes },
      append: ({ partition, records, producer, expectedEnd }) =>
        call(
          () => logOf(partition).append(records, producer, expectedEnd),
          () => ({ kind: 'refused', detail: 'down' }),
          () => ({ kind: 'unknown', detail: 'no answer' }),
        ),
      read: (place, fromOffset, waitMilliseconds) =>
        call(() => logOf(place).read(fromOffset, waitMilliseconds), failed, failed, waitMilliseconds),
      readNewest: (place) =>
        call<ReadNewestOutcome>(() => ({ kind: 'read', ...logOf(place).newest() }), failed, failed),
      join: (name, member, topics, generation) =>
        call<JoinOutcome>(
          () => {
            const places = topics.flatMap((topic) =>
              Array.from({ length: PARTITIONS }, (_, partition) => ({ topic, partition })),
            );
            return { kind: 'joined' as const, ...groupOf(name).join(member, places, generation) };
          },
          failed,
          failed,
        ),
      leave: (name, member) =>
        call(
          () => groupOf(name).leave(member),
          () => undefined,
          () => undefined,
        ),
      listOwners: (name) =>
        call<ListOwnersOutcome>(() => ({ kind: 'read', owners: groupOf(name).owners() }), failed, failed),
    };
  }

  return store;
}
