import { describe } from '@baobabdeck/test-tools';
import { initialPacing, nextPacing } from '../decide/interference/pacing.js';
import type { StepRequest } from '../model/job.js';
import type { ServiceEffect } from '../state/effect.js';
import { fullPaceBudget, spendPaceOrder } from '../state/pace-budget.js';
import {
  createServiceHarness,
  effectsOf,
  jobOf,
  keyOf,
  type EffectOf,
  type ServiceHarness,
} from './service-harness.js';

/** Time for which a serving task may be over its target because of filling tasks. */
const HARM_MILLISECONDS = 4_500;

const REPORT_INTERVAL = 400;
const SAMPLE_INTERVAL = 100;
const WINDOW_SAMPLES = 5;

/** How a simulated worker under pacing behaved. */
interface Outcome {
  readonly longestOver: number;
  /** Changes of pace in the second half of the time. */
  readonly lateChanges: number;
  readonly meanPercent: number;
}

/**
 * Simulates a worker for `milliseconds`: the tail is `quiet` parts of its target without filling tasks, and `harm` more
 * at their full speed. It is measured over half a second, and a pace is effective after 100 ms.
 */
function simulate(quiet: number, harm: number, milliseconds: number): Outcome {
  let pacing = initialPacing(100, -Infinity);
  let effective = 100;
  let overSince: number | null = null;
  let longestOver = 0;
  let lateChanges = 0;
  let sum = 0;
  const window: number[] = [];
  for (let now = 0; now < milliseconds; now += SAMPLE_INTERVAL) {
    const tail = quiet + (harm * effective) / 100;
    window.push(tail);
    if (window.length > WINDOW_SAMPLES) window.shift();
    const measured = Math.max(...window);
    overSince = measured > 1 && effective > 0 ? (overSince ?? now) : null;
    longestOver = Math.max(longestOver, overSince === null ? 0 : now - overSince);
    effective = pacing.percent;
    sum += effective;
    if (now % REPORT_INTERVAL === 0) {
      const next = nextPacing(pacing, measured, now);
      if (next.percent !== pacing.percent && now > milliseconds / 2) lateChanges += 1;
      pacing = next;
    }
  }
  return { longestOver, lateChanges, meanPercent: (sum * SAMPLE_INTERVAL) / milliseconds };
}

const SHOP: Partial<StepRequest> = { image: 'shop', isLasting: true, tailTargetMilliseconds: 100 };
const BATCH: Partial<StepRequest> = { image: 'batch', usesSpareCapacity: true, estimatedMilliseconds: 500 };

/** A worker with one serving task and some filling tasks beside it. */
function startBoth(harness: ServiceHarness, fillingTasks: number): void {
  harness.addWorkers(['w1']);
  harness.accept(jobOf('shop', [SHOP]), jobOf('batch', [{ ...BATCH, taskCount: fillingTasks }]));
  harness.confirmStarts();
}

/** Reports both 750 ms later, with the tail of the serving task and the speed of the filling tasks. */
function reportBoth(
  harness: ServiceHarness,
  fillingTasks: number,
  tail: number | null,
  percent = 100,
  run = 1,
): readonly ServiceEffect[] {
  harness.advance(750);
  const rowOf = (jobId: string, index: number, load: number | null, speed: number) => ({
    task: keyOf(jobId, index),
    run,
    checkpoint: '',
    percent: speed,
    load,
  });
  const filling = Array.from({ length: fillingTasks }, (_, index) => rowOf('batch', index, 300, percent));
  return harness.report('w1', { running: [rowOf('shop', 0, tail, 100), ...filling] });
}

const pacesOf = (effects: readonly ServiceEffect[]): readonly EffectOf<'pace-run'>[] =>
  effectsOf(effects, 'pace-run');

const percentsOf = (effects: readonly ServiceEffect[]): readonly number[] =>
  pacesOf(effects).map(({ percent }) => percent);

function settle(
  harness: ServiceHarness,
  effects: readonly ServiceEffect[],
  outcome: 'accepted' | 'unanswered' | 'fenced' = 'accepted',
): readonly ServiceEffect[] {
  return pacesOf(effects).flatMap(({ address, percent }) =>
    harness.dispatch({ kind: 'pace-settled', address, percent, outcome }),
  );
}

