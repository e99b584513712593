import { describe } from '@baobabdeck/test-tools';
import { selectJobStatus } from '../service/selectors.js';
import {
  QUOTES,
  createServiceHarness,
  effectsOf,
  jobOf,
  keyOf,
  startsOf,
  type ServiceHarness,
} from './service-harness.js';

function reportRunning(harness: ServiceHarness, workerId: string, ...indexes: readonly number[]): void {
  harness.confirmStarts();
  harness.advance(10);
  harness.report(workerId, {
    running: indexes.map((index) => ({
      task: keyOf('a', index),
      run: 1,
      checkpoint: '',
      percent: 100,
      load: null,
    })),
  });
}

describe('tasks', ({ describe: within, it }) => {
  it('starts a run only once it is recorded', (t) => {
    const harness = createServiceHarness();
    harness.addWorkers(['w1']);
    const kinds = harness.accept(jobOf('a', [{}])).map(({ kind }) => kind);
    t.true(kinds.indexOf('store-records') < kinds.indexOf('start-run'));
  });

  it('places no more tasks on a worker than fit', (t) => {
    const harness = createServiceHarness();
    harness.addWorkers(['w1']);
    t.deepEqual(startsOf(harness.accept(jobOf('a', [{ taskCount: 6 }]))), ['w1', 'w1', 'w1', 'w1']);
  });

  it('prefers the fullest worker that has enough free capacity', (t) => {
    const harness = createServiceHarness();
    harness.addWorkers(['w1', 'w2']);
    const [first] = startsOf(harness.accept(jobOf('a', [{}])));
    t.deepEqual(startsOf(harness.accept(jobOf('b', [{}]))), [first]);
  });

  it('prefers workers in the rack of the data', (t) => {
    const harness = createServiceHarness();
    harness.addWorkers(['w1', 'w2']);
    t.deepEqual(startsOf(harness.accept(jobOf('a', [{ rackOfData: 'rack-of-w2' }]))), ['w2']);
    t.deepEqual(startsOf(harness.accept(jobOf('b', [{ rackOfData: 'rack-of-w1' }]))), ['w1']);
  });

  it('places a task only on workers with its required label', (t) => {
    const harness = createServiceHarness();
    harness.addWorkers(['plain']);
    t.deepEqual(startsOf(harness.accept(jobOf('a', [{ requiredLabel: 'fast' }]))), []);
    t.deepEqual(startsOf(harness.addWorkers(['quick'], { labels: ['fast'] })), ['quick']);
  });

  it('starts a step once the steps that it depends on are done', (t) => {
    const harness = createServiceHarness();
    harness.addWorkers(['w1']);
    t.is(startsOf(harness.accept(jobOf('a', [{}, { after: [0] }]))).length, 1);
    harness.confirmStarts();
    const ended = { number: 1, task: keyOf('a'), run: 1, end: 'done' as const, checkpoint: '' };
    const [start] = effectsOf(harness.report('w1', { ended: [ended] }), 'start-run');
    t.is(start?.address.task.step, 1);
  });

  it('limits the tasks of one step per worker', (t) => {
    const harness = createServiceHarness();
    harness.addWorkers(['w1', 'w2']);
    const starts = startsOf(harness.accept(jobOf('a', [{ taskCount: 3, maximumPerWorker: 1 }])));
    t.deepEqual([...starts].sort(), ['w1', 'w2']);
  });

  within('ended runs', ({ it: itEnded }) => {
    itEnded('reports a job as completed once the end of its run is stored', (t) => {
      const harness = createServiceHarness();
      harness.addWorkers(['w1']);
      harness.accept(jobOf('a', [{}]));
      harness.confirmStarts();
      const done = { number: 1, task: keyOf('a'), run: 1, end: 'done' as const, checkpoint: '' };
      harness.report('w1', { ended: [done] });
      t.is(selectJobStatus(harness.state(), QUOTES, 'a'), 'completed');
    });

    itEnded('acknowledges the end of a run to its worker only once it is stored', (t) => {
      const harness = createServiceHarness();
      harness.addWorkers(['w1']);
      harness.accept(jobOf('a', [{}]));
      harness.confirmStarts();
      const done = { number: 1, task: keyOf('a'), run: 1, end: 'done' as const, checkpoint: '' };
      const effects = harness.report('w1', { ended: [done] });
      const stored = effects.findIndex(({ kind }) => kind === 'store-records');
      const early = effectsOf(effects.slice(0, stored), 'renew-lease');
      t.true(early.every(({ acknowledgedEnd }) => acknowledgedEnd === 0));
      const later = effectsOf([...effects.slice(stored), ...harness.advance(400)], 'renew-lease');
      t.is(later.at(-1)?.acknowledgedEnd, 1);
    });

    itEnded('restarts a failed task on other workers and fails its job after the last attempt', (t) => {
      const harness = createServiceHarness();
      harness.addWorkers(['w1', 'w2', 'w3']);
      const starts = [...effectsOf(harness.accept(jobOf('a', [{}])), 'start-run')];
      for (let run = 1; run <= 3; run += 1) {
        harness.confirmStarts();
        const workerId = starts.at(-1)?.address.workerId ?? '';
        const failed = { number: 1, task: keyOf('a'), run, end: 'failed' as const, checkpoint: '' };
        starts.push(...effectsOf(harness.report(workerId, { ended: [failed] }), 'start-run'));
      }
      t.is(new Set(starts.map(({ address }) => address.workerId)).size, 3);
      t.is(selectJobStatus(harness.state(), QUOTES, 'a'), 'failed');
    });
  });

  within('silent workers', ({ it: itSilent }) => {
    itSilent('restarts the tasks of a silent worker only after its lease has expired', (t) => {
      const harness = createServiceHarness();
      harness.addWorkers(['w1']);
      harness.accept(jobOf('a', [{}]));
      reportRunning(harness, 'w1', 0);
      harness.addWorkers(['w2']);
      harness.dispatch({ kind: 'worker-silent', workerId: 'w1', askedAt: 0 });
      t.deepEqual(startsOf(harness.advance(4_000)), []);
      harness.report('w2', {});
      t.deepEqual([...startsOf(harness.advance(2_500)), ...startsOf(harness.advance(500))], ['w2']);
    });
  });
});

