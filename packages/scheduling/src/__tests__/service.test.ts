import { describe } from '@baobabdeck/test-tools';
import { selectJobStatus } from '../service/selectors.js';
import { createPlay, effectsOf, jobOf, keyOf, startsOf, type ServicePlay } from './service-play.js';

function running(play: ServicePlay, workerId: string, ...indexes: readonly number[]): void {
  play.settleStarts();
  play.pass(10);
  play.report(workerId, {
    running: indexes.map((index) => ({
      task: keyOf('a', index),
      run: 1,
      checkpoint: '',
      percent: 100,
      load: null,
    })),
  });
}

describe('a task', ({ describe: within, it }) => {
  it('starts once its run is recorded, and not before', (t) => {
    const play = createPlay();
    play.addWorkers(['w1']);
    const kinds = play.accept(jobOf('a', [{}])).map(({ kind }) => kind);
    t.true(kinds.indexOf('store-records') < kinds.indexOf('start-run'));
  });

  it('goes to no worker that is full', (t) => {
    const play = createPlay();
    play.addWorkers(['w1']);
    t.deepEqual(startsOf(play.accept(jobOf('a', [{ taskCount: 6 }]))), ['w1', 'w1', 'w1', 'w1']);
  });

  it('goes to the fullest worker that has room', (t) => {
    const play = createPlay();
    play.addWorkers(['w1', 'w2']);
    const [first] = startsOf(play.accept(jobOf('a', [{}])));
    t.deepEqual(startsOf(play.accept(jobOf('b', [{}]))), [first]);
  });

  it('goes near its data where there is room', (t) => {
    const play = createPlay();
    play.addWorkers(['w1', 'w2']);
    t.deepEqual(startsOf(play.accept(jobOf('a', [{ rackOfData: 'rack-of-w2' }]))), ['w2']);
    t.deepEqual(startsOf(play.accept(jobOf('b', [{ rackOfData: 'rack-of-w1' }]))), ['w1']);
  });

  it('goes only to workers with the label that it asks for', (t) => {
    const play = createPlay();
    play.addWorkers(['plain']);
    t.deepEqual(startsOf(play.accept(jobOf('a', [{ requiredLabel: 'fast' }]))), []);
    t.deepEqual(startsOf(play.addWorkers(['quick'], { labels: ['fast'] })), ['quick']);
  });

  it('waits for the steps before its own', (t) => {
    const play = createPlay();
    play.addWorkers(['w1']);
    t.is(startsOf(play.accept(jobOf('a', [{}, { after: [0] }]))).length, 1);
    play.settleStarts();
    const ended = { number: 1, task: keyOf('a'), run: 1, end: 'done' as const, checkpoint: '' };
    const [start] = effectsOf(play.report('w1', { ended: [ended] }), 'start-run');
    t.is(start?.address.task.step, 1);
  });

  it('shares a worker with no more of its step than may', (t) => {
    const play = createPlay();
    play.addWorkers(['w1', 'w2']);
    const starts = startsOf(play.accept(jobOf('a', [{ taskCount: 3, maximumPerWorker: 1 }])));
    t.deepEqual([...starts].sort(), ['w1', 'w2']);
  });

  within('that ended', ({ it: ended }) => {
    ended('is shown as done only once that is stored', (t) => {
      const play = createPlay();
      play.addWorkers(['w1']);
      play.accept(jobOf('a', [{}]));
      play.settleStarts();
      const done = { number: 1, task: keyOf('a'), run: 1, end: 'done' as const, checkpoint: '' };
      play.report('w1', { ended: [done] });
      t.is(selectJobStatus(play.state(), 'quotes', 'a'), 'completed');
    });

    ended('is acknowledged to its worker only once that is stored', (t) => {
      const play = createPlay();
      play.addWorkers(['w1']);
      play.accept(jobOf('a', [{}]));
      play.settleStarts();
      const done = { number: 1, task: keyOf('a'), run: 1, end: 'done' as const, checkpoint: '' };
      const effects = play.report('w1', { ended: [done] });
      const stored = effects.findIndex(({ kind }) => kind === 'store-records');
      const early = effectsOf(effects.slice(0, stored), 'renew-lease');
      t.true(early.every(({ acknowledgedEnd }) => acknowledgedEnd === 0));
      const later = effectsOf([...effects.slice(stored), ...play.pass(400)], 'renew-lease');
      t.is(later.at(-1)?.acknowledgedEnd, 1);
    });

    ended('in failure starts elsewhere, and fails its job in the end', (t) => {
      const play = createPlay();
      play.addWorkers(['w1', 'w2', 'w3']);
      const starts = [...effectsOf(play.accept(jobOf('a', [{}])), 'start-run')];
      for (let run = 1; run <= 3; run += 1) {
        play.settleStarts();
        const workerId = starts.at(-1)?.address.workerId ?? '';
        const failed = { number: 1, task: keyOf('a'), run, end: 'failed' as const, checkpoint: '' };
        starts.push(...effectsOf(play.report(workerId, { ended: [failed] }), 'start-run'));
      }
      t.is(new Set(starts.map(({ address }) => address.workerId)).size, 3);
      t.is(selectJobStatus(play.state(), 'quotes', 'a'), 'failed');
    });
  });

  within('whose worker is silent', ({ it: silent }) => {
    silent('waits for the end of the lease before it starts elsewhere', (t) => {
      const play = createPlay();
      play.addWorkers(['w1']);
      play.accept(jobOf('a', [{}]));
      running(play, 'w1', 0);
      play.addWorkers(['w2']);
      play.dispatch({ kind: 'worker-silent', workerId: 'w1', askedAt: 0 });
      t.deepEqual(startsOf(play.pass(4_000)), []);
      play.report('w2', {});
      t.deepEqual([...startsOf(play.pass(2_500)), ...startsOf(play.pass(500))], ['w2']);
    });
  });
});

