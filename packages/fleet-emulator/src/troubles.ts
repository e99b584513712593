/** Everything that can go wrong, one by one; each ends by itself. */
import type { Queue, QueueConfiguration } from '@baobabdeck/scheduler';
import { HOST_SERVICE } from './model-fleet.js';
import { STORE } from './model-store.js';
import { changeCaps } from './workspace-play.js';
import type { World } from './world.js';

/** A kind of trouble. */
export type TroubleKind =
  | 'kill-node'
  | 'kill-all-nodes'
  | 'restart-node'
  | 'freeze-node'
  | 'cut-node-from-store'
  | 'cut-node-from-workers'
  | 'cut-workers'
  | 'crash-worker'
  | 'crash-rack'
  | 'reborn-worker'
  | 'failing-worker'
  | 'hanging-worker'
  | 'draining-worker'
  | 'store-down'
  | 'store-refuses-some'
  | 'store-slow'
  | 'store-loses-answers'
  | 'store-late'
  | 'store-deals-anew'
  | 'orders-late'
  | 'answers-lost'
  | 'host-orders-late'
  | 'wave'
  | 'shrinking-worker'
  | 'cut-nodes'
  | 'peers-late'
  | 'peer-answers-lost'
  | 'caps-changed'
  | 'caps-lowered'
  | 'caps-lowered-for-some-time'
  | 'queue-moved'
  | 'queue-renamed';

/** Kinds of the plays among all troubles. One more would change what each seed plays. */
export const TROUBLE_KINDS: readonly TroubleKind[] = [
  'kill-node',
  'kill-all-nodes',
  'restart-node',
  'freeze-node',
  'cut-node-from-store',
  'cut-node-from-workers',
  'cut-workers',
  'crash-worker',
  'crash-rack',
  'reborn-worker',
  'failing-worker',
  'hanging-worker',
  'draining-worker',
  'store-down',
  'store-refuses-some',
  'store-slow',
  'store-loses-answers',
  'store-late',
  'store-deals-anew',
  'orders-late',
  'answers-lost',
  'host-orders-late',
  'wave',
];

/** Kinds that change the capacity of workers. */
export const CAPACITY_TROUBLE_KINDS: readonly TroubleKind[] = ['shrinking-worker'];

/** Kinds that lower the caps of workspaces below single tasks and gangs, for some time and for good. */
export const LOW_CAP_TROUBLE_KINDS: readonly TroubleKind[] = ['caps-lowered', 'caps-lowered-for-some-time'];

/** Kinds that concern processes which relay orders for others. */
export const RELAY_TROUBLE_KINDS: readonly TroubleKind[] = [
  'kill-node',
  'freeze-node',
  'restart-node',
  'cut-nodes',
  'cut-node-from-workers',
  'peers-late',
  'peer-answers-lost',
];

/** Kinds that remove a queue and add it again with another service, or under another name. */
export const QUEUE_TROUBLE_KINDS: readonly TroubleKind[] = ['queue-moved', 'queue-renamed'];

/** What a worker that shrinks has left of its capacity at the most. */
const LARGEST_SHRUNK_SHARE = 0.7;

/** Least time for which caps are low: until no service counts on the former ones any more. */
const LOW_CAPS_MILLISECONDS = 4_000;

const LONGEST_MILLISECONDS = 6_000;
const DOWN_MILLISECONDS = 1_500;

function addresses(world: World): readonly string[] {
  return [...world.fleet.hosts.keys()];
}

function namesOf(nodes: World['nodes']): readonly string[] {
  return nodes.map(({ name }) => name);
}

function someOf<T>(world: World, items: readonly T[], share: number): readonly T[] {
  return items.filter(() => world.random.chance(share));
}

function setFor(
  world: World,
  map: Map<string, number>,
  names: readonly string[],
  value: number,
  lasting: number,
): void {
  names.forEach((name) => map.set(name, value));
  world.time.after(lasting, () => names.forEach((name) => map.delete(name)));
}

function cutFor(world: World, pairs: readonly (readonly [string, string])[], lasting: number): void {
  const { cuts } = world.network.conditions;
  const directions = pairs.flatMap(([one, other]) => [`${one}>${other}`, `${other}>${one}`]);
  directions.forEach((direction) => cuts.add(direction));
  world.time.after(lasting, () => directions.forEach((direction) => cuts.delete(direction)));
}

function lowerCaps({ referee, operator, random }: World): void {
  referee.onCapsChanged(changeCaps(operator, random, true));
}

/** Raises the caps after some time, unless they have been changed again by then. */
function restoreCapsAfter({ referee, operator, random, time }: World, milliseconds: number): void {
  const { version } = operator.configuration;
  time.after(milliseconds, () => {
    if (operator.configuration.version === version) referee.onCapsChanged(changeCaps(operator, random));
  });
}

function publishQueues({ operator }: World, queues: readonly Queue[]): void {
  const { configuration } = operator;
  operator.configuration = { ...configuration, version: configuration.version + 1, queues };
}

/** Changes a queue, half of the time by a version without it that is in force for some time. */
function changeQueue(
  world: World,
  change: (configuration: QueueConfiguration) => Partial<Queue>,
  missing: number,
): void {
  const { operator, random, time } = world;
  const { queues } = operator.configuration;
  if (queues.length === 0) return;
  const queue = random.pick(queues);
  const changed = { ...queue, ...change(operator.configuration) };
  const withChanged = (): void => {
    const others = operator.configuration.queues.filter(({ pathPrefix }) => pathPrefix !== queue.pathPrefix);
    publishQueues(world, [...others, changed]);
  };
  if (random.chance(0.5)) {
    publishQueues(
      world,
      queues.filter((one) => one !== queue),
    );
    time.after(random.uniform() * missing, withChanged);
  } else withChanged();
}

