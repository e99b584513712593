import { describe } from '@baobabdeck/test-tools';
import { runSteps } from '@baobabdeck/types';
import { selectQueueStatistics } from '../service/queue-statistics.js';
import { reduceService } from '../service/reduce.js';
import { createPlay, jobOf } from './service-play.js';

describe('the figures of a service', ({ it }) => {
  it('count tasks whose turn has come and that have no worker', (t) => {
    const play = createPlay();
    play.addWorkers(['w1']);
    play.accept(jobOf('a', [{ taskCount: 6 }, { after: [0], taskCount: 3 }]), jobOf('b', [{}]));
    t.like(selectQueueStatistics(play.state()), {
      activeJobs: 2,
      waitingTasks: 3,
      recordingTasks: 0,
      jobsToRecord: 0,
      workers: 1,
      silentWorkers: 0,
    });
  });

  it('count tasks that are placed and not stored', (t) => {
    const play = createPlay();
    play.addWorkers(['w1']);
    const state = play.state();
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

  it('count workers that do not answer', (t) => {
    const play = createPlay();
    play.addWorkers(['w1', 'w2']);
    const askedAt = play.state().now;
    play.dispatch({ kind: 'worker-silent', workerId: 'w1', askedAt });
    play.pass(2_000);
    play.dispatch({ kind: 'worker-silent', workerId: 'w1', askedAt: askedAt + 1_500 });
    t.is(selectQueueStatistics(play.state()).silentWorkers, 1);
  });
});

describe('a task that is placed', ({ it }) => {
  it('tells how long it has waited since its turn came', (t) => {
    const play = createPlay();
    play.accept(jobOf('a', [{}]));
    play.pass(700);
    const logs = play.addWorkers(['w1']).filter((effect) => effect.kind === 'log');
    const placed = logs.find(({ decision }) => decision === 'taskPlaced');
    t.is(placed?.fields.waitedMilliseconds, 700);
  });
});
