/** Guards against a lasting task that is never started again after one of its runs has ended as done. */
import { describe } from '@baobabdeck/test-tools';
import type { RunEnd } from '../model/job.js';
import { selectJobStatus } from '../service/selectors.js';
import { recordsOfTask, taskOf } from './quarantine-scene.js';
import {
  QUOTES,
  createServiceHarness,
  effectsOf,
  jobOf,
  keyOf,
  startsOf,
  type ServiceHarness,
} from './service-harness.js';

const ENDS: readonly RunEnd[] = ['done', 'failed', 'stopped', 'lapsed', 'broken', 'alone'];

/** Starts two lasting tasks on one worker. */
function startLasting(isGang = false): ServiceHarness {
  const harness = createServiceHarness();
  harness.addWorkers(['w1']);
  harness.accept(jobOf('a', [{ taskCount: 2, isLasting: true, isGang }]));
  harness.confirmStarts();
  harness.advance(10);
  return harness;
}

function statusOf(harness: ServiceHarness): string | null {
  return selectJobStatus(harness.state(), QUOTES, 'a');
}

describe('a lasting task', ({ describe: within, it }) => {
  ENDS.forEach((end) => {
    it(`is started again after an end as ${end}`, (t) => {
      const harness = startLasting();
      const ended = [{ number: 1, task: keyOf('a'), run: 1, end, checkpoint: '' }];
      const running = [{ task: keyOf('a', 1), run: 1, checkpoint: '', percent: 100, load: null }];
      const starts = effectsOf(harness.report('w1', { ended, running }), 'start-run');
      t.deepEqual(
        starts.map(({ address }) => [address.task.index, address.run]),
        [[0, 2]],
      );
      t.is(statusOf(harness), 'running');
      t.deepEqual(harness.violations(), []);
    });
  });

  it('resumes from its checkpoint after an end as done', (t) => {
    const harness = startLasting();
    const ended = [{ number: 1, task: keyOf('a'), run: 1, end: 'done' as const, checkpoint: 'saved' }];
    const [start] = effectsOf(harness.report('w1', { ended }), 'start-run');
    t.is(start?.checkpoint, 'saved');
  });

  within('after all tasks of its job have ended as done', ({ it: after }) => {
    after('runs again, and its job goes on until it is cancelled', (t) => {
      const harness = startLasting();
      const ended = [0, 1].map((index) => ({
        number: index + 1,
        task: keyOf('a', index),
        run: 1,
        end: 'done' as const,
        checkpoint: '',
      }));
      t.deepEqual(startsOf(harness.report('w1', { ended })), ['w1', 'w1']);
      t.is(statusOf(harness), 'running');
      harness.cancel('a');
      t.is(statusOf(harness), 'cancelled');
    });

    after('runs again as a gang', (t) => {
      const harness = startLasting(true);
      const ended = [0, 1].map((index) => ({
        number: index + 1,
        task: keyOf('a', index),
        run: 1,
        end: 'done' as const,
        checkpoint: '',
      }));
      t.deepEqual(startsOf(harness.report('w1', { ended })), ['w1', 'w1']);
      t.is(statusOf(harness), 'running');
    });
  });

  within('that an earlier version has recorded as done', ({ it: recorded }) => {
    recorded('is started by the next owner', (t) => {
      const request = jobOf('a', [{ isLasting: true }]);
      const harness = createServiceHarness(recordsOfTask(0, request, { lastRun: 1, isDone: true }));
      t.deepEqual(startsOf(harness.addWorkers(['w1'])), ['w1']);
      t.is(taskOf(harness, 'a')?.lastRun, 2);
    });
  });
});
