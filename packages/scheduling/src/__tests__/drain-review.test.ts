import { describe } from '@baobabdeck/test-tools';
import type { StepRequest } from '../model/job.js';
import type { Resources } from '../model/resources.js';
import { selectServiceReport } from '../service/demand.js';
import { INSTANT_TIMES, createActingWorkers, stoppedJobIds } from './acting-workers.js';
import { CAPACITY, createServiceHarness, jobOf, type ServiceHarness } from './service-harness.js';

function needsOf(milliCores: number, memoryMegabytes = 100): Resources {
  return { milliCores, memoryMegabytes, accelerators: 0 };
}

/** A lasting step of one task. */
function lastingStep(needs: Resources, fields: Partial<StepRequest> = {}): Partial<StepRequest> {
  return { isLasting: true, needs, ...fields };
}

/** A step of one task that lasts for a minute and saves no checkpoints. */
function longStep(needs: Resources, fields: Partial<StepRequest> = {}): Partial<StepRequest> {
  return { estimatedMilliseconds: 60_000, needs, ...fields };
}

function capacityOf(milliCores: number, memoryMegabytes = CAPACITY.memoryMegabytes) {
  return { capacity: { milliCores, memoryMegabytes, accelerators: 0 } };
}

/** Time from the end of a lasting task's run until it must run again if there is capacity for it. */
const LASTING_WAIT_MILLISECONDS = 9_000;

/** Time for which any work may wait beside free capacity. */
const WAIT_MILLISECONDS = 3_000;

function runsOfJob(harness: ServiceHarness, jobId: string): readonly string[] {
  const steps = harness.state().jobs.get(jobId)?.occurrences.get(0)?.steps ?? [];
  return steps.flatMap(({ tasks }) =>
    tasks.flatMap(({ runs }) => runs.filter(({ phase }) => phase === 'running').map((run) => run.workerId)),
  );
}

describe('capacity for lasting tasks while hosts are drained', ({ it }) => {
  it('places no other task in the capacity for which a lasting task is being stopped', (t) => {
    const harness = createServiceHarness();
    const workers = createActingWorkers(harness, INSTANT_TIMES);
    harness.addWorkers(['w1']);
    harness.accept(
      jobOf('lasting', [lastingStep(needsOf(1_000))]),
      jobOf('long', [longStep(needsOf(1_000))]),
    );
    workers.pass(300);
    harness.addWorkers(['spare'], capacityOf(1_100));
    t.deepEqual(stoppedJobIds(workers.requestHosts(['w1'])), ['lasting']);
    harness.accept(jobOf('arrival', [longStep(needsOf(1_000))]));
    workers.pass(WAIT_MILLISECONDS, ['w1']);
    t.deepEqual(runsOfJob(harness, 'lasting'), ['spare']);
  });

  it('starts a waiting lasting task although the only worker with capacity makes slow progress with its drain', (t) => {
    const harness = createServiceHarness();
    const workers = createActingWorkers(harness, {
      ...INSTANT_TIMES,
      startupMilliseconds: 700,
      stopMilliseconds: 400,
    });
    harness.addWorkers(['w1']);
    const replicated = lastingStep(needsOf(100), { taskCount: 12, maximumAbsent: 1 });
    harness.accept(jobOf('replicated', [replicated]));
    workers.pass(2_000);
    harness.addWorkers(['spare'], capacityOf(4_000, 2_000));
    workers.pass(300, ['w1']);
    harness.accept(jobOf('large', [lastingStep(needsOf(100, 3_000))]));
    workers.pass(LASTING_WAIT_MILLISECONDS, ['w1']);
    t.deepEqual(runsOfJob(harness, 'large'), ['w1']);
  });

  it('starts a waiting lasting task although only workers that wait for other tasks have capacity', (t) => {
    const harness = createServiceHarness();
    const workers = createActingWorkers(harness, {
      ...INSTANT_TIMES,
      runMilliseconds: (jobId) => (jobId === 'short' ? 6_500 : Infinity),
    });
    harness.addWorkers(['w1']);
    harness.addWorkers(['w2'], { labels: ['second'] });
    harness.accept(
      jobOf('long', [longStep(needsOf(1_000), { taskCount: 2, maximumPerWorker: 1 })]),
      jobOf('short', [longStep(needsOf(1_000), { taskCount: 3, requiredLabel: 'second' })]),
    );
    workers.pass(300, ['w1']);
    harness.accept(jobOf('lasting', [lastingStep(needsOf(1_000))]));
    // The first worker has free capacity all the while; the second one from the end of the short tasks on.
    workers.pass(5_000, ['w1']);
    workers.pass(LASTING_WAIT_MILLISECONDS - 5_000, ['w1', 'w2']);
    t.is(runsOfJob(harness, 'lasting').length, 1);
  });

  it('stops no task for capacity that a task of a worker that shuts down will take', (t) => {
    const harness = createServiceHarness();
    const workers = createActingWorkers(harness, INSTANT_TIMES);
    harness.addWorkers(['w1', 'w2'], capacityOf(2_600));
    harness.accept(jobOf('large', [lastingStep(needsOf(2_500), { taskCount: 2 })]));
    workers.pass(300);
    harness.addWorkers(['spare'], capacityOf(2_600));
    harness.dispatch({
      kind: 'workers-listed',
      workers: [...harness.state().workers.values()].map(({ listing }) => ({
        ...listing,
        isDraining: listing.workerId === 'w1',
      })),
    });
    t.is(stoppedJobIds(workers.requestHosts(['w2'])).length, 1);
  });

  it('asks for hosts if lasting tasks on requested hosts fit on no other worker', (t) => {
    const harness = createServiceHarness();
    const workers = createActingWorkers(harness, INSTANT_TIMES);
    harness.addWorkers(['w1', 'w2']);
    const apart = lastingStep(needsOf(100, 8_000), { taskCount: 2, maximumPerWorker: 1 });
    harness.accept(jobOf('large', [apart]));
    workers.pass(3_000, ['w1']);
    t.is(selectServiceReport(harness.state()).missingHosts, 1);
  });

  it('drains a host although other tasks wait for the capacity that its lasting task needs', (t) => {
    const harness = createServiceHarness();
    const workers = createActingWorkers(harness, {
      ...INSTANT_TIMES,
      runMilliseconds: (jobId) => (jobId === 'backlog' ? 1_000 : Infinity),
    });
    harness.addWorkers(['w1'], capacityOf(1_000));
    harness.accept(jobOf('lasting', [lastingStep(needsOf(1_000))]));
    workers.pass(300);
    harness.addWorkers(['w2']);
    harness.accept(jobOf('backlog', [longStep(needsOf(1_000), { taskCount: 200 })]));
    workers.pass(20_000, ['w1']);
    t.deepEqual(runsOfJob(harness, 'lasting'), ['w2']);
  });
});

