/** Guards against a step of thousands of tasks that queues more starts than its owner can send, and blocks other jobs. */
import { describe } from '@baobabdeck/test-tools';
import { createServiceHarness, effectsOf, jobOf, keyOf, startsOf } from './service-harness.js';

const SMALL = { milliCores: 1, memoryMegabytes: 1, accelerators: 0 };
const STARTS_OF_STEP = 48;
const STARTS_PER_WORKER = 64;
/** Answers after which a worker whose step has all its slots is left with half of its starts. */
const ANSWERS_UNTIL_REFILL = 16;

describe('starts in progress', ({ describe: within, it }) => {
  it('starts further tasks on a worker once half of its starts are answered', (t) => {
    const harness = createServiceHarness();
    harness.addWorkers(['w1', 'w2']);
    harness.accept(jobOf('a', [{ taskCount: 500, needs: SMALL }]));
    t.is(harness.takeStarts().length, 2 * STARTS_OF_STEP);
    const started = [...harness.state().workers.values()].flatMap(({ startingTasks }) => [
      ...startingTasks.values(),
    ]);
    const answer = (index: number): readonly string[] => {
      const key = started[index] ?? keyOf('a');
      const [run] = harness.state().jobs.get('a')?.occurrences.get(0)?.steps[0]?.tasks[key.index]?.runs ?? [];
      const address = { task: key, run: 1, workerId: run?.workerId ?? '', incarnation: 1 };
      return startsOf(
        harness.dispatch({ kind: 'start-settled', address, outcome: 'started', clockMilliseconds: 10_000 }),
      );
    };
    const answers = Array.from({ length: STARTS_OF_STEP }, (_, index) => answer(index).length);
    const beforeRefill = answers.slice(0, ANSWERS_UNTIL_REFILL - 1);
    t.is(
      beforeRefill.reduce((sum, count) => sum + count),
      0,
    );
    t.is(answers[ANSWERS_UNTIL_REFILL - 1], ANSWERS_UNTIL_REFILL);
  });

  it('starts tasks of another job beside a step that has all its slots', (t) => {
    const harness = createServiceHarness();
    harness.addWorkers(['w1']);
    harness.accept(jobOf('a', [{ taskCount: 500, needs: SMALL }]));
    const starts = harness.accept(jobOf('b', [{ taskCount: 40, needs: SMALL }]));
    t.is(startsOf(starts).length, STARTS_PER_WORKER - STARTS_OF_STEP);
    t.true(effectsOf(starts, 'start-run').every(({ address }) => address.task.jobId === 'b'));
  });

  it('starts all tasks of a wide step although workers answer late', (t) => {
    const harness = createServiceHarness();
    harness.addWorkers(['w1', 'w2']);
    harness.accept(jobOf('a', [{ taskCount: 300, needs: SMALL }]));
    let answered = 0;
    for (let round = 0; round < 1_000 && harness.state().waiting.total.tasks > 0; round += 1) {
      for (const { address } of harness.takeStarts()) {
        answered += 1;
        const outcome = answered % 3 === 0 ? 'late' : 'started';
        harness.dispatch({ kind: 'start-settled', address, outcome, clockMilliseconds: 10_000 });
      }
      harness.advance(10);
    }
    t.is(harness.state().waiting.total.tasks, 0);
  });

  it('starts the other tasks of a wide step on other workers if one answers no start', (t) => {
    const harness = createServiceHarness();
    harness.addWorkers(['mute', 'w2']);
    harness.accept(jobOf('a', [{ taskCount: 300, needs: SMALL }]));
    for (let round = 0; round < 1_000 && harness.state().waiting.total.tasks > 0; round += 1) {
      for (const { address } of harness.takeStarts()) {
        const outcome = address.workerId === 'mute' ? 'unanswered' : 'started';
        harness.dispatch({ kind: 'start-settled', address, outcome, clockMilliseconds: 10_000 });
      }
      harness.advance(10);
    }
    t.is(harness.state().waiting.total.tasks, 0);
    t.is(harness.state().workers.get('mute')?.startingTasks.size, STARTS_OF_STEP);
  });

  within('of a gang', ({ it: ofGang }) => {
    ofGang('starts all members of a gang together, however many they are', (t) => {
      const harness = createServiceHarness();
      harness.addWorkers(['w1']);
      const starts = harness.accept(jobOf('a', [{ taskCount: 100, needs: SMALL, isGang: true }]));
      t.is(startsOf(starts).length, 100);
    });
  });
});
