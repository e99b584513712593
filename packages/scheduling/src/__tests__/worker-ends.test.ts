/** Guards against starting tasks again whose ends a worker holds back because it lists only some ends at once. */
import { describe } from '@baobabdeck/test-tools';
import type { EndedReport } from '../model/worker.js';
import { selectJobStatus } from '../service/selectors.js';
import {
  QUOTES,
  createServiceHarness,
  jobOf,
  keyOf,
  startsOf,
  type ServiceHarness,
} from './service-harness.js';

function doneAt(index: number): EndedReport {
  return { number: index + 1, task: keyOf('a', index), run: 1, end: 'done', checkpoint: '' };
}

const FIRST_LIST = { ended: [doneAt(0), doneAt(1)], isComplete: false };
const SECOND_LIST = { ended: [doneAt(2)], isComplete: true };

/** Starts three tasks on one worker, which have all ended since. */
function startTasks(): ServiceHarness {
  const harness = createServiceHarness();
  harness.addWorkers(['w1']);
  harness.accept(jobOf('a', [{ taskCount: 3 }]));
  harness.confirmStarts();
  harness.advance(10);
  return harness;
}

/** Returns a new owner of the same service that has found the worker but has no report of it. */
function takeOver(harness: ServiceHarness): ServiceHarness {
  const next = createServiceHarness(harness.records());
  next.advance(10);
  return next;
}

function isCompleted(harness: ServiceHarness): boolean {
  return selectJobStatus(harness.state(), QUOTES, 'a', null) === 'completed';
}

describe('a worker that lists some of its ends', ({ describe: within, it }) => {
  it('starts no task again whose end is not listed yet, and applies the end when it is listed', (t) => {
    const harness = startTasks();
    t.deepEqual(startsOf(harness.report('w1', FIRST_LIST)), []);
    harness.advance(10);
    t.deepEqual(startsOf(harness.report('w1', SECOND_LIST)), []);
    t.true(isCompleted(harness));
  });

  it('starts a task again that a complete list omits', (t) => {
    const harness = startTasks();
    harness.report('w1', FIRST_LIST);
    harness.advance(10);
    t.deepEqual(startsOf(harness.report('w1', { ended: [] })), ['w1']);
  });

  within('after a change of the owner', ({ it: after }) => {
    after('starts no task again whose end is not listed yet', (t) => {
      const harness = takeOver(startTasks());
      harness.dispatch({
        kind: 'workers-listed',
        workers: [...startTasks().state().workers.values()].map(({ listing }) => listing),
      });
      t.deepEqual(startsOf(harness.report('w1', FIRST_LIST)), []);
      harness.advance(10);
      t.deepEqual(startsOf(harness.report('w1', SECOND_LIST)), []);
      t.true(isCompleted(harness));
    });
  });
});
