import { describe } from '@baobabdeck/test-tools';
import type { Store, WorkerOrders } from '../../ports/index.js';
import { measureStore } from '../measured-store.js';
import { measureWorkers } from '../measured-workers.js';
import { NO_MEASURES } from '../no-measures.js';
import { createManualClock } from '../../__tests__/manual-clock.js';
import { PUBLISHED_LIMITS } from '../../__tests__/published-limits.js';

const PARTITION = { topic: 'journal', partition: 0 };

describe('measured calls', ({ it }) => {
  it('measures calls to the store with outcome, duration and bytes sent', async (t) => {
    const clock = createManualClock();
    const measuredCalls: unknown[] = [];
    const failed = { kind: 'failed' as const, detail: 'no' };
    const innerStore: Store = {
      append: async () => {
        clock.block(12);
        return Promise.resolve({ kind: 'stored', firstOffset: 0, nextOffset: 1 });
      },
      read: () => Promise.resolve(failed),
      readNewest: () => Promise.resolve(failed),
      join: () => Promise.resolve(failed),
      leave: () => Promise.resolve(),
      listOwners: () => Promise.resolve(failed),
      partitionCount: 12,
      limits: PUBLISHED_LIMITS,
    };
    const store = measureStore(innerStore, clock, {
      ...NO_MEASURES,
      storeCall: (...row) => measuredCalls.push(row),
    });
    const records = [
      { key: 'job', value: new Uint8Array(97) },
      { key: 'gone', value: null },
    ];
    await store.append({ partition: PARTITION, records, producer: null, expectedEnd: null });
    await store.read(PARTITION, 0, 0);
    await store.read(PARTITION, 0, 1_000);
    t.deepEqual(measuredCalls, [
      ['append', 'stored', 12, 104],
      ['read', 'failed', 0, 0],
      ['read-waiting', 'failed', 0, 0],
    ]);
  });

  it('measures orders to workers with outcome and duration', async (t) => {
    const clock = createManualClock();
    const measuredCalls: unknown[] = [];
    const innerWorkers: WorkerOrders = {
      renewLease: () => Promise.resolve({ kind: 'fenced' }),
      startRun: async () => {
        clock.block(9);
        return Promise.resolve({ outcome: 'no-room', clockMilliseconds: null });
      },
      stopRun: () => Promise.resolve('accepted'),
      paceRun: () => Promise.resolve('gone'),
      closeConnections: () => undefined,
    };
    const workers = measureWorkers(innerWorkers, clock, {
      ...NO_MEASURES,
      workerCall: (...row) => measuredCalls.push(row),
    });
    const orderHead = { workerId: 'w', address: 'a', fencingEpoch: 1 };
    const task = { jobId: 'j', occurrence: 0, step: 0, index: 0 };
    await workers.renewLease({ ...orderHead, leaseUntil: null, acknowledgedEnd: 0, waitMilliseconds: 0 });
    await workers.startRun({
      ...orderHead,
      task,
      run: 1,
      specification: '',
      leaseUntil: 0,
      checkpoint: '',
      ticket: null,
    });
    await workers.stopRun({ ...orderHead, task, run: 1 });
    t.deepEqual(measuredCalls, [
      ['renew-lease', 'fenced', 0],
      ['start-run', 'no-room', 9],
      ['stop-run', 'accepted', 0],
    ]);
  });
});
