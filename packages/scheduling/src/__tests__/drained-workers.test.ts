import { describe } from '@baobabdeck/test-tools';
import type { StepRequest, TaskKey } from '../model/job.js';
import type { ServiceEffect } from '../service/effect.js';
import type { Run } from '../service/state.js';
import { findTask } from '../service/tasks.js';
import { createServiceHarness, effectsOf, jobOf, type ServiceHarness } from './service-harness.js';

/** A lasting step; the label ties its tasks to the workers that have it. */
function lastingStep(milliCores: number, fields: Partial<StepRequest> = {}): Partial<StepRequest> {
  return { isLasting: true, needs: { milliCores, memoryMegabytes: 1_024, accelerators: 0 }, ...fields };
}

let sequence = 0;

function requestHosts(harness: ServiceHarness, workerIds: readonly string[]): readonly ServiceEffect[] {
  sequence += 1;
  const releases = workerIds.map((workerId) => ({
    hostId: `host-of-${workerId}`,
    purpose: 'maintenance' as const,
  }));
  return harness.dispatch({ kind: 'hosts-wished', releases, returns: [], epoch: 1, sequence });
}

function runsOn(harness: ServiceHarness, workerId: string): readonly { task: TaskKey; run: Run }[] {
  const tasks = [...(harness.state().workers.get(workerId)?.tasks.values() ?? [])];
  return tasks.flatMap((task) =>
    (findTask(harness.state(), task)?.runs ?? [])
      .filter((run) => run.workerId === workerId)
      .map((run) => ({ task, run })),
  );
}

function jobIdsOn(harness: ServiceHarness, workerId: string): readonly string[] {
  return runsOn(harness, workerId).map(({ task }) => task.jobId);
}

/** Reports runs that are being stopped as stopped, and all others as running at full speed. */
function reportWorker(harness: ServiceHarness, workerId: string): void {
  const runs = runsOn(harness, workerId);
  const processed = harness.state().workers.get(workerId)?.processedEnd ?? 0;
  harness.report(workerId, {
    running: runs
      .filter(({ run }) => run.phase !== 'stopping')
      .map(({ task, run }) => ({ task, run: run.run, checkpoint: '', percent: 100, load: null })),
    ended: runs
      .filter(({ run }) => run.phase === 'stopping')
      .map(({ task, run }, index) => ({
        number: processed + index + 1,
        task,
        run: run.run,
        end: 'stopped' as const,
        checkpoint: '',
      })),
  });
}

function reportAll(harness: ServiceHarness): void {
  harness.confirmStarts();
  harness.advance(10);
  [...harness.state().workers.keys()].forEach((workerId) => reportWorker(harness, workerId));
}

const STEP_MILLISECONDS = 100;

/** Lets time pass while the same hosts are requested again and again, and all workers report. */
function passTime(harness: ServiceHarness, milliseconds: number, workerIds: readonly string[]): void {
  for (let passed = 0; passed < milliseconds; passed += STEP_MILLISECONDS) {
    harness.advance(STEP_MILLISECONDS);
    requestHosts(harness, workerIds);
    reportAll(harness);
  }
}

function countWaiting(harness: ServiceHarness): number {
  return harness.state().waiting.total.tasks;
}

/** Two workers with one large task each and one small task each that can run on them alone; a third one is empty. */
function createCrowdedHarness(): ServiceHarness {
  const harness = createServiceHarness();
  harness.addWorkers(['w1', 'w2'], { labels: ['old'] });
  harness.accept(
    jobOf('large', [lastingStep(2_500, { taskCount: 2 })]),
    jobOf('tied', [lastingStep(1_000, { taskCount: 2, requiredLabel: 'old', maximumPerWorker: 1 })]),
  );
  reportAll(harness);
  harness.addWorkers(['spare'], {
    capacity: { milliCores: 2_600, memoryMegabytes: 8_192, accelerators: 0 },
  });
  return harness;
}