function startWave(world: World): void {
  const { operator, random, referee, fleet } = world;
  const wave = operator.waves.length + 1;
  const hostIds = someOf(world, addresses(world), 0.4);
  if (hostIds.length === 0) return;
  const maximumDown = 1 + random.below(4);
  hostIds.forEach((hostId) => {
    const host = fleet.hosts.get(hostId);
    if (host !== undefined) host.wave = wave;
  });
  referee.onWaveAsked(wave, hostIds, maximumDown);
  operator.waves.push({ wave, hostIds, durationSeconds: 20, maximumDown });
}

/** Lets one trouble begin. */
export function beginTrouble(world: World, kind: TroubleKind): void {
  const { time, random, nodes, network, store, fleet } = world;
  const lasting = 1_000 + random.uniform() * LONGEST_MILLISECONDS;
  const node = random.pick(nodes);
  const host = random.pick(addresses(world));
  const { conditions } = network;
  switch (kind) {
    case 'kill-node':
      node.kill();
      time.after(random.uniform() * DOWN_MILLISECONDS, node.start);
      break;
    case 'kill-all-nodes':
      nodes.forEach((one) => {
        one.kill();
        time.after(random.uniform() * DOWN_MILLISECONDS, one.start);
      });
      break;
    case 'restart-node':
      node.restart(random.uniform() * DOWN_MILLISECONDS);
      break;
    case 'freeze-node':
      node.freeze(lasting);
      break;
    case 'cut-node-from-store':
      cutFor(world, [[node.name, STORE]], lasting);
      break;
    case 'cut-node-from-workers':
      cutFor(
        world,
        someOf(world, addresses(world), 0.5).map((address) => [node.name, address] as const),
        lasting,
      );
      break;
    case 'cut-workers':
      cutFor(
        world,
        someOf(world, addresses(world), 0.2).flatMap((address) =>
          nodes.map((one) => [one.name, address] as const),
        ),
        lasting,
      );
      break;
    case 'crash-worker':
      fleet.crash(host, lasting, false);
      break;
    case 'crash-rack': {
      const rack = fleet.hosts.get(host)?.rack;
      [...fleet.hosts.values()]
        .filter((one) => one.rack === rack)
        .forEach((one) => fleet.crash(one.hostId, lasting, false));
      break;
    }
    case 'reborn-worker':
      fleet.crash(host, random.uniform() * DOWN_MILLISECONDS, true);
      break;
    case 'failing-worker':
    case 'hanging-worker': {
      const mood = fleet.hosts.get(host)?.worker?.mood;
      if (mood === undefined) break;
      if (kind === 'failing-worker') mood.failing = 0.8;
      else mood.isHanging = true;
      time.after(lasting, () => {
        mood.failing = 0;
        mood.isHanging = false;
      });
      break;
    }
    case 'draining-worker':
      fleet.drain(host);
      time.after(3_000 + lasting, () => fleet.crash(host, DOWN_MILLISECONDS, false));
      break;
    case 'shrinking-worker':
      fleet.shrink(host, random.uniform() * LARGEST_SHRUNK_SHARE, lasting);
      break;
    case 'cut-nodes':
      cutFor(
        world,
        nodes.flatMap((other) => (random.chance(0.5) ? [[node.name, other.name] as const] : [])),
        lasting,
      );
      break;
    case 'peers-late':
      setFor(world, conditions.lateCalls, someOf(world, namesOf(nodes), 0.4), 0.1, lasting);
      break;
    case 'peer-answers-lost':
      setFor(world, conditions.lostAnswers, someOf(world, namesOf(nodes), 0.4), 0.2, lasting);
      break;
    case 'caps-changed':
      world.referee.onCapsChanged(changeCaps(world.operator, random));
      break;
    case 'caps-lowered':
      lowerCaps(world);
      break;
    case 'caps-lowered-for-some-time':
      lowerCaps(world);
      restoreCapsAfter(world, LOW_CAPS_MILLISECONDS + lasting);
      break;
    case 'queue-moved':
      changeQueue(world, ({ queues }) => ({ service: random.pick(queues).service }), lasting);
      break;
    case 'queue-renamed':
      changeQueue(world, ({ version }) => ({ name: `renamed-in-${version}` }), lasting);
      break;
    case 'store-down':
      store.isDown = true;
      time.after(lasting, () => {
        store.isDown = false;
      });
      break;
    case 'store-refuses-some': {
      const turnedAway = someOf(world, nodes, 0.4).map((one) => one.name);
      turnedAway.forEach((name) => store.refused.add(name));
      time.after(lasting, () => turnedAway.forEach((name) => store.refused.delete(name)));
      break;
    }
    case 'store-slow':
      setFor(world, conditions.slowness, [STORE], 10 + random.uniform() * 70, lasting);
      break;
    case 'store-loses-answers':
      setFor(world, conditions.lostAnswers, [STORE], 0.3, lasting);
      break;
    case 'store-late':
      setFor(world, conditions.lateCalls, [STORE], 0.2, lasting);
      break;
    case 'store-deals-anew':
      store.group.dealAnew();
      break;
    case 'orders-late':
      setFor(world, conditions.lateCalls, addresses(world), 0.05, lasting);
      break;
    case 'answers-lost':
      setFor(world, conditions.lostAnswers, someOf(world, addresses(world), 0.4), 0.1, lasting);
      break;
    case 'host-orders-late':
      setFor(world, conditions.lateCalls, [HOST_SERVICE], 0.3, lasting);
      break;
    default:
      startWave(world);
  }
}
