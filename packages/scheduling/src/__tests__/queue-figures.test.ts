import { describe } from '@baobabdeck/test-tools';
import { runSteps } from '@baobabdeck/types';
import { selectQueueStatistics } from '../service/queue-statistics.js';
import { reduceService } from '../service/reduce.js';
import { createServiceHarness, jobOf } from './service-harness.js';

describe('queue figures', ({ it }) => {
  it('counts tasks of ready steps that have no worker', (t) => {
    const harness = createServiceHarness();
    harness.addWorkers(['w1']);
    harness.accept(jobOf('a', [{ taskCount: 6 }, { after: [0], taskCount: 3 }]), jobOf('b', [{}]));
    t.like(selectQueueStatistics(harness.state()), {
      activeJobs: 2,
      waitingTasks: 3,
      recordingTasks: 0,
      jobsToRecord: 0,
      workers: 1,
      silentWorkers: 0,
    });
  });

  it('counts placed tasks whose runs are not yet stored', (t) => {
    const harness = createServiceHarness();
    harness.addWorkers(['w1']);
    const state = harness.state();
    const record = { kind: 'job-accepted' as const, request: jobOf('a', [{ taskCount: 6 }]) };
    const { state: unstored } = runSteps(
      reduceService(state, {
        kind: 'records-read',
        records: [{ offset: 1, record }],
        askedAt: state.now,
        at: state.now,
        timeOfDay: state.timeOfDay,
      }),
    );
    t.like(selectQueueStatistics(unstored), { waitingTasks: 2, recordingTasks: 4 });
  });

  it('counts workers that do not answer', (t) => {
    const harness = createServiceHarness();
    harness.addWorkers(['w1', 'w2']);
    const askedAt = harness.state().now;
    harness.dispatch({ kind: 'worker-silent', workerId: 'w1', askedAt });
    harness.advance(2_000);
    harness.dispatch({ kind: 'worker-silent', workerId: 'w1', askedAt: askedAt + 1_500 });
    t.is(selectQueueStatistics(harness.state()).silentWorkers, 1);
  });
});

describe('placement log', ({ it }) => {
  it('gives the time that a task has waited since its step became ready', (t) => {
    const harness = createServiceHarness();
    harness.accept(jobOf('a', [{}]));
    harness.advance(700);
    const logs = harness.addWorkers(['w1']).filter((effect) => effect.kind === 'log');
    const placed = logs.find(({ decision }) => decision === 'taskPlaced');
    t.is(placed?.fields.waitedMilliseconds, 700);
  });
});