describe('lasting tasks on workers that are being drained', ({ it }) => {
  it('stops no more lasting tasks than fit on the other workers', (t) => {
    const harness = createCrowdedHarness();
    const stops = effectsOf(requestHosts(harness, ['w1', 'w2']), 'stop-run');
    t.deepEqual(
      stops.map(({ address }) => address.task.jobId),
      ['large'],
    );
  });

  it('stops no further task for the capacity that a task being stopped will take', (t) => {
    const harness = createCrowdedHarness();
    requestHosts(harness, ['w1']);
    harness.advance(STEP_MILLISECONDS);
    t.deepEqual(effectsOf(requestHosts(harness, ['w1', 'w2']), 'stop-run'), []);
  });

  it('leaves no lasting task waiting beside free capacity while hosts are drained', (t) => {
    const harness = createCrowdedHarness();
    passTime(harness, 3_000, ['w1', 'w2']);
    t.is(countWaiting(harness), 0);
    t.deepEqual(jobIdsOn(harness, 'spare'), ['large']);
  });

  it('starts a waiting lasting task although only a worker whose drain is stalled has free capacity', (t) => {
    const harness = createServiceHarness();
    harness.addWorkers(['w1'], { labels: ['old'] });
    harness.accept(jobOf('tied', [lastingStep(1_000, { requiredLabel: 'old' })]));
    reportAll(harness);
    passTime(harness, 300, ['w1']);
    harness.accept(jobOf('waiting', [lastingStep(2_000)]));
    passTime(harness, 3_000, ['w1']);
    t.deepEqual(jobIdsOn(harness, 'w1'), ['tied', 'waiting']);
  });

  it('starts nothing on a worker that only waits for tasks that end by themselves', (t) => {
    const harness = createServiceHarness();
    harness.addWorkers(['w1']);
    harness.accept(jobOf('short', [{ estimatedMilliseconds: 10_000 }]));
    reportAll(harness);
    requestHosts(harness, ['w1']);
    harness.accept(jobOf('waiting', [lastingStep(2_000)]));
    passTime(harness, 5_000, ['w1']);
    t.deepEqual(jobIdsOn(harness, 'w1'), ['short']);
  });

  it('does not stop other tasks again and again on a worker whose drain is stalled', (t) => {
    const harness = createServiceHarness();
    harness.addWorkers(['w1'], { labels: ['old'] });
    harness.accept(jobOf('tied', [lastingStep(1_000, { requiredLabel: 'old' })]));
    reportAll(harness);
    passTime(harness, 3_000, ['w1']);
    harness.accept(jobOf('short', [{ estimatedMilliseconds: 60_000 }]));
    passTime(harness, 9_000, ['w1']);
    t.deepEqual(
      runsOn(harness, 'w1').map(({ task, run }) => [task.jobId, run.run]),
      [
        ['tied', 1],
        ['short', 1],
      ],
    );
  });

  it('drains a worker again once its lasting tasks fit elsewhere', (t) => {
    const harness = createCrowdedHarness();
    passTime(harness, 3_000, ['w1', 'w2']);
    harness.addWorkers(['w3', 'w4'], { labels: ['old'] });
    passTime(harness, 3_000, ['w1', 'w2']);
    t.deepEqual([jobIdsOn(harness, 'w1'), jobIdsOn(harness, 'w2')], [[], []]);
    t.is(countWaiting(harness), 0);
  });

  it('reports how many workers with capacity for a waiting lasting task are being drained', (t) => {
    const harness = createServiceHarness();
    harness.addWorkers(['w1']);
    harness.accept(jobOf('short', [{ estimatedMilliseconds: 10_000 }]));
    reportAll(harness);
    requestHosts(harness, ['w1']);
    harness.accept(jobOf('waiting', [lastingStep(2_000)]));
    const reports: unknown[] = [];
    for (let passed = 0; passed < 4_500; passed += STEP_MILLISECONDS) {
      requestHosts(harness, ['w1']);
      const logged = effectsOf(harness.advance(STEP_MILLISECONDS), 'log');
      reports.push(...logged.filter(({ decision }) => decision === 'lastingTaskWaits'));
      reportAll(harness);
    }
    t.like(reports[0], {
      fields: { jobId: 'waiting', waitingTasks: 1, leavingWorkers: 1, eligibleWorkers: 0 },
    });
  });
});
