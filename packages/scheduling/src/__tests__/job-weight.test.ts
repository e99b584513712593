/** Guards against one small submission that takes the memory of its owner. */
import { describe } from '@baobabdeck/test-tools';
import { createServiceHarness, jobOf, keyOf, type ServiceHarness } from './service-harness.js';

const PAST = new Date('2020-01-01T00:00:00Z');
const MOST_OCCURRENCES = 256;

function occurrencesOf(harness: ServiceHarness): readonly number[] {
  return [...(harness.state().jobs.get('a')?.occurrences.keys() ?? [])].sort((left, right) => left - right);
}

describe('a job with many tasks', ({ it }) => {
  it('shares one list of tasks among all steps of one width before a task has started', (t) => {
    const harness = createServiceHarness();
    const steps = Array.from({ length: 300 }, (_, step) => ({
      taskCount: 10_000,
      after: step === 0 ? [] : [step - 1],
    }));
    harness.accept(jobOf('a', steps));
    const states = harness.state().jobs.get('a')?.occurrences.get(0)?.steps ?? [];
    t.is(states.length, 300);
    t.is(new Set(states.map(({ tasks }) => tasks)).size, 1);
  });

  it('changes only the tasks that start', (t) => {
    const harness = createServiceHarness();
    harness.addWorkers(['w1']);
    harness.accept(jobOf('a', [{ taskCount: 6 }, { taskCount: 6 }]));
    const runsOf = harness
      .state()
      .jobs.get('a')
      ?.occurrences.get(0)
      ?.steps.map(({ tasks }) => tasks.map(({ runs }) => runs.length));
    t.deepEqual(runsOf, [
      [1, 1, 1, 1, 0, 0],
      [0, 0, 0, 0, 0, 0],
    ]);
  });
});

describe('a job with a billion occurrences that are all due', ({ it }) => {
  const request = jobOf('a', [{ taskCount: 1 }], {
    repetition: { times: 1_000_000_000, firstDueAt: PAST, intervalMilliseconds: 0 },
  });

  it('begins 256 occurrences that are due', (t) => {
    const harness = createServiceHarness();
    harness.accept(request);
    harness.advance(100);
    t.is(occurrencesOf(harness).length, MOST_OCCURRENCES);
  });

  it('begins a further occurrence when an earlier one has finished', (t) => {
    const harness = createServiceHarness();
    harness.addWorkers(['w1']);
    harness.accept(request);
    const [first] = harness.takeStarts();
    if (first === undefined) throw new Error('Expected a start, found none');
    const { address } = first;
    harness.dispatch({ kind: 'start-settled', address, outcome: 'started', clockMilliseconds: 10_000 });
    harness.advance(10);
    const task = { ...keyOf('a'), occurrence: address.task.occurrence };
    const running = [...(harness.state().workers.get('w1')?.tasks.values() ?? [])]
      .filter(({ occurrence }) => occurrence !== task.occurrence)
      .map((key) => ({ task: key, run: 1, checkpoint: '', percent: 100, load: null }));
    harness.report('w1', { running, ended: [{ number: 1, task, run: 1, end: 'done', checkpoint: '' }] });
    harness.advance(100);
    t.is(occurrencesOf(harness).length, MOST_OCCURRENCES);
    t.true(occurrencesOf(harness).includes(MOST_OCCURRENCES));
  });
});
