import { describe } from '@baobabdeck/test-tools';
import type { StepRequest } from '../model/job.js';
import { createActingWorkers, INSTANT_TIMES, stoppedJobIds, type ActingWorkers } from './acting-workers.js';
import { createServiceHarness, effectsOf, jobOf, type ServiceHarness } from './service-harness.js';

const STEP_MILLISECONDS = 100;

/** A lasting step; the label ties its tasks to the workers that have it. */
function lastingStep(milliCores: number, fields: Partial<StepRequest> = {}): Partial<StepRequest> {
  return { isLasting: true, needs: { milliCores, memoryMegabytes: 1_024, accelerators: 0 }, ...fields };
}

function countWaiting(harness: ServiceHarness): number {
  return harness.state().waiting.total.tasks;
}

interface Scene {
  readonly harness: ServiceHarness;
  readonly workers: ActingWorkers;
}

function createScene(): Scene {
  const harness = createServiceHarness();
  return { harness, workers: createActingWorkers(harness, INSTANT_TIMES) };
}

/** Two workers with one large task each and one small task each that can run on them alone; a third one is empty. */
function createCrowdedScene(): Scene {
  const scene = createScene();
  const { harness, workers } = scene;
  harness.addWorkers(['w1', 'w2'], { labels: ['old'] });
  harness.accept(
    jobOf('large', [lastingStep(2_500, { taskCount: 2 })]),
    jobOf('tied', [lastingStep(1_000, { taskCount: 2, requiredLabel: 'old', maximumPerWorker: 1 })]),
  );
  workers.pass(STEP_MILLISECONDS);
  harness.addWorkers(['spare'], {
    capacity: { milliCores: 2_600, memoryMegabytes: 8_192, accelerators: 0 },
  });
  return scene;
}

describe('lasting tasks on workers that are being drained', ({ it }) => {
  it('stops no more lasting tasks than fit on the other workers', (t) => {
    const { workers } = createCrowdedScene();
    t.deepEqual(stoppedJobIds(workers.requestHosts(['w1', 'w2'])), ['large']);
  });

  it('stops no further task for the capacity that a task being stopped will take', (t) => {
    const { harness, workers } = createCrowdedScene();
    workers.requestHosts(['w1']);
    harness.advance(STEP_MILLISECONDS);
    t.deepEqual(stoppedJobIds(workers.requestHosts(['w1', 'w2'])), []);
  });

  it('leaves no lasting task waiting beside free capacity while hosts are drained', (t) => {
    const { harness, workers } = createCrowdedScene();
    workers.pass(3_000, ['w1', 'w2']);
    t.is(countWaiting(harness), 0);
    t.deepEqual(workers.jobIdsOn('spare'), ['large']);
  });

  it('starts a waiting lasting task although only a worker whose drain is stalled has free capacity', (t) => {
    const { harness, workers } = createScene();
    harness.addWorkers(['w1'], { labels: ['old'] });
    harness.accept(jobOf('tied', [lastingStep(1_000, { requiredLabel: 'old' })]));
    workers.pass(STEP_MILLISECONDS);
    workers.pass(300, ['w1']);
    harness.accept(jobOf('waiting', [lastingStep(2_000)]));
    workers.pass(3_000, ['w1']);
    t.deepEqual(workers.jobIdsOn('w1'), ['tied', 'waiting']);
  });

  it('starts nothing on a worker that only waits for tasks that end by themselves', (t) => {
    const { harness, workers } = createScene();
    harness.addWorkers(['w1']);
    harness.accept(jobOf('short', [{ estimatedMilliseconds: 10_000 }]));
    workers.pass(STEP_MILLISECONDS);
    workers.requestHosts(['w1']);
    harness.accept(jobOf('waiting', [lastingStep(2_000)]));
    workers.pass(5_000, ['w1']);
    t.deepEqual(workers.jobIdsOn('w1'), ['short']);
  });

  it('does not stop other tasks again and again on a worker whose drain is stalled', (t) => {
    const { harness, workers } = createScene();
    harness.addWorkers(['w1'], { labels: ['old'] });
    harness.accept(jobOf('tied', [lastingStep(1_000, { requiredLabel: 'old' })]));
    workers.pass(STEP_MILLISECONDS);
    workers.pass(3_000, ['w1']);
    harness.accept(jobOf('short', [{ estimatedMilliseconds: 60_000 }]));
    t.deepEqual(stoppedJobIds(workers.pass(9_000, ['w1'])), []);
    t.deepEqual(workers.jobIdsOn('w1'), ['short', 'tied']);
  });

  it('drains a worker again once its lasting tasks fit elsewhere', (t) => {
    const { harness, workers } = createCrowdedScene();
    workers.pass(3_000, ['w1', 'w2']);
    harness.addWorkers(['w3', 'w4'], { labels: ['old'] });
    workers.pass(3_000, ['w1', 'w2']);
    t.deepEqual([workers.jobIdsOn('w1'), workers.jobIdsOn('w2')], [[], []]);
    t.is(countWaiting(harness), 0);
  });

  it('reports how many workers with capacity for a waiting lasting task are being drained', (t) => {
    const { harness, workers } = createScene();
    harness.addWorkers(['w1']);
    harness.accept(jobOf('short', [{ estimatedMilliseconds: 10_000 }]));
    workers.pass(STEP_MILLISECONDS);
    workers.requestHosts(['w1']);
    harness.accept(jobOf('waiting', [lastingStep(2_000)]));
    const reports: unknown[] = [];
    for (let passed = 0; passed < 4_500; passed += STEP_MILLISECONDS) {
      workers.requestHosts(['w1']);
      const logged = effectsOf(harness.advance(STEP_MILLISECONDS), 'log');
      reports.push(...logged.filter(({ decision }) => decision === 'lastingTaskWaits'));
      workers.pass(STEP_MILLISECONDS);
    }
    t.like(reports[0], {
      fields: { jobId: 'waiting', waitingTasks: 1, leavingWorkers: 1, eligibleWorkers: 0 },
    });
  });
});