describe('workers with a stalled drain', ({ it }) => {
  it('get no tasks while their last lasting task is being stopped', (t) => {
    const harness = createServiceHarness();
    const workers = createActingWorkers(harness, { ...INSTANT_TIMES, stopMilliseconds: 3_500 });
    harness.addWorkers(['w1']);
    harness.accept(jobOf('lasting', [lastingStep(needsOf(1_000))]));
    workers.pass(300);
    harness.addWorkers(['spare'], capacityOf(1_000));
    workers.pass(300, ['w1']);
    harness.accept(jobOf('arrival', [longStep(needsOf(2_000))]));
    workers.pass(2_900, ['w1']);
    t.deepEqual(workers.jobIdsOn('w1'), ['lasting']);
  });

  it('do not lose tasks that they took while one lasting task moves and another one stays', (t) => {
    const harness = createServiceHarness();
    const workers = createActingWorkers(harness, INSTANT_TIMES);
    harness.addWorkers(['w1'], { labels: ['old'] });
    harness.accept(
      jobOf('tied', [lastingStep(needsOf(1_000), { requiredLabel: 'old' })]),
      jobOf('movable', [lastingStep(needsOf(1_000))]),
    );
    workers.pass(9_000, ['w1']);
    harness.accept(jobOf('arrival', [longStep(needsOf(1_000))]));
    workers.pass(1_000, ['w1']);
    t.deepEqual(workers.jobIdsOn('w1'), ['arrival', 'movable', 'tied']);
    harness.addWorkers(['spare'], capacityOf(1_000));
    const effects = workers.pass(1_000, ['w1']);
    t.deepEqual(stoppedJobIds(effects), ['movable']);
  });

  it('do not stop a task right after they took it, once their lasting tasks move', (t) => {
    const harness = createServiceHarness();
    const workers = createActingWorkers(harness, INSTANT_TIMES);
    harness.addWorkers(['w1']);
    harness.accept(jobOf('lasting', [lastingStep(needsOf(1_000))]));
    workers.pass(9_000, ['w1']);
    harness.accept(jobOf('arrival', [longStep(needsOf(1_000))]));
    workers.pass(300, ['w1']);
    harness.addWorkers(['spare'], capacityOf(1_000));
    const effects = workers.pass(2_000, ['w1']);
    t.deepEqual(stoppedJobIds(effects), ['lasting']);
  });
});
