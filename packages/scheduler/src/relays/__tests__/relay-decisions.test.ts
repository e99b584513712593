import { describe } from '@baobabdeck/test-tools';
import { chooseRelays, pickRelay } from '../choose-relays.js';
import { createOrderQueue } from '../order-queue.js';
import { RELAYS_OFF, updateActivation, type ProcessLoad } from '../relay-activation.js';
import { createRelayOffers, type RelayOffer } from '../relay-offers.js';

function offerOf(index: number, idleMilliCores = 1_000): RelayOffer {
  const nodeName = `node-${index}`;
  return {
    member: { nodeName, peerAddress: `10.0.0.${index}:1`, incarnation: 'i', milliCores: 1_000 },
    idleMilliCores,
    linkMegabits: null,
  };
}

const WORKERS = Array.from({ length: 400 }, (_, index) => `worker-${index}`);

function nameOfRelay(worker: string, relays: readonly RelayOffer[]): string {
  return pickRelay(worker, relays)?.member.nodeName ?? '';
}

describe('choice of relays', ({ it }) => {
  it('moves only the workers of a relay that leaves', (t) => {
    const relays = [1, 2, 3, 4].map((index) => offerOf(index));
    const moved = WORKERS.filter(
      (worker) => nameOfRelay(worker, relays) !== nameOfRelay(worker, relays.slice(1)),
    );
    t.true(moved.every((worker) => nameOfRelay(worker, relays) === 'node-1'));
    t.true(moved.length > 60 && moved.length < 140, String(moved.length));
  });

  it('gives a relay workers in proportion to its idle capacity', (t) => {
    const relays = [offerOf(1, 300), offerOf(2, 900)];
    const share =
      WORKERS.filter((worker) => nameOfRelay(worker, relays) === 'node-2').length / WORKERS.length;
    t.true(share > 0.67 && share < 0.83, String(share));
  });

  it('keeps relays that still offer, with their first weight, and adds until the capacity suffices', (t) => {
    const offers = Array.from({ length: 20 }, (_, index) => offerOf(index, 400));
    const first = chooseRelays('owner', 1_000, [], offers);
    t.is(first.length, 5);
    const changed = offers.map((offer) => ({ ...offer, idleMilliCores: 200 }));
    t.deepEqual(chooseRelays('owner', 1_000, first, changed), first);
    t.deepEqual(chooseRelays('owner', 1_000, first, []), []);
  });

  it('takes at least two and at most eight relays', (t) => {
    const offers = Array.from({ length: 20 }, (_, index) => offerOf(index, 5_000));
    t.is(chooseRelays('owner', 1_000, [], offers).length, 2);
    t.is(chooseRelays('owner', 60_000, [], offers).length, 8);
  });
});

describe('offers of relays', ({ it }) => {
  it('expire after three seconds, and are not taken from malformed names', (t) => {
    const offers = createRelayOffers();
    offers.record('node-1|a|i|1000', 500, null, 0);
    offers.record('nobody', 500, null, 0);
    t.is(offers.current(3_000).length, 1);
    t.is(offers.current(3_001).length, 0);
  });
});

describe('activation of relays', ({ it }) => {
  const BUSY: ProcessLoad = { busyShare: 0.9, lateMilliseconds: 0 };
  const LATE: ProcessLoad = { busyShare: 0.1, lateMilliseconds: 200 };
  const MIDDLE: ProcessLoad = { busyShare: 0.5, lateMilliseconds: 0 };
  const IDLE: ProcessLoad = { busyShare: 0.05, lateMilliseconds: 0 };

  const isOnAfter = (samples: readonly (readonly [at: number, load: ProcessLoad])[]): boolean =>
    samples.reduce((state, [at, load]) => updateActivation(state, load, at), RELAYS_OFF).isOn;

  it('is turned on by a busy or a late process, not by one sample', (t) => {
    t.false(isOnAfter([[0, BUSY]]));
    t.true(isOnAfter([0, 200, 400].map((at) => [at, BUSY] as const)));
    t.true(isOnAfter([0, 200, 400].map((at) => [at, LATE] as const)));
    t.false(
      isOnAfter([
        [0, BUSY],
        [200, MIDDLE],
        [400, BUSY],
      ] as const),
    );
  });

  it('stays on at half load and is turned off after five seconds with spare processor', (t) => {
    const on = [0, 400].map((at) => [at, BUSY] as const);
    t.true(isOnAfter([...on, [500, MIDDLE], [9_000, MIDDLE]]));
    t.true(isOnAfter([...on, [500, IDLE], [5_400, IDLE]]));
    t.false(isOnAfter([...on, [500, IDLE], [5_500, IDLE]]));
  });

  it('stays off for a process without load', (t) => {
    t.false(isOnAfter(Array.from({ length: 100 }, (_, index) => [index * 100, IDLE] as const)));
  });
});

describe('queue of a relay', ({ it }) => {
  const LIMITS = { total: 4, atOnce: 2, ageMilliseconds: 500 };

  it('refuses a batch beyond its bound as a whole', (t) => {
    const queue = createOrderQueue<number>(LIMITS);
    t.true(queue.add([1, 2, 3], 0));
    t.false(queue.add([4, 5], 0));
    t.true(queue.add([4], 0));
  });

  it('carries out a bounded number at once, in order', (t) => {
    const queue = createOrderQueue<number>(LIMITS);
    queue.add([1, 2, 3], 0);
    t.deepEqual(queue.take(0), { due: [1, 2], dropped: [] });
    t.deepEqual(queue.take(0), { due: [], dropped: [] });
    queue.finish();
    t.deepEqual(queue.take(0), { due: [3], dropped: [] });
  });

  it('drops orders that have waited longer than the time limit', (t) => {
    const queue = createOrderQueue<number>(LIMITS);
    queue.add([1, 2, 3], 0);
    queue.take(0);
    queue.add([4], 400);
    queue.finish();
    t.deepEqual(queue.take(501), { due: [4], dropped: [3] });
  });
});
