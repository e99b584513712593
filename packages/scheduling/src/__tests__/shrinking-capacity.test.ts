import { runSteps } from '@baobabdeck/types';
import { describe } from '@baobabdeck/test-tools';
import { PLAIN_STEP } from '../model/job.js';
import type { RunningReport, WorkerListing } from '../model/worker.js';
import type { ServiceEffect } from '../state/effect.js';
import { reduceService } from '../service/reduce.js';
import {
  CAPACITY,
  createServiceHarness,
  effectsOf,
  jobOf,
  keyOf,
  listingOf,
  startsOf,
  type ServiceHarness,
} from './service-harness.js';

function listCapacity(harness: ServiceHarness, milliCores: number): readonly ServiceEffect[] {
  const listing: WorkerListing = listingOf('w1', { capacity: { ...CAPACITY, milliCores } });
  return harness.dispatch({ kind: 'workers-listed', workers: [listing] });
}

function rowOf(jobId: string, index: number): RunningReport {
  return { task: keyOf(jobId, index), run: 1, checkpoint: '', percent: 100, load: null };
}

/** Starts four tasks on a worker with room for four, which then has room for two, while two more tasks wait. */
function createShrunkWorker(): ServiceHarness {
  const harness = createServiceHarness();
  harness.addWorkers(['w1']);
  harness.accept(jobOf('a', [{ taskCount: 4 }]));
  harness.confirmStarts();
  listCapacity(harness, 2 * PLAIN_STEP.needs.milliCores);
  harness.accept(jobOf('b', [{ taskCount: 2 }]));
  harness.advance(100);
  return harness;
}

function reportRunning(harness: ServiceHarness, ended: readonly number[]): readonly ServiceEffect[] {
  const running = [0, 1, 2, 3].filter((index) => !ended.includes(index));
  return harness.report('w1', {
    running: running.map((index) => rowOf('a', index)),
    ended: ended.map((index, position) => ({
      number: position + 1,
      task: keyOf('a', index),
      run: 1,
      end: 'done' as const,
      checkpoint: '',
    })),
  });
}

describe('a worker whose capacity changes while it runs tasks', ({ it }) => {
  it('gets no task above its new capacity', (t) => {
    const harness = createShrunkWorker();
    t.deepEqual(startsOf(harness.advance(2_000)), []);
    t.deepEqual(startsOf(reportRunning(harness, [0])), []);
    t.deepEqual(startsOf([...reportRunning(harness, [0, 1]), ...harness.advance(2_000)]), []);
  });

  it('gets tasks again once enough tasks have ended', (t) => {
    const harness = createShrunkWorker();
    t.deepEqual(startsOf(reportRunning(harness, [0, 1, 2])), ['w1']);
    harness.confirmStarts();
    t.deepEqual(startsOf(harness.advance(2_000)), []);
  });

  it('gets no task while the tasks above its capacity are being stopped', (t) => {
    const harness = createShrunkWorker();
    const stops = effectsOf(harness.cancel('a'), 'stop-run');
    t.is(stops.length, 4);
    stops.forEach(({ address }) => harness.dispatch({ kind: 'stop-settled', address, outcome: 'accepted' }));
    t.deepEqual(startsOf(harness.advance(100)), []);
    const running = [0, 1, 2, 3].map((index) => rowOf('a', index));
    t.deepEqual(startsOf(harness.report('w1', { running })), []);
    harness.advance(100);
    t.is(startsOf(harness.report('w1', {})).length, 2);
  });

  it('gets tasks again at once when its capacity grows', (t) => {
    const harness = createShrunkWorker();
    t.deepEqual(startsOf(listCapacity(harness, 5 * PLAIN_STEP.needs.milliCores)), ['w1']);
  });

  it('gets no start of a task that was placed before its capacity shrank', (t) => {
    const harness = createServiceHarness();
    harness.addWorkers(['w1']);
    const before = harness.state();
    const common = { at: before.now, timeOfDay: before.timeOfDay };
    const request = jobOf('a', [{ taskCount: 4 }]);
    const placed = runSteps(
      reduceService(before, {
        ...common,
        kind: 'records-read',
        records: [{ offset: 1, record: { kind: 'job-accepted', request } }],
        askedAt: before.now,
      }),
    );
    const [append] = effectsOf(placed.effects, 'store-records');
    if (append === undefined) throw new Error('Expected an append of the placed runs, found none');
    const capacity = { ...CAPACITY, milliCores: PLAIN_STEP.needs.milliCores };
    const shrunk = runSteps(
      reduceService(placed.state, {
        ...common,
        kind: 'workers-listed',
        workers: [listingOf('w1', { capacity })],
      }),
    );
    const stored = runSteps(
      reduceService(shrunk.state, {
        ...common,
        kind: 'records-stored',
        appendId: append.appendId,
        askedAt: before.now,
      }),
    );
    t.is(startsOf(stored.effects).length, 1);
  });

  const settleFirstStart = (outcome: 'late' | 'unanswered') => {
    const harness = createServiceHarness();
    harness.addWorkers(['w1']);
    const [start] = effectsOf(harness.accept(jobOf('a', [{ taskCount: 4 }])), 'start-run');
    if (start === undefined) throw new Error('Expected a start, found none');
    listCapacity(harness, PLAIN_STEP.needs.milliCores);
    const { address } = start;
    return harness.dispatch({ kind: 'start-settled', address, outcome, clockMilliseconds: null });
  };

  it('gets no second order to start a task for which it has too little capacity by now', (t) => {
    t.deepEqual(startsOf(settleFirstStart('late')), []);
    const unanswered = settleFirstStart('unanswered');
    t.deepEqual(startsOf(unanswered), []);
    t.is(effectsOf(unanswered, 'stop-run').length, 1);
  });
});