describe('a gang', ({ it }) => {
  it('starts together or not at all', (t) => {
    const play = createPlay();
    play.addWorkers(['w1']);
    t.deepEqual(startsOf(play.accept(jobOf('a', [{ taskCount: 5, isGang: true }]))), []);
    t.is(startsOf(play.addWorkers(['w2'])).length, 5);
  });

  it('is stopped where one of its members is lost', (t) => {
    const play = createPlay();
    play.addWorkers(['w1', 'w2']);
    play.accept(jobOf('a', [{ taskCount: 2, isGang: true, maximumPerWorker: 1 }]));
    play.settleStarts();
    play.pass(7_000);
    const host = (name: string, workerId: string | null) => ({
      hostId: `host-of-${name}`,
      pool: 'quotes',
      state: 'up' as const,
      dataCentre: 'west',
      rack: 'r',
      capacity: { milliCores: 4_000, memoryMegabytes: 8_192, accelerators: 0 },
      workerId,
    });
    const effects = play.dispatch({
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

describe('an order of work', ({ it }) => {
  it('puts what is still in time before what is late, and the urgent first', (t) => {
    const play = createPlay();
    const full = { taskCount: 4 };
    play.accept(jobOf('late', [full], { ageMilliseconds: 60_000 }));
    play.accept(jobOf('common', [full], { priority: 1 }));
    play.accept(jobOf('urgent', [full]));
    const starts = effectsOf(play.addWorkers(['w1', 'w2']), 'start-run');
    t.deepEqual([...new Set(starts.map(({ address }) => address.task.jobId))], ['urgent', 'common']);
  });
});

describe('a cancelled job', ({ it }) => {
  it('starts nothing more, and what runs is stopped', (t) => {
    const play = createPlay();
    play.addWorkers(['w1']);
    play.accept(jobOf('a', [{ taskCount: 6 }]));
    running(play, 'w1', 0, 1, 2, 3);
    const effects = play.dispatch({
      kind: 'records-read',
      records: [{ offset: 99, record: { kind: 'job-cancelled', jobId: 'a' } }],
      askedAt: 1_000_100,
    });
    t.is(effectsOf(effects, 'stop-run').length, 4);
    t.deepEqual(startsOf([...effects, ...play.addWorkers(['w2'])]), []);
  });
});

describe('a host that is wanted', ({ describe: within, it }) => {
  const wish = (play: ServicePlay, hostId: string, sequence = 1, epoch = 1) =>
    play.dispatch({
      kind: 'hosts-wished',
      releases: [{ hostId, purpose: 'move' }],
      returns: [],
      epoch,
      sequence,
    });

  it('gets no new task', (t) => {
    const play = createPlay();
    play.addWorkers(['w1']);
    wish(play, 'host-of-w1');
    t.deepEqual(startsOf(play.accept(jobOf('a', [{}]))), []);
  });

  it('is emptied of its newest life where the register holds a former one too', (t) => {
    const play = createPlay();
    play.addWorkers(['former'], { hostId: 'h1' });
    play.addWorkers(['newest'], { hostId: 'h1', incarnation: 2 });
    wish(play, 'h1');
    const hold = (workerId: string) => play.state().workers.get(workerId)?.drainState.kind;
    t.deepEqual([hold('former'), hold('newest')], ['none', 'leaving']);
  });

  it('is not obeyed for by an older message', (t) => {
    const play = createPlay();
    play.addWorkers(['w1']);
    play.dispatch({ kind: 'hosts-wished', releases: [], returns: [], epoch: 2, sequence: 1 });
    wish(play, 'host-of-w1', 9, 1);
    t.deepEqual(startsOf(play.accept(jobOf('a', [{}]))), ['w1']);
  });

  within('with lasting tasks', ({ it: lasting }) => {
    lasting('keeps them while as many others are absent as may be', (t) => {
      const play = createPlay();
      play.addWorkers(['w1', 'w2', 'w3']);
      play.accept(jobOf('a', [{ taskCount: 2, isLasting: true, maximumAbsent: 1, maximumPerWorker: 1 }]));
      const starts = [...play.state().workers.values()].filter(({ tasks }) => !tasks.isEmpty());
      const [first, second] = starts.map(({ listing }) => listing);
      play.settleStarts();
      play.pass(10);
      // The second task of the step is not known to be at work.
      const [firstTask] =
        play
          .state()
          .workers.get(first?.workerId ?? '')
          ?.tasks.values() ?? [];
      const row = { task: firstTask ?? keyOf('a'), run: 1, checkpoint: '', percent: 100, load: null };
      play.report(first?.workerId ?? '', { running: [row] });
      t.deepEqual(effectsOf(wish(play, first?.hostId ?? ''), 'stop-run'), []);
      const [secondTask] =
        play
          .state()
          .workers.get(second?.workerId ?? '')
          ?.tasks.values() ?? [];
      play.report(second?.workerId ?? '', { running: [{ ...row, task: secondTask ?? keyOf('a', 1) }] });
      t.is(effectsOf(wish(play, first?.hostId ?? '', 2), 'stop-run').length, 1);
    });
  });
});

describe('a step of lasting tasks', ({ it }) => {
  it('counts those on a worker that is gone or silent as absent', (t) => {
    const takenAwayAfter = (end: (play: ServicePlay, workerId: string) => void): number => {
      const play = createPlay();
      play.addWorkers(['w1', 'w2', 'w3']);
      play.accept(jobOf('a', [{ taskCount: 2, isLasting: true, maximumAbsent: 1, maximumPerWorker: 1 }]));
      play.settleStarts();
      play.pass(10);
      const workers = [...play.state().workers.values()].filter(({ tasks }) => !tasks.isEmpty());
      workers.forEach(({ listing, tasks }) => {
        const [task = keyOf('a')] = tasks.values();
        play.report(listing.workerId, {
          running: [{ task, run: 1, checkpoint: '', percent: 100, load: null }],
        });
      });
      const [first, second] = workers.map(({ listing }) => listing);
      end(play, second?.workerId ?? '');
      const releases = [{ hostId: first?.hostId ?? '', purpose: 'move' as const }];
      const effects = play.dispatch({ kind: 'hosts-wished', releases, returns: [], epoch: 1, sequence: 1 });
      return effectsOf(effects, 'stop-run').length;
    };
    const stopped = takenAwayAfter(() => undefined);
    const silent = takenAwayAfter((play, workerId) =>
      play.dispatch({ kind: 'worker-silent', workerId, askedAt: 1_000_005 }),
    );
    t.deepEqual([stopped, silent], [1, 0]);
  });
});

describe('a worker', ({ it }) => {
  it('that fails whatever it starts rests, and is tried again', (t) => {
    const play = createPlay();
    play.addWorkers(['w1']);
    play.accept(jobOf('a', [{ taskCount: 3 }], { maximumFailedRuns: 9 }));
    play.settleStarts();
    const failed = [0, 1, 2].map((index) => ({
      number: index + 1,
      task: keyOf('a', index),
      run: 1,
      end: 'failed' as const,
      checkpoint: '',
    }));
    play.report('w1', { ended: failed });
    play.settleStarts();
    play.pass(100);
    t.deepEqual(startsOf(play.accept(jobOf('b', [{}]))), []);
    t.true(startsOf(play.pass(2_000)).length > 0);
  });

  it('that has seen a newer owner ends the ownership', (t) => {
    const play = createPlay();
    play.addWorkers(['w1']);
    const effects = play.dispatch({ kind: 'worker-fenced', workerId: 'w1' });
    t.is(effectsOf(effects, 'give-up-ownership').length, 1);
    t.deepEqual(play.accept(jobOf('a', [{}])), []);
  });

  it('that started again under its id brings a new claim about where an order may come late', (t) => {
    const play = createPlay();
    play.addWorkers(['w1']);
    const [start] = effectsOf(play.accept(jobOf('a', [{}])), 'start-run');
    if (start === undefined) {
      t.fail();
      return;
    }
    const { address } = start;
    play.dispatch({ kind: 'start-settled', address, outcome: 'unanswered', clockMilliseconds: null });
    const effects = play.addWorkers(['w1'], { incarnation: 2 });
    t.true(effectsOf(effects, 'give-up-ownership').some(({ claimsAgain }) => claimsAgain));
  });
});
