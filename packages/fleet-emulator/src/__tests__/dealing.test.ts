import { describe } from '@baobabdeck/test-tools';
import { createWorld, type World } from '../world.js';

/** Thousandths of a core. */
const STRONG = 1_350;
const WEAK = 324;

const SERVICES = 3;
const STRONG_COUNT = 4;
const NODES = 10;

/** Time in which a world without troubles comes to rest. */
const START_MILLISECONDS = 8_000;

/** A killed process's places are free after 1.5 s; half a second more for a claim. */
const TAKEOVER_MILLISECONDS = 2_000;

/** Time after which members that are not needed have stepped out. */
const STEPPING_OUT_MILLISECONDS = 6_000;

type Index = (node: number) => number;

const strongFirst: Index = (node) => (node < STRONG_COUNT ? STRONG : WEAK);

function createUneven(seed: number, milliCoresOf: Index = strongFirst): World {
  const size = { services: SERVICES, hostsPerService: 2, standbyHosts: 1, nodes: NODES, milliCoresOf };
  return createWorld(seed, size);
}

/** What each process owns, by the process's number; the fleet has no name of its own elsewhere. */
function selectOwned(world: World): ReadonlyMap<number, readonly string[]> {
  const owned = world.nodes.map((node, index) => {
    const status = node.running()?.status();
    const services = status?.services.map(({ service }) => service) ?? [];
    const fleet = (status?.fleet ?? null) === null ? [] : ['fleet'];
    return [index, [...services, ...fleet]] as const;
  });
  return new Map(owned.filter(([, names]) => names.length > 0));
}

const ALL = ['fleet', 'service-0', 'service-1', 'service-2'];

function selectNames(world: World): readonly string[] {
  return [...selectOwned(world).values()].flat().sort();
}

function selectOwners(world: World): readonly number[] {
  return [...selectOwned(world).keys()];
}

function selectClaims(world: World): readonly string[] {
  return world.log.filter((line) => / (serviceClaimed|fleetClaimed) /.test(line));
}

async function pass(world: World, milliseconds: number): Promise<void> {
  await world.time.runUntil(world.time.now() + milliseconds);
}

/** Whether all is owned at every tenth of a second of a time. */
async function staysOwned(world: World, milliseconds: number): Promise<boolean> {
  let isOwned = true;
  for (let passed = 0; passed < milliseconds; passed += 100) {
    await pass(world, 100);
    isOwned &&= selectNames(world).length === ALL.length;
  }
  return isOwned;
}

const strongOnes = (world: World): World['nodes'] => world.nodes.slice(0, STRONG_COUNT);
const weakOnes = (world: World): World['nodes'] => world.nodes.slice(STRONG_COUNT);

