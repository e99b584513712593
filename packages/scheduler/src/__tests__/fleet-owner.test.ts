import { describe } from '@baobabdeck/test-tools';
import type { HostListing, HostOrderOutcome } from '@baobabdeck/scheduling';
import { encodeFleetRecord } from '../fleet/fleet-codec.js';
import { createFleetOwner, type FleetOwner } from '../fleet/fleet-owner.js';
import { NO_MEASURES } from '../measure/no-measures.js';
import type { LogPartition, Store } from '../ports/index.js';
import { createHandClock, type HandClock } from './hand-clock.js';

const INBOX: LogPartition = { topic: 'keyed.inbox.0', partition: 0 };

const HOST: HostListing = {
  hostId: 'h1',
  pool: 'off',
  state: 'up',
  dataCentre: 'west',
  rack: 'r1',
  capacity: { milliCores: 1_000, memoryMegabytes: 1_000, accelerators: 0 },
  workerId: null,
};

/** A store whose journal holds an order of an earlier owner that was not answered. */
function createStore(clock: HandClock): Store {
  const inherited = encodeFleetRecord({
    kind: 'host-ordered',
    hostId: 'h1',
    what: { kind: 'move', pool: 'quotes' },
    isAccepted: false,
    recordedAt: clock.now(),
  });
  const failed = { kind: 'failed' as const, detail: 'not asked for' };
  return {
    append: () => Promise.resolve({ kind: 'stored', firstOffset: 0, nextOffset: 1 }),
    read: async () => {
      await clock.sleep(200);
      return { kind: 'read', records: [], nextOffset: 1 };
    },
    readNewest: ({ topic }) =>
      Promise.resolve({
        kind: 'read',
        records: topic === INBOX.topic ? [] : [{ ...inherited, offset: 0 }],
        nextOffset: 1,
      }),
    join: () => Promise.resolve(failed),
    leave: () => Promise.resolve(),
    listOwners: () => Promise.resolve(failed),
    partitionCount: 1,
  };
}

function createOwner(clock: HandClock, order: () => HostOrderOutcome): FleetOwner {
  return createFleetOwner({
    place: INBOX,
    member: 'm1',
    nodeName: 'n1',
    parameters: { holderLeaseMilliseconds: 3_000, ownershipProofMilliseconds: 2_000 },
    store: createStore(clock),
    hosts: {
      list: () => Promise.resolve({ kind: 'listed', hosts: [HOST] }),
      move: () => Promise.resolve(order()),
      maintain: () => Promise.resolve('invalid'),
    },
    feed: {
      readNewest: () => Promise.resolve({ kind: 'failed', detail: 'not asked for' }),
      read: () => Promise.resolve({ kind: 'failed', detail: 'not asked for' }),
      writeWaveStatus: () => Promise.resolve(true),
    },
    clock,
    measures: NO_MEASURES,
    writeEvent: () => undefined,
    configuration: () => ({
      version: 1,
      queues: [],
      services: [{ name: 'off', isStandby: true, refusesOverload: true }],
      limits: {
        headerBytes: 1_024,
        bodyBytes: 1_024,
        headerTimeoutMilliseconds: 1_000,
        idleTimeoutMilliseconds: 1_000,
      },
    }),
    waves: () => [],
    askService: () => Promise.resolve(null),
    onSuperseded: () => undefined,
  });
}

describe('the owner of the fleet', ({ it }) => {
  it('gives no order after it stood still, until its ownership is proven again', async (t) => {
    const clock = createHandClock();
    let orders = 0;
    const owner = createOwner(clock, () => {
      orders += 1;
      return orders === 1 ? 'throttled' : 'accepted';
    });
    const live = async (milliseconds: number): Promise<void> => {
      for (let lived = 0; lived < milliseconds; lived += 50) await clock.pass(50);
    };
    for (let lived = 0; lived < 10_000 && orders === 0; lived += 50) await live(50);
    t.is(orders, 1);
    const FROZEN_MILLISECONDS = 4_000;
    await clock.pass(FROZEN_MILLISECONDS);
    await clock.pass(50);
    t.is(orders, 1);
    await live(1_000);
    t.is(orders, 2);
    void owner.stop();
  });
});