describe('pacing', ({ describe: within, it }) => {
  within('a worker', ({ it: paces }) => {
    const HARMS = [0.8, 1, 1.5, 2, 3, 5, 8, 20];
    HARMS.forEach((harm) => {
      paces(`ends harm of ${harm} targets in time and settles`, (t) => {
        const { longestOver, lateChanges } = simulate(0.4, harm, 120_000);
        t.true(longestOver < HARM_MILLISECONDS, `over for ${longestOver} ms`);
        // A pace that was too fast is tried again at growing intervals only.
        t.true(lateChanges <= 12, `${lateChanges} changes in a minute`);
      });
    });

    paces('lets harmless tasks work at full speed', (t) => {
      t.deepEqual(simulate(0.4, 0.2, 60_000), { longestOver: 0, lateChanges: 0, meanPercent: 100 });
    });

    paces('keeps tasks at work that do no harm at a lower pace', (t) => {
      t.true(simulate(0.4, 0.8, 120_000).meanPercent > 40);
    });

    paces('pauses tasks that do not help by being slower', (t) => {
      t.true(simulate(1.2, 0, 60_000).meanPercent < 10);
    });

    paces('changes nothing on a report without a tail', (t) => {
      const pacing = initialPacing(40, 0);
      t.is(nextPacing(pacing, null, 60_000), pacing);
    });
  });

  within('orders', ({ it: orders }) => {
    orders('go to each filling task once per change', (t) => {
      const harness = createServiceHarness();
      startBoth(harness, 2);
      t.deepEqual(percentsOf(reportBoth(harness, 2, 60)), []);
      const slowed = reportBoth(harness, 2, 150);
      t.deepEqual(percentsOf(slowed), [50, 50]);
      settle(harness, slowed);
      t.deepEqual(percentsOf(reportBoth(harness, 2, 80, 50)), []);
      t.deepEqual(percentsOf(reportBoth(harness, 2, null, 50)), []);
    });

    orders('are not sent while one is in flight', (t) => {
      const harness = createServiceHarness();
      startBoth(harness, 1);
      const slowed = reportBoth(harness, 1, 150);
      t.deepEqual(percentsOf(reportBoth(harness, 1, 150)), []);
      settle(harness, slowed);
      t.deepEqual(percentsOf(reportBoth(harness, 1, 150, 50)), [0]);
    });

    orders('are sent again if they were not answered', (t) => {
      const harness = createServiceHarness();
      startBoth(harness, 1);
      settle(harness, reportBoth(harness, 1, 150), 'unanswered');
      const again = reportBoth(harness, 1, 80, 50);
      t.deepEqual(percentsOf(again), [50]);
      settle(harness, again);
      t.deepEqual(percentsOf(reportBoth(harness, 1, 80, 50)), []);
    });

    orders('are sent again if an older one seems to have been executed late', (t) => {
      const harness = createServiceHarness();
      startBoth(harness, 1);
      settle(harness, reportBoth(harness, 1, 150), 'unanswered');
      settle(harness, reportBoth(harness, 1, 150, 100));
      t.deepEqual(percentsOf(reportBoth(harness, 1, 80, 0)), []);
      harness.advance(2_000);
      // The order for 50 percent was executed after the one for 0 percent.
      t.deepEqual(percentsOf(reportBoth(harness, 1, 80, 50)), [25]);
    });

    orders('end the ownership if the worker has seen a newer owner', (t) => {
      const harness = createServiceHarness();
      startBoth(harness, 1);
      const effects = settle(harness, reportBoth(harness, 1, 150), 'fenced');
      t.is(effectsOf(effects, 'give-up-ownership').length, 1);
    });

    orders('reach a filling task that starts later', (t) => {
      const harness = createServiceHarness();
      startBoth(harness, 1);
      settle(harness, reportBoth(harness, 1, 150));
      harness.accept(jobOf('more', [BATCH]));
      harness.confirmStarts();
      harness.advance(100);
      const row = (jobId: string, percent: number, load: number) => ({
        task: keyOf(jobId),
        run: 1,
        checkpoint: '',
        percent,
        load,
      });
      const effects = harness.report('w1', {
        running: [row('shop', 100, 80), row('batch', 50, 300), row('more', 100, 300)],
      });
      t.deepEqual(
        pacesOf(effects).map(({ address, percent }) => [address.task.jobId, percent]),
        [['more', 50]],
      );
    });

    orders('restore full speed once the serving task has left', (t) => {
      const harness = createServiceHarness();
      startBoth(harness, 1);
      settle(harness, reportBoth(harness, 1, 150));
      harness.cancel('shop');
      harness.advance(500);
      const ended = { number: 1, task: keyOf('shop'), run: 1, end: 'stopped' as const, checkpoint: '' };
      const running = [{ task: keyOf('batch'), run: 1, checkpoint: '', percent: 50, load: 300 }];
      t.deepEqual(percentsOf(harness.report('w1', { running, ended: [ended] })), [100]);
    });

    orders('are bounded for the whole service, and slowing down comes first', (t) => {
      let budget = fullPaceBudget(0);
      const spend = (slowsDown: boolean): number => {
        let count = 0;
        for (;;) {
          const next = spendPaceOrder(budget, slowsDown, 0);
          if (next === null) return count;
          budget = next;
          count += 1;
        }
      };
      t.is(spend(false), 50);
      t.is(spend(true), 50);
      t.is(spendPaceOrder(budget, true, 5), null);
      t.not(spendPaceOrder(budget, true, 10), null);
    });
  });

  within('after a change of owner', ({ it: inherits }) => {
    const restore = (): ServiceHarness => {
      const former = createServiceHarness();
      startBoth(former, 1);
      settle(former, reportBoth(former, 1, 150));
      const harness = createServiceHarness(former.records());
      harness.addWorkers([]);
      harness.dispatch({
        kind: 'workers-listed',
        workers: [...former.state().workers.values()].map(({ listing }) => listing),
      });
      return harness;
    };

    inherits('no order is sent where the tasks work as they should', (t) => {
      const harness = restore();
      t.deepEqual(percentsOf(reportBoth(harness, 1, 80, 50)), []);
      t.deepEqual(percentsOf(reportBoth(harness, 1, 80, 50)), []);
    });

    inherits('a pace that is too fast is lowered', (t) => {
      const harness = restore();
      t.deepEqual(percentsOf(reportBoth(harness, 1, 150, 50)), [25]);
    });

    inherits('a paused task is set to work again', (t) => {
      const harness = restore();
      t.deepEqual(percentsOf(reportBoth(harness, 1, 30, 0)), [10]);
    });
  });

  it('does not make a run look stalled', (t) => {
    const harness = createServiceHarness();
    startBoth(harness, 2);
    settle(harness, reportBoth(harness, 2, 150));
    for (let count = 0; count < 60; count += 1) {
      settle(harness, reportBoth(harness, 2, 150, 0));
      harness.advance(100);
    }
    t.deepEqual(harness.takeStops(), []);
    t.is(harness.state().workers.get('w1')?.consecutiveCooldowns, 0);
  });

  it('does not make a lasting task look absent to a drain', (t) => {
    const isOneStopped = (tail: number, speed: number): boolean => {
      const harness = createServiceHarness();
      harness.addWorkers(['w1', 'w2', 'w3']);
      const batch = { ...BATCH, isLasting: true, taskCount: 2, maximumPerWorker: 1, maximumAbsent: 1 };
      harness.accept(
        jobOf('batch', [batch]),
        jobOf('shop', [{ ...SHOP, taskCount: 2, maximumPerWorker: 1 }]),
      );
      harness.confirmStarts();
      const taskOn = (jobId: string, workerId: string): number =>
        harness
          .state()
          .jobs.get(jobId)
          ?.occurrences.get(0)
          ?.steps[0]?.tasks.findIndex(({ runs }) => runs[0]?.workerId === workerId) ?? -1;
      const workers = ['w1', 'w2', 'w3'].filter((workerId) => taskOn('batch', workerId) >= 0);
      const reportAll = (percent: number): void => {
        harness.advance(750);
        workers.forEach((workerId) => {
          const rows = [
            ['batch', percent, 300],
            ['shop', 100, tail],
          ] as const;
          const running = rows.flatMap(([jobId, share, load]) => {
            const index = taskOn(jobId, workerId);
            const row = { task: keyOf(jobId, index), run: 1, checkpoint: '', percent: share, load };
            return index < 0 ? [] : [row];
          });
          settle(harness, harness.report(workerId, { running }));
        });
      };
      reportAll(100);
      reportAll(speed);
      harness.takeStops();
      harness.dispatch({
        kind: 'host-requests-received',
        releases: [{ hostId: `host-of-${workers[0] ?? ''}`, purpose: 'move' }],
        returns: [],
        epoch: 1,
        sequence: 1,
      });
      return harness.takeStops().some(({ address }) => address.task.jobId === 'batch');
    };
    t.true(isOneStopped(150, 50));
    // Without a pace order, a task at half speed is absent.
    t.false(isOneStopped(60, 50));
  });
});
