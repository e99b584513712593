import { describe } from '@baobabdeck/test-tools';
import type { HostListing, HostOrderOutcome } from '@baobabdeck/scheduling';
import { encodeFleetRecord } from '../fleet/fleet-codec.js';
import { createFleetOwner, type FleetOwner } from '../fleet/fleet-owner.js';
import { NO_MEASURES } from '../measure/no-measures.js';
import type { LogPartition, Store } from '../ports/index.js';
import { createManualClock, type ManualClock } from './manual-clock.js';
import { PUBLISHED_LIMITS } from './published-limits.js';

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

/** Creates a store whose journal holds an unanswered order of an earlier owner. */
function createStore(clock: ManualClock): Store {
  const unansweredOrder = encodeFleetRecord({
    kind: 'host-ordered',
    hostId: 'h1',
    what: { kind: 'move', pool: 'quotes' },
    isAccepted: false,
    recordedAt: clock.now(),
  });
  const failed = { kind: 'failed' as const, detail: 'not expected' };
  return {
    append: () => Promise.resolve({ kind: 'stored', firstOffset: 0, nextOffset: 1 }),
    read: async () => {
      await clock.sleep(200);
      return { kind: 'read', records: [], nextOffset: 1, hasMore: false };
    },
    readNewest: ({ topic }) =>
      Promise.resolve({
        kind: 'read',
        records: topic === INBOX.topic ? [] : [{ ...unansweredOrder, offset: 0 }],
        nextOffset: 1,
      }),
    join: () => Promise.resolve(failed),
    leave: () => Promise.resolve(),
    listOwners: () => Promise.resolve(failed),
    partitionCount: 1,
    limits: PUBLISHED_LIMITS,
  };
}

function createOwner(clock: ManualClock, order: () => HostOrderOutcome): FleetOwner {
  return createFleetOwner({
    inbox: INBOX,
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
      readNewest: () => Promise.resolve({ kind: 'failed', detail: 'not expected' }),
      read: () => Promise.resolve({ kind: 'failed', detail: 'not expected' }),
      writeWaveStatus: () => Promise.resolve(true),
    },
    clock,
    measures: NO_MEASURES,
    writeEvent: () => undefined,
    configuration: () => ({
      version: 1,
      queues: [],
      services: [{ name: 'off', isStandby: true, refusesOverload: true }],
      workspaces: [],
      limits: {
        headerBytes: 1_024,
        bodyBytes: 1_024,
        headerTimeoutMilliseconds: 1_000,
        idleTimeoutMilliseconds: 1_000,
      },
    }),
    waves: () => [],
    requestServiceReport: () => Promise.resolve(null),
    onSuperseded: () => undefined,
  });
}

describe('fleet owner', ({ it }) => {
  it('sends no order after a pause of the process until its ownership is proven again', async (t) => {
    const clock = createManualClock();
    let orders = 0;
    const owner = createOwner(clock, () => {
      orders += 1;
      return orders === 1 ? 'throttled' : 'accepted';
    });
    const advanceInSteps = async (milliseconds: number): Promise<void> => {
      for (let elapsed = 0; elapsed < milliseconds; elapsed += 50) await clock.advance(50);
    };
    for (let elapsed = 0; elapsed < 10_000 && orders === 0; elapsed += 50) await advanceInSteps(50);
    t.is(orders, 1);
    const PAUSE_MILLISECONDS = 4_000;
    await clock.advance(PAUSE_MILLISECONDS);
    await clock.advance(50);
    t.is(orders, 1);
    await advanceInSteps(1_000);
    t.is(orders, 2);
    void owner.stop();
  });
});