describe('gangs', ({ it }) => {
  it('starts all members of a gang or none', (t) => {
    const harness = createServiceHarness();
    harness.addWorkers(['w1']);
    t.deepEqual(startsOf(harness.accept(jobOf('a', [{ taskCount: 5, isGang: true }]))), []);
    t.is(startsOf(harness.addWorkers(['w2'])).length, 5);
  });

  it('stops the remaining members of a gang if one is lost', (t) => {
    const harness = createServiceHarness();
    harness.addWorkers(['w1', 'w2']);
    harness.accept(jobOf('a', [{ taskCount: 2, isGang: true, maximumPerWorker: 1 }]));
    harness.confirmStarts();
    harness.advance(7_000);
    const host = (name: string, workerId: string | null) => ({
      hostId: `host-of-${name}`,
      pool: 'quotes',
      state: 'up' as const,
      dataCentre: 'west',
      rack: 'r',
      capacity: { milliCores: 4_000, memoryMegabytes: 8_192, accelerators: 0 },
      workerId,
    });
    const effects = harness.dispatch({
      kind: 'hosts-listed',
      hosts: [host('w1', 'another'), host('w2', 'w2')],
      askedAt: 1_007_000,
    });
    t.deepEqual(
      effectsOf(effects, 'stop-run').map(({ address }) => address.workerId),
      ['w2'],
    );
  });
});

