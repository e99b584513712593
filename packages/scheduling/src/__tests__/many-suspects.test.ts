/** Guards against one crash that makes so many suspects that their jobs stand still beside free workers. */
import { describe } from '@baobabdeck/test-tools';
import { taskIdOf } from '../model/job.js';
import type { StoredServiceRecord } from '../model/records.js';
import { selectJobStatus } from '../service/selectors.js';
import { createCrashingWorkers } from './crashing-workers.js';
import { countRuns, play, recordsOfSuspect, runningOn } from './quarantine-scene.js';
import {
  QUOTES,
  createServiceHarness,
  effectsOf,
  jobOf,
  keyOf,
  type ServiceHarness,
} from './service-harness.js';

const JOBS = 15;
const TASKS_PER_JOB = 4;
const NEEDS = { milliCores: 60, memoryMegabytes: 1, accelerators: 0 };
const WORKERS = ['w1', 'w2', 'w3', 'w4', 'w5', 'w6', 'w7', 'w8'];

/** Time in which a lasting task must run again (9 s), less that in which a crash is noticed. */
const LONGEST_WAIT_MILLISECONDS = 7_500;

const jobIds = Array.from({ length: JOBS }, (_, index) => `job-${index}`);

function recordsOfSuspects(): readonly StoredServiceRecord[] {
  return jobIds.flatMap((jobId, index) =>
    recordsOfSuspect(2 * index + 1, jobOf(jobId, [{ taskCount: TASKS_PER_JOB, needs: NEEDS }]), 1),
  );
}

function countStarted(harness: ServiceHarness): number {
  return jobIds
    .flatMap((jobId) =>
      Array.from({ length: TASKS_PER_JOB }, (_, index) => countRuns(harness, jobId, index) ?? 0),
    )
    .reduce((sum, runs) => sum + runs, 0);
}

describe('many suspects under one crash', ({ describe: within, it }) => {
  for (const waitingTasks of [0, 50]) {
    it(`all start within 7.5 s while ${waitingTasks} other tasks wait`, (t) => {
      const harness = createServiceHarness(recordsOfSuspects());
      if (waitingTasks > 0) {
        harness.accept(jobOf('backlog', [{ taskCount: waitingTasks, requiredLabel: 'missing' }]));
      }
      harness.addWorkers(WORKERS);
      play(harness, LONGEST_WAIT_MILLISECONDS);
      t.is(countStarted(harness), JOBS * TASKS_PER_JOB);
      t.deepEqual(harness.violations(), []);
    });
  }

  it('are tried on all workers at once', (t) => {
    const harness = createServiceHarness(recordsOfSuspects());
    harness.addWorkers(WORKERS);
    // No worker is idle after the first round of tries, and suspects share workers after 2 s.
    play(harness, 2_100);
    const before = countStarted(harness);
    play(harness, 500);
    t.true(countStarted(harness) - before >= WORKERS.length);
  });

  it('have their workers report as soon as a suspect may have shown to be sound', (t) => {
    const harness = createServiceHarness(recordsOfSuspects());
    harness.addWorkers(['w1']);
    play(harness, 100);
    const [renewal] = effectsOf(harness.report('w1', { running: runningOn(harness, 'w1') }), 'renew-lease');
    t.true((renewal?.waitMilliseconds ?? Infinity) <= 400);
  });

  within('one of which crashes its workers', ({ it: deadly }) => {
    deadly('end in the failure of that job only, after a few starts', (t) => {
      const harness = createServiceHarness();
      const workers = createCrashingWorkers(harness, {
        racks: WORKERS,
        isDeadly: ({ jobId }) => jobId === 'deadly',
        durationOf: () => 7_000,
      });
      workers.play(1);
      const sound = jobIds.map((jobId) => jobOf(jobId, [{ taskCount: TASKS_PER_JOB, needs: NEEDS }]));
      harness.accept(...sound, jobOf('deadly', [{ needs: NEEDS }]));
      workers.play(900);
      t.is(selectJobStatus(harness.state(), QUOTES, 'deadly'), 'failed');
      t.true(workers.countStarts(taskIdOf(keyOf('deadly'))) <= 4);
      t.deepEqual(
        jobIds.map((jobId) => selectJobStatus(harness.state(), QUOTES, jobId)),
        jobIds.map(() => 'completed'),
      );
      t.deepEqual(harness.violations(), []);
    });
  });
});