describe('processes of unequal strength', ({ describe: within, it }) => {
  within('at the start', ({ it: starts }) => {
    [1, 2, 3, 4, 5].forEach((seed) => {
      starts(`leave every place to the strongest, with seed ${seed}`, async (t) => {
        const world = createUneven(seed);
        await pass(world, START_MILLISECONDS);
        t.deepEqual(selectNames(world), ALL);
        t.true(selectOwners(world).every((node) => node < STRONG_COUNT));
      });
    });

    starts('leave every place to the strongest, when those come last', async (t) => {
      const world = createUneven(1);
      strongOnes(world).forEach((node) => node.kill());
      await pass(world, START_MILLISECONDS);
      t.deepEqual(selectNames(world), ALL);
      t.true(selectOwners(world).every((node) => node >= STRONG_COUNT));
      strongOnes(world).forEach((node) => node.start());
      await pass(world, START_MILLISECONDS + STEPPING_OUT_MILLISECONDS);
      t.deepEqual(selectNames(world), ALL);
      t.true(selectOwners(world).every((node) => node < STRONG_COUNT));
    });
  });

  it('that are weak move no service when they start again one after the other', async (t) => {
    const world = createUneven(2);
    await pass(world, START_MILLISECONDS);
    const claims = selectClaims(world);
    for (const node of weakOnes(world)) {
      node.restart(500);
      t.true(await staysOwned(world, 4_000));
    }
    t.deepEqual(selectClaims(world), claims);
  });

  it('that are weak take over as fast as members do when all strong ones are lost at once', async (t) => {
    const world = createUneven(3);
    await pass(world, START_MILLISECONDS);
    strongOnes(world).forEach((node) => node.kill());
    await pass(world, TAKEOVER_MILLISECONDS + 500);
    t.deepEqual(selectNames(world), ALL);
    strongOnes(world).forEach((node) => node.start());
    await pass(world, START_MILLISECONDS + STEPPING_OUT_MILLISECONDS);
    t.deepEqual(selectNames(world), ALL);
    t.true(selectOwners(world).every((node) => node < STRONG_COUNT));
  });

  it('cover the loss of one strong one among the strong', async (t) => {
    const world = createUneven(4);
    await pass(world, START_MILLISECONDS);
    const [lost = 0] = selectOwners(world);
    world.nodes[lost]?.kill();
    await pass(world, TAKEOVER_MILLISECONDS);
    t.deepEqual(selectNames(world), ALL);
    t.true(selectOwners(world).every((node) => node < STRONG_COUNT));
  });

  it('that are weak take over when the store answers only them', async (t) => {
    const world = createUneven(5);
    await pass(world, START_MILLISECONDS);
    strongOnes(world).forEach((node) => world.store.refused.add(node.name));
    await pass(world, 7_000);
    const weakServices = weakOnes(world).flatMap(
      (node) =>
        node
          .running()
          ?.status()
          .services.map(({ service }) => service) ?? [],
    );
    t.deepEqual([...weakServices].sort(), ALL.slice(1));
    world.store.refused.clear();
    await pass(world, STEPPING_OUT_MILLISECONDS + START_MILLISECONDS);
    t.deepEqual(selectNames(world), ALL);
    t.true(selectOwners(world).every((node) => node < STRONG_COUNT));
  });

  [1, 2, 3, 4].forEach((seed) => {
    it(`that are weak stay out when the store was down for everyone, with seed ${seed}`, async (t) => {
      const world = createUneven(seed);
      await pass(world, START_MILLISECONDS);
      const before = world.log.filter((line) => line.includes('groupEntered')).length;
      world.store.isDown = true;
      await pass(world, 4_300);
      world.store.isDown = false;
      await pass(world, START_MILLISECONDS);
      t.is(world.log.filter((line) => line.includes('groupEntered')).length, before);
      t.deepEqual(selectNames(world), ALL);
      t.true(selectOwners(world).every((node) => node < STRONG_COUNT));
    });
  });

  it('that are weak stay out when a strong one starts again and again', async (t) => {
    const world = createUneven(6);
    await pass(world, START_MILLISECONDS);
    const entered = (): number => world.log.filter((line) => line.includes('groupEntered')).length;
    const before = entered();
    for (let round = 0; round < 6; round += 1) {
      world.nodes[0]?.kill();
      world.nodes[0]?.start();
      await pass(world, 1_700);
    }
    // The strong one itself enters at each of its starts.
    t.true(entered() <= before + 6);
    t.true(selectOwners(world).every((node) => node < STRONG_COUNT));
  });

  it('that are too few strong ones share with the weak', async (t) => {
    const world = createUneven(7, (node) => (node === 0 ? STRONG : WEAK));
    await pass(world, START_MILLISECONDS);
    t.deepEqual(selectNames(world), ALL);
    t.true(selectOwners(world).length >= SERVICES);
  });

  it('that are not dealt to keep their callers and notice a store that answers others only', async (t) => {
    const world = createUneven(8);
    await pass(world, START_MILLISECONDS);
    const readiness = (): readonly boolean[] =>
      weakOnes(world).map((node) => node.running()?.callers.readiness().isReady ?? false);
    for (let passed = 0; passed < 3_000; passed += 100) {
      await pass(world, 100);
      t.true(readiness().every((isReady) => isReady));
    }
    const [weak] = weakOnes(world);
    world.store.refused.add(weak?.name ?? '');
    await pass(world, 1_600);
    t.deepEqual(readiness(), [false, true, true, true, true, true]);
  });

  it('leave the fleet to one that owns no service, each time that the store deals anew', async (t) => {
    const size = { services: 1, hostsPerService: 2, standbyHosts: 1, nodes: 4 };
    const world = createWorld(9, size);
    await pass(world, START_MILLISECONDS);
    for (let deal = 0; deal < 20; deal += 1) {
      world.store.group.dealAnew();
      await pass(world, STEPPING_OUT_MILLISECONDS);
      const [fleet, service] = world.store.group.owners();
      const owned = [...selectOwned(world).values()].map((names) => names.length);
      if (fleet?.member !== service?.member) t.deepEqual(owned, [1, 1]);
    }
  });
});