describe('waiting order', ({ it }) => {
  it('places on-time jobs before late jobs and urgent jobs first', (t) => {
    const harness = createServiceHarness();
    const full = { taskCount: 4 };
    harness.accept(jobOf('late', [full], { ageMilliseconds: 60_000 }));
    harness.accept(jobOf('common', [full], { priority: 1 }));
    harness.accept(jobOf('urgent', [full]));
    const starts = effectsOf(harness.addWorkers(['w1', 'w2']), 'start-run');
    t.deepEqual([...new Set(starts.map(({ address }) => address.task.jobId))], ['urgent', 'common']);
  });
});

describe('cancelled jobs', ({ it }) => {
  it('starts no more tasks of a cancelled job and stops its runs', (t) => {
    const harness = createServiceHarness();
    harness.addWorkers(['w1']);
    harness.accept(jobOf('a', [{ taskCount: 6 }]));
    reportRunning(harness, 'w1', 0, 1, 2, 3);
    const effects = harness.dispatch({
      kind: 'records-read',
      records: [{ offset: 99, record: { kind: 'job-cancelled', jobId: 'a' } }],
      askedAt: 1_000_100,
    });
    t.is(effectsOf(effects, 'stop-run').length, 4);
    t.deepEqual(startsOf([...effects, ...harness.addWorkers(['w2'])]), []);
  });
});

describe('requested host actions', ({ describe: within, it }) => {
  const requestAction = (harness: ServiceHarness, hostId: string, sequence = 1, epoch = 1) =>
    harness.dispatch({
      kind: 'host-requests-received',
      releases: [{ hostId, purpose: 'move' }],
      returns: [],
      epoch,
      sequence,
    });

  it('places no new task on a host that is to be released', (t) => {
    const harness = createServiceHarness();
    harness.addWorkers(['w1']);
    requestAction(harness, 'host-of-w1');
    t.deepEqual(startsOf(harness.accept(jobOf('a', [{}]))), []);
  });

  it('drains only the newest incarnation if the register lists an earlier one, too', (t) => {
    const harness = createServiceHarness();
    harness.addWorkers(['earlier'], { hostId: 'h1' });
    harness.addWorkers(['newest'], { hostId: 'h1', incarnation: 2 });
    requestAction(harness, 'h1');
    const drainStateOf = (workerId: string) => harness.state().workers.get(workerId)?.drainState.kind;
    t.deepEqual([drainStateOf('earlier'), drainStateOf('newest')], ['none', 'leaving']);
  });

  it('ignores a request with an older epoch', (t) => {
    const harness = createServiceHarness();
    harness.addWorkers(['w1']);
    harness.dispatch({ kind: 'host-requests-received', releases: [], returns: [], epoch: 2, sequence: 1 });
    requestAction(harness, 'host-of-w1', 9, 1);
    t.deepEqual(startsOf(harness.accept(jobOf('a', [{}]))), ['w1']);
  });

  within('lasting tasks', ({ it: itLasting }) => {
    itLasting('keeps a lasting task on its host while as many others are absent as allowed', (t) => {
      const harness = createServiceHarness();
      harness.addWorkers(['w1', 'w2', 'w3']);
      harness.accept(jobOf('a', [{ taskCount: 2, isLasting: true, maximumAbsent: 1, maximumPerWorker: 1 }]));
      const starts = [...harness.state().workers.values()].filter(({ tasks }) => !tasks.isEmpty());
      const [first, second] = starts.map(({ listing }) => listing);
      harness.confirmStarts();
      harness.advance(10);
      // No report has confirmed yet that the second task of the step runs.
      const [firstTask] =
        harness
          .state()
          .workers.get(first?.workerId ?? '')
          ?.tasks.values() ?? [];
      const row = { task: firstTask ?? keyOf('a'), run: 1, checkpoint: '', percent: 100, load: null };
      harness.report(first?.workerId ?? '', { running: [row] });
      t.deepEqual(effectsOf(requestAction(harness, first?.hostId ?? ''), 'stop-run'), []);
      const [secondTask] =
        harness
          .state()
          .workers.get(second?.workerId ?? '')
          ?.tasks.values() ?? [];
      harness.report(second?.workerId ?? '', { running: [{ ...row, task: secondTask ?? keyOf('a', 1) }] });
      t.is(effectsOf(requestAction(harness, first?.hostId ?? '', 2), 'stop-run').length, 1);
    });
  });
});

