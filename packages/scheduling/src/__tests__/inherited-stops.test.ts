/** Guards against a drain that ends more tasks of a step than may be absent, because an earlier owner's stops are under way. */
import { describe } from '@baobabdeck/test-tools';
import type { RunningReport } from '../model/worker.js';
import type { ServiceEffect } from '../state/effect.js';
import {
  createServiceHarness,
  effectsOf,
  jobOf,
  keyOf,
  listingOf,
  type ServiceHarness,
} from './service-harness.js';

/** Longest time that a stop takes, as in the parameters of the harness. */
const STOP_MILLISECONDS = 400;
const WORKERS = ['w0', 'w1', 'w2', 'spare'];
const LASTING = ['w0', 'w1', 'w2'];

function rowOf(index: number): RunningReport {
  return { task: keyOf('a', index), run: 1, checkpoint: '', percent: 100, load: null };
}

function reportAtWork(harness: ServiceHarness, index: number): readonly ServiceEffect[] {
  return harness.report(`w${index}`, { running: [rowOf(index)] });
}

/** Requests the host of a worker for maintenance; returns the ids of the workers on which a run is stopped. */
function drain(harness: ServiceHarness, workerId: string, sequence: number): readonly string[] {
  const releases = [{ hostId: `host-of-${workerId}`, purpose: 'maintenance' as const }];
  const effects = harness.dispatch({
    kind: 'host-requests-received',
    releases,
    returns: [],
    epoch: 1,
    sequence,
  });
  return effectsOf(effects, 'stop-run').map(({ address }) => address.workerId);
}

/** Returns the next owner of a service with three lasting tasks of a step, of which one may be absent. */
function createNextOwner(): ServiceHarness {
  const former = createServiceHarness();
  former.addWorkers(WORKERS);
  const step = { taskCount: 3, isLasting: true, maximumAbsent: 1, maximumPerWorker: 1 };
  former.accept(jobOf('a', [step]));
  const workerOf = new Map(
    former.takeStarts().map(({ address }) => [address.task.index, address.workerId] as const),
  );
  if (LASTING.some((workerId, index) => workerOf.get(index) !== workerId)) {
    throw new Error(`Expected one task on each of ${LASTING.join()}, found ${[...workerOf.values()].join()}`);
  }
  const next = createServiceHarness(former.records());
  next.dispatch({ kind: 'workers-listed', workers: WORKERS.map((workerId) => listingOf(workerId)) });
  next.report('spare', {});
  return next;
}

describe('the next owner of a service', ({ it }) => {
  it('stops no lasting task while another one may be ending by a stop of the former owner', (t) => {
    const harness = createNextOwner();
    // The worker of the first task still lists it at full speed, although the former owner has just stopped it.
    LASTING.forEach((_, index) => reportAtWork(harness, index));
    t.deepEqual(drain(harness, 'w1', 1), []);
    harness.advance(STOP_MILLISECONDS / 2);
    LASTING.forEach((_, index) => reportAtWork(harness, index));
    t.deepEqual(drain(harness, 'w1', 2), []);
    const stopped = { number: 1, task: keyOf('a', 0), run: 1, end: 'stopped' as const, checkpoint: '' };
    harness.report('w0', { ended: [stopped] });
    harness.advance(2 * STOP_MILLISECONDS);
    [1, 2].forEach((index) => reportAtWork(harness, index));
    t.deepEqual(drain(harness, 'w1', 3), []);
  });

  it('goes on with the drain once every stop of the former owner has taken effect', (t) => {
    const harness = createNextOwner();
    LASTING.forEach((_, index) => reportAtWork(harness, index));
    harness.advance(STOP_MILLISECONDS + 20);
    LASTING.forEach((_, index) => reportAtWork(harness, index));
    t.deepEqual(drain(harness, 'w1', 1), ['w1']);
  });
});
