import { describe } from '@baobabdeck/test-tools';
import type { StoredServiceRecord } from '../model/records.js';
import { restoreService } from '../service/restore.js';
import { selectJobStatus, selectPendingCount } from '../service/selectors.js';
import type { ServiceState } from '../state/service-state.js';
import {
  QUOTES,
  createServiceHarness,
  effectsOf,
  jobOf,
  keyOf,
  type ServiceHarness,
} from './service-harness.js';

function countPending(harness: ServiceHarness): number | null {
  return selectPendingCount(harness.state(), QUOTES, harness.state().now);
}

function statusOf(harness: ServiceHarness): string | null {
  return selectJobStatus(harness.state(), QUOTES, 'a');
}

/** Restores the state of the next owner from the records of a job. */
function restoreFrom(before: ServiceState, records: readonly StoredServiceRecord['record'][]): ServiceState {
  const { service, parameters, now, timeOfDay } = before;
  return restoreService({
    service,
    parameters,
    fencingEpoch: before.fencingEpoch + 1,
    now,
    timeOfDay,
    claimedAt: now,
    provenAt: now,
    records: records.map((record, offset) => ({ offset, record })),
  }).state;
}

describe('pending jobs', ({ describe: within, it }) => {
  it('counts a job without a worker', (t) => {
    const harness = createServiceHarness();
    harness.accept(jobOf('a', [{}]));
    t.is(countPending(harness), 1);
  });

  it('counts a job until a worker confirms that a task runs', (t) => {
    const harness = createServiceHarness();
    harness.addWorkers(['w1']);
    harness.accept(jobOf('a', [{}]));
    t.is(countPending(harness), 1);
    t.is(statusOf(harness), 'queued');
    harness.confirmStarts();
    t.is(countPending(harness), 0);
    t.is(statusOf(harness), 'running');
  });

  it('counts a job whose worker leaves the order to start unanswered', (t) => {
    const harness = createServiceHarness();
    harness.addWorkers(['w1']);
    const [start] = effectsOf(harness.accept(jobOf('a', [{}])), 'start-run');
    t.truthy(start);
    if (start === undefined) return;
    harness.dispatch({
      kind: 'start-settled',
      address: start.address,
      outcome: 'unanswered',
      clockMilliseconds: null,
    });
    t.is(countPending(harness), 1);
  });

  it('does not count a job whose run a worker reports before it answers the order', (t) => {
    const harness = createServiceHarness();
    harness.addWorkers(['w1']);
    harness.accept(jobOf('a', [{}]));
    harness.report('w1', {
      running: [{ task: keyOf('a'), run: 1, checkpoint: '', percent: 100, load: null }],
    });
    t.is(countPending(harness), 0);
  });

  it('does not count a job whose run has ended before the order is answered', (t) => {
    const harness = createServiceHarness();
    harness.addWorkers(['w1']);
    harness.accept(jobOf('a', [{ taskCount: 2 }]));
    harness.report('w1', {
      ended: [{ number: 1, task: keyOf('a'), run: 1, end: 'failed', checkpoint: '' }],
    });
    t.is(countPending(harness), 0);
  });

  it('gives no count while the inbox has not been read for two seconds', (t) => {
    const harness = createServiceHarness();
    harness.accept(jobOf('a', [{}]));
    const { now } = harness.state();
    t.is(selectPendingCount(harness.state(), QUOTES, now + 2_000), 1);
    t.is(selectPendingCount(harness.state(), QUOTES, now + 2_001), null);
  });

  within('after a change of owner', ({ it: itAfterChange }) => {
    itAfterChange('counts a job that was placed and not confirmed', (t) => {
      const harness = createServiceHarness();
      harness.addWorkers(['w1']);
      const effects = harness.accept(jobOf('a', [{}]));
      const records = effectsOf(effects, 'store-records').flatMap((effect) => effect.records);
      const next = restoreFrom(harness.state(), [
        { kind: 'job-accepted', request: jobOf('a', [{}]) },
        ...records,
      ]);
      t.is(selectPendingCount(next, QUOTES, next.now), 1);
    });

    itAfterChange('keeps a job running that had started', (t) => {
      const harness = createServiceHarness();
      harness.addWorkers(['w1']);
      const request = jobOf('a', [{ taskCount: 5 }]);
      harness.accept(request);
      harness.confirmStarts();
      const effects = harness.addWorkers(['w2']);
      const records = effectsOf(effects, 'store-records').flatMap((effect) => effect.records);
      t.is(records.length, 1);
      const next = restoreFrom(harness.state(), [{ kind: 'job-accepted', request }, ...records]);
      t.is(selectJobStatus(next, QUOTES, 'a'), 'running');
      t.is(selectPendingCount(next, QUOTES, next.now), 0);
    });
  });
});