describe('absent lasting tasks', ({ it }) => {
  it('counts lasting tasks on a silent worker as absent', (t) => {
    const countStoppedAfter = (end: (harness: ServiceHarness, workerId: string) => void): number => {
      const harness = createServiceHarness();
      harness.addWorkers(['w1', 'w2', 'w3']);
      harness.accept(jobOf('a', [{ taskCount: 2, isLasting: true, maximumAbsent: 1, maximumPerWorker: 1 }]));
      harness.confirmStarts();
      harness.advance(10);
      const workers = [...harness.state().workers.values()].filter(({ tasks }) => !tasks.isEmpty());
      workers.forEach(({ listing, tasks }) => {
        const [task = keyOf('a')] = tasks.values();
        harness.report(listing.workerId, {
          running: [{ task, run: 1, checkpoint: '', percent: 100, load: null }],
        });
      });
      const [first, second] = workers.map(({ listing }) => listing);
      end(harness, second?.workerId ?? '');
      const releases = [{ hostId: first?.hostId ?? '', purpose: 'move' as const }];
      const effects = harness.dispatch({
        kind: 'host-requests-received',
        releases,
        returns: [],
        epoch: 1,
        sequence: 1,
      });
      return effectsOf(effects, 'stop-run').length;
    };
    const stopped = countStoppedAfter(() => undefined);
    const silent = countStoppedAfter((harness, workerId) =>
      harness.dispatch({ kind: 'worker-silent', workerId, askedAt: 1_000_005 }),
    );
    t.deepEqual([stopped, silent], [1, 0]);
  });
});

describe('workers', ({ it }) => {
  it('ejects a worker on which consecutive runs fail and uses it again after a cooldown', (t) => {
    const harness = createServiceHarness();
    harness.addWorkers(['w1']);
    harness.accept(jobOf('a', [{ taskCount: 3 }], { maximumFailedRuns: 9 }));
    harness.confirmStarts();
    const failed = [0, 1, 2].map((index) => ({
      number: index + 1,
      task: keyOf('a', index),
      run: 1,
      end: 'failed' as const,
      checkpoint: '',
    }));
    harness.report('w1', { ended: failed });
    harness.confirmStarts();
    harness.advance(100);
    t.deepEqual(startsOf(harness.accept(jobOf('b', [{}]))), []);
    t.true(startsOf(harness.advance(2_000)).length > 0);
  });

  it('gives up ownership if a worker has seen a newer owner', (t) => {
    const harness = createServiceHarness();
    harness.addWorkers(['w1']);
    const effects = harness.dispatch({ kind: 'worker-fenced', workerId: 'w1' });
    t.is(effectsOf(effects, 'give-up-ownership').length, 1);
    t.deepEqual(harness.accept(jobOf('a', [{}])), []);
  });

  it('claims ownership again if a worker restarts while a delayed start order may still arrive', (t) => {
    const harness = createServiceHarness();
    harness.addWorkers(['w1']);
    const [start] = effectsOf(harness.accept(jobOf('a', [{}])), 'start-run');
    if (start === undefined) {
      t.fail();
      return;
    }
    const { address } = start;
    harness.dispatch({ kind: 'start-settled', address, outcome: 'unanswered', clockMilliseconds: null });
    const effects = harness.addWorkers(['w1'], { incarnation: 2 });
    t.true(effectsOf(effects, 'give-up-ownership').some(({ claimsAgain }) => claimsAgain));
  });
});
