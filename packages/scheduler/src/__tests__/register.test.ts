import type { WorkerListing } from '@baobabdeck/scheduling';
import { describe } from '@baobabdeck/test-tools';
import { followRegister } from '../node/register.js';
import type { RegisterReadOutcome } from '../ports/index.js';
import { createManualClock } from './manual-clock.js';
import { createTestBackground } from './test-background.js';

const WORKER: WorkerListing = {
  workerId: 'w1',
  incarnation: 1,
  hostId: 'h1',
  pool: 'quotes',
  address: 'a1',
  dataCentre: 'west',
  isDraining: false,
  capacity: { milliCores: 1_000, memoryMegabytes: 1_000, accelerators: 0 },
  labels: [],
  rack: 'r1',
  clockMilliseconds: 0,
};

const IDLE_MILLISECONDS = 100;
const READ_INTERVAL_MILLISECONDS = 400;

describe('worker register', ({ it }) => {
  it('does not return workers read before a period in which the register was not needed', async (t) => {
    const clock = createManualClock();
    let isNeeded = true;
    let answer: RegisterReadOutcome = {
      kind: 'read',
      changes: [{ kind: 'listed', listing: WORKER }],
      nextOffset: 1,
      hasMore: false,
    };
    const register = followRegister({
      register: { readNewest: () => Promise.resolve(answer), read: () => Promise.resolve(answer) },
      clock,
      background: createTestBackground(clock),
      isNeeded: () => isNeeded,
      onRead: () => undefined,
    });
    await clock.advance(0);
    t.deepEqual(register.workersOf('quotes'), [WORKER]);
    isNeeded = false;
    answer = { kind: 'read', changes: [{ kind: 'removed', workerId: 'w1' }], nextOffset: 2, hasMore: false };
    await clock.advance(READ_INTERVAL_MILLISECONDS);
    await clock.advance(60_000);
    t.is(register.workersOf('quotes'), null);
    isNeeded = true;
    await clock.advance(IDLE_MILLISECONDS);
    t.deepEqual(register.workersOf('quotes'), []);
    register.close();
  });

  it('stops returning workers once the last successful read is older than a second', async (t) => {
    const clock = createManualClock();
    let answer: RegisterReadOutcome = { kind: 'read', changes: [], nextOffset: 1, hasMore: false };
    const register = followRegister({
      register: { readNewest: () => Promise.resolve(answer), read: () => Promise.resolve(answer) },
      clock,
      background: createTestBackground(clock),
      isNeeded: () => true,
      onRead: () => undefined,
    });
    await clock.advance(0);
    answer = { kind: 'failed', detail: 'status 503' };
    await clock.advance(READ_INTERVAL_MILLISECONDS);
    t.deepEqual(register.workersOf('quotes'), []);
    await clock.advance(2 * READ_INTERVAL_MILLISECONDS);
    t.is(register.workersOf('quotes'), null);
    register.close();
  });

  it('returns workers only once every page of its changes is read', async (t) => {
    const clock = createManualClock();
    const pages: readonly RegisterReadOutcome[] = [
      { kind: 'read', changes: [], nextOffset: 1, hasMore: false },
      { kind: 'read', changes: [{ kind: 'listed', listing: WORKER }], nextOffset: 2, hasMore: true },
      { kind: 'failed', detail: 'status 503' },
      { kind: 'read', changes: [{ kind: 'removed', workerId: 'w1' }], nextOffset: 3, hasMore: false },
    ];
    const fromOffsets: number[] = [];
    let reads = 0;
    const nextPage = (): Promise<RegisterReadOutcome> => {
      const page = pages[Math.min(reads, pages.length - 1)];
      reads += 1;
      return Promise.resolve(page ?? { kind: 'failed', detail: 'no page' });
    };
    const found: number[] = [];
    const register = followRegister({
      register: {
        readNewest: nextPage,
        read: (fromOffset) => {
          fromOffsets.push(fromOffset);
          return nextPage();
        },
      },
      clock,
      background: createTestBackground(clock),
      isNeeded: () => true,
      onRead: () => found.push(register.workersOf('quotes')?.length ?? -1),
    });
    await clock.advance(0);
    await clock.advance(READ_INTERVAL_MILLISECONDS);
    await clock.advance(READ_INTERVAL_MILLISECONDS);
    t.deepEqual(fromOffsets, [1, 2, 2]);
    t.deepEqual(found, [0, 0]);
    register.close();
  });

  it('tells of a worker whose capacity or labels have changed while it runs', async (t) => {
    const clock = createManualClock();
    const listings = [
      WORKER,
      { ...WORKER, capacity: { ...WORKER.capacity, memoryMegabytes: 500 } },
      { ...WORKER, labels: ['ssd'] },
      { ...WORKER, labels: ['ssd'], clockMilliseconds: 1_500 },
    ];
    let reads = 0;
    const answer = (): Promise<RegisterReadOutcome> => {
      const listing = listings[Math.min(reads, listings.length - 1)] ?? WORKER;
      reads += 1;
      return Promise.resolve({
        kind: 'read',
        changes: [{ kind: 'listed', listing }],
        nextOffset: reads,
        hasMore: false,
      });
    };
    const revisions: number[] = [];
    const register = followRegister({
      register: { readNewest: answer, read: answer },
      clock,
      background: createTestBackground(clock),
      isNeeded: () => true,
      onRead: () => undefined,
    });
    for (let read = 0; read < listings.length; read += 1) {
      await clock.advance(READ_INTERVAL_MILLISECONDS);
      revisions.push(register.revision());
    }
    const increases = revisions.slice(1).map((revision, index) => revision - (revisions[index] ?? 0));
    t.deepEqual(increases, [1, 1, 0]);
    register.close();
  });
});
