import { describe } from '@baobabdeck/test-tools';
import type { Store, WorkerOrders } from '../../ports/index.js';
import { measureStore } from '../measured-store.js';
import { measureWorkers } from '../measured-workers.js';
import { NO_MEASURES } from '../no-measures.js';
import { createHandClock } from '../../__tests__/hand-clock.js';

const PLACE = { topic: 'journal', partition: 0 };

describe('the calls of a process', ({ it }) => {
  it('to the store are measured with how they ended and what they sent', async (t) => {
    const clock = createHandClock();
    const taken: unknown[] = [];
    const failed = { kind: 'failed' as const, detail: 'no' };
    const plain: Store = {
      append: async () => {
        clock.work(12);
        return Promise.resolve({ kind: 'stored', firstOffset: 0, nextOffset: 1 });
      },
      read: () => Promise.resolve(failed),
      readNewest: () => Promise.resolve(failed),
      join: () => Promise.resolve(failed),
      leave: () => Promise.resolve(),
      listOwners: () => Promise.resolve(failed),
      partitionCount: 12,
    };
    const store = measureStore(plain, clock, { ...NO_MEASURES, storeCall: (...row) => taken.push(row) });
    const records = [
      { key: 'job', value: new Uint8Array(97) },
      { key: 'gone', value: null },
    ];
    await store.append({ partition: PLACE, records, producer: null, expectedEnd: null });
    await store.read(PLACE, 0, 0);
    await store.read(PLACE, 0, 1_000);
    t.deepEqual(taken, [
      ['append', 'stored', 12, 104],
      ['read', 'failed', 0, 0],
      ['read-waiting', 'failed', 0, 0],
    ]);
  });

  it('to workers are measured with how they ended', async (t) => {
    const clock = createHandClock();
    const taken: unknown[] = [];
    const plain: WorkerOrders = {
      renewLease: () => Promise.resolve({ kind: 'fenced' }),
      startRun: async () => {
        clock.work(9);
        return Promise.resolve({ outcome: 'no-room', clockMilliseconds: null });
      },
      stopRun: () => Promise.resolve('accepted'),
      closeConnections: () => undefined,
    };
    const workers = measureWorkers(plain, clock, { ...NO_MEASURES, workerCall: (...row) => taken.push(row) });
    const head = { workerId: 'w', address: 'a', fencingEpoch: 1 };
    const task = { jobId: 'j', occurrence: 0, step: 0, index: 0 };
    await workers.renewLease({ ...head, leaseUntil: null, acknowledgedEnd: 0, waitMilliseconds: 0 });
    await workers.startRun({
      ...head,
      task,
      run: 1,
      specification: '',
      leaseUntil: 0,
      checkpoint: '',
      ticket: null,
    });
    await workers.stopRun({ ...head, task, run: 1 });
    t.deepEqual(taken, [
      ['renew-lease', 'fenced', 0],
      ['start-run', 'no-room', 9],
      ['stop-run', 'accepted', 0],
    ]);
  });
});
