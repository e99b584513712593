/** Guards against sound workers that are closed to all work because tasks of their own fault fail on them. */
import { describe } from '@baobabdeck/test-tools';
import type { TaskKey } from '../model/job.js';
import type { ServiceEffect } from '../state/effect.js';
import { runningOn, taskOf } from './quarantine-scene.js';
import {
  createServiceHarness,
  effectsOf,
  jobOf,
  keyOf,
  startsOf,
  type ServiceHarness,
} from './service-harness.js';

/** The longest time that a lasting task may be without a run, by the users' rule. */
const LONGEST_GAP_MILLISECONDS = 9_000;

const ROUND_MILLISECONDS = 100;

/** Time after which any ejected worker takes tasks again. */
const LONGEST_COOLDOWN_MILLISECONDS = 12_500;

/** A service whose workers report the runs that fail. */
interface Scene {
  readonly harness: ServiceHarness;
  /** Lets the last run of a task fail on its worker. */
  readonly fail: (key: TaskKey) => void;
  /** Passes a round of time in which all workers report. */
  readonly pass: () => void;
  readonly isRunning: (jobId: string, index?: number) => boolean;
  readonly ejections: () => number;
}

function createScene(workerIds: readonly string[]): Scene {
  const harness = createServiceHarness();
  harness.addWorkers(workerIds);
  let ejections = 0;
  const ends = new Map<string, number>();
  const countEjections = (effects: readonly ServiceEffect[]): void => {
    ejections += effectsOf(effects, 'log').filter(({ decision }) => decision === 'workerEjected').length;
  };
  const isRunning = (jobId: string, index = 0): boolean =>
    (taskOf(harness, jobId, index)?.runs.length ?? 0) > 0;
  return {
    harness,
    fail: (key) => {
      harness.confirmStarts();
      const run = taskOf(harness, key.jobId, key.index)?.runs[0];
      if (run === undefined) throw new Error(`Expected a run of ${key.jobId}/${key.index}, found none`);
      const number = (ends.get(run.workerId) ?? 0) + 1;
      ends.set(run.workerId, number);
      const running = runningOn(harness, run.workerId).filter(
        ({ task }) => task.jobId !== key.jobId || task.index !== key.index,
      );
      const ended = [{ number, task: key, run: run.run, end: 'failed' as const, checkpoint: '' }];
      countEjections(harness.report(run.workerId, { ended, running }));
    },
    pass: () => {
      countEjections(harness.advance(ROUND_MILLISECONDS));
      harness.confirmStarts();
      workerIds.forEach((workerId) => {
        countEjections(harness.report(workerId, { running: runningOn(harness, workerId) }));
      });
    },
    isRunning,
    ejections: () => ejections,
  };
}

describe('a lasting task that fails again and again', ({ it }) => {
  it('closes no worker, and is started again in time', (t) => {
    const scene = createScene(['w1', 'w2']);
    scene.harness.accept(jobOf('a', [{ isLasting: true }]));
    let gap = 0;
    let longestGap = 0;
    for (let round = 0; round < 750; round += 1) {
      scene.pass();
      gap = scene.isRunning('a') ? 0 : gap + ROUND_MILLISECONDS;
      longestGap = Math.max(longestGap, gap);
      if (scene.isRunning('a') && round % 4 === 0) scene.fail(keyOf('a'));
    }
    t.true(longestGap < LONGEST_GAP_MILLISECONDS, `no run for ${longestGap} ms`);
    t.is(scene.ejections(), 0);
    t.deepEqual(
      startsOf(scene.harness.accept(jobOf('sound', [{ taskCount: 2, maximumPerWorker: 1 }]))).length,
      2,
    );
  });
});

describe('tasks that all fail', ({ it }) => {
  it('keep a lasting task from the only worker for less than the users allow', (t) => {
    const scene = createScene(['w1']);
    // Each ejection lasts longer than the one before, until the longest.
    for (let ejection = 0; ejection < 4; ejection += 1) {
      const jobIds = ['x', 'y', 'z'].map((name) => `${name}-${ejection}`);
      for (let waited = 0; waited < LONGEST_COOLDOWN_MILLISECONDS; waited += ROUND_MILLISECONDS) scene.pass();
      scene.harness.accept(...jobIds.map((jobId) => jobOf(jobId, [{}], { maximumFailedRuns: 1 })));
      jobIds.forEach((jobId) => scene.fail(keyOf(jobId)));
      scene.pass();
    }
    t.is(scene.ejections(), 4);
    scene.harness.accept(jobOf('a', [{ isLasting: true }]));
    let gap = 0;
    for (; !scene.isRunning('a') && gap < 2 * LONGEST_GAP_MILLISECONDS; gap += ROUND_MILLISECONDS) {
      scene.pass();
    }
    t.true(gap < LONGEST_GAP_MILLISECONDS, `no run for ${gap} ms`);
  });
});
