import { describe } from '@baobabdeck/test-tools';
import {
  ROUND_MILLISECONDS,
  NEEDS,
  recordsOfSuspect,
  runningOn,
  play,
  taskOf,
  countRuns,
  listHosts,
} from './quarantine-scene.js';
import { createServiceHarness, jobOf, listingOf, startsOf, type ServiceHarness } from './service-harness.js';

describe('quarantined tasks', ({ describe: within }) => {
  within('waiting', ({ it }) => {
    it('starts a suspect although each worker runs one long task and is free otherwise', (t) => {
      const harness = createServiceHarness();
      harness.addWorkers(['w1', 'w2', 'w3', 'w4', 'w5']);
      harness.accept(jobOf('long', [{ taskCount: 5, maximumPerWorker: 1, needs: NEEDS }]));
      harness.confirmStarts();
      play(harness, 3_000);
      harness.addWorkers(['w6']);
      play(harness, ROUND_MILLISECONDS);
      harness.accept(jobOf('sound', [{ needs: NEEDS, rackOfData: 'rack-of-w6' }]));
      harness.confirmStarts();
      t.is(taskOf(harness, 'sound')?.runs[0]?.workerId, 'w6');
      listHosts(harness, ['w6']);
      t.true(taskOf(harness, 'sound')?.isQuarantined);
      play(harness, 5_000);
      t.is(countRuns(harness, 'sound'), 1);
    });

    for (const isHopelessJobWaiting of [false, true]) {
      it(`starts a suspect on an idle worker; a hopeless job waits: ${isHopelessJobWaiting}`, (t) => {
        const harness = createServiceHarness([
          ...recordsOfSuspect(1, jobOf('long', [{ needs: NEEDS }]), 2),
          ...recordsOfSuspect(3, jobOf('sound', [{ needs: NEEDS }]), 1),
        ]);
        if (isHopelessJobWaiting) harness.accept(jobOf('hopeless', [{ requiredLabel: 'missing' }]));
        harness.addWorkers(['w1', 'w2', 'w3', 'w4']);
        play(harness, 5_000);
        t.deepEqual([countRuns(harness, 'long'), countRuns(harness, 'sound')], [1, 1]);
      });
    }

    for (const waitingTasks of [0, 50]) {
      it(`starts each suspect that lasts within 9 s beside ${waitingTasks} other waiting tasks`, (t) => {
        const tasks = Array.from({ length: 12 }, (_, index) => index);
        const harness = createServiceHarness(
          recordsOfSuspect(1, jobOf('lasting', [{ taskCount: 12, needs: NEEDS, isLasting: true }]), 1),
        );
        if (waitingTasks > 0) {
          harness.accept(jobOf('backlog', [{ taskCount: waitingTasks, requiredLabel: 'missing' }]));
        }
        harness.addWorkers(['w1', 'w2', 'w3', 'w4', 'w5', 'w6', 'w7']);
        play(harness, 9_000);
        t.deepEqual(
          tasks.map((index) => countRuns(harness, 'lasting', index)),
          tasks.map(() => 1),
        );
      });
    }

    for (const suspectCount of [10, 70]) {
      it(`gives freed capacity to the next ordinary task while ${suspectCount} suspects wait`, (t) => {
        const all = { ...NEEDS, milliCores: 4_000 };
        const suspects = Array.from({ length: suspectCount }, (_, index) =>
          recordsOfSuspect(2 * index + 1, jobOf(`suspect-${index}`, [{ needs: all }]), 2),
        );
        const harness = createServiceHarness(suspects.flat());
        harness.advance(1);
        harness.accept(
          jobOf('ordinary', [{ taskCount: 20, needs: all }], {
            acceptedAt: new Date('2026-01-01T00:00:10Z'),
          }),
        );
        harness.addWorkers(['w1', 'w2', 'w3', 'w4']);
        play(harness, 3_100);
        const worker = [...harness.state().workers.values()].find(({ listing }) =>
          runningOn(harness, listing.workerId).some(({ task }) => task.jobId === 'ordinary'),
        );
        if (worker === undefined) throw new Error('Expected a worker of an ordinary task, found none');
        const { workerId } = worker.listing;
        const [row] = runningOn(harness, workerId);
        if (row === undefined) throw new Error('Expected a run, found none');
        harness.advance(ROUND_MILLISECONDS);
        const end = { number: 1, task: row.task, run: row.run, end: 'done' as const, checkpoint: '' };
        t.deepEqual(startsOf(harness.report(workerId, { ended: [end] })), [workerId]);
      });
    }
  });

  within('mass ends', ({ it }) => {
    const RACK = ['a1', 'a2', 'a3'];
    const OTHERS = ['b1', 'b2', 'b3', 'b4', 'b5', 'b6', 'b7', 'b8', 'b9'];
    const createRacks = (): ServiceHarness => {
      const harness = createServiceHarness();
      harness.addWorkers(RACK, { rack: 'a' });
      harness.accept(jobOf('sound', [{ taskCount: 12, needs: NEEDS }]));
      return harness;
    };

    it('suspects no task of a rack one of whose hosts has already restarted under another id', (t) => {
      const harness = createRacks();
      harness.confirmStarts();
      harness.addWorkers(OTHERS);
      play(harness, ROUND_MILLISECONDS);
      harness.addWorkers(['a4'], { rack: 'a', hostId: 'host-of-a1' });
      listHosts(harness, RACK);
      const tasks = harness.state().jobs.get('sound')?.occurrences.get(0)?.steps[0]?.tasks ?? [];
      t.is(tasks.filter(({ isQuarantined }) => isQuarantined).length, 0);
    });

    it('counts no crash of an excused rack once its hosts run the next incarnations under the same ids', (t) => {
      const harness = createRacks();
      harness.takeStarts();
      harness.dispatch({
        kind: 'workers-listed',
        workers: [
          ...RACK.map((name) => listingOf(name, { rack: 'a' })),
          ...OTHERS.map((name) => listingOf(name)),
        ],
      });
      OTHERS.forEach((name) => harness.report(name, {}));
      harness.advance(ROUND_MILLISECONDS);
      listHosts(harness, RACK);
      harness.advance(1_500);
      listHosts(harness, []);
      harness.dispatch({
        kind: 'workers-listed',
        workers: [
          ...RACK.map((name) => listingOf(name, { rack: 'a', incarnation: 2 })),
          ...OTHERS.map((name) => listingOf(name)),
        ],
      });
      harness.advance(ROUND_MILLISECONDS);
      harness
        .takeStops()
        .forEach(({ address }) => harness.dispatch({ kind: 'stop-settled', address, outcome: 'accepted' }));
      harness.advance(ROUND_MILLISECONDS);
      RACK.forEach((name) => harness.report(name, {}));
      const tasks = harness.state().jobs.get('sound')?.occurrences.get(0)?.steps[0]?.tasks ?? [];
      t.is(tasks.filter(({ isQuarantined }) => isQuarantined).length, 0);
    });
  });

  within('planned work', ({ it }) => {
    it('takes no upkeep for a crash after which the host runs the next incarnation under the same id', (t) => {
      const harness = createServiceHarness();
      harness.addWorkers(['w1']);
      listHosts(harness, ['w1'], 'upkeep');
      harness.advance(1_500);
      listHosts(harness, []);
      harness.addWorkers(['w1'], { incarnation: 2 });
      t.deepEqual([...harness.state().quarantine.crashes.keys()], []);
    });
  });

  within('changes of the owner', ({ it }) => {
    it('suspects no lasting task that was at work for long before the change', (t) => {
      const former = createServiceHarness();
      former.addWorkers(['w1']);
      former.accept(jobOf('lasting', [{ needs: NEEDS, isLasting: true }]));
      play(former, 5_000);
      const harness = createServiceHarness(former.records());
      harness.dispatch({ kind: 'workers-listed', workers: [listingOf('w1')] });
      const run = taskOf(harness, 'lasting')?.runs[0]?.run ?? 0;
      const task = { jobId: 'lasting', occurrence: 0, step: 0, index: 0 };
      harness.report('w1', { running: [{ task, run, checkpoint: '', percent: 100, load: null }] });
      harness.advance(ROUND_MILLISECONDS);
      listHosts(harness, ['w1']);
      t.like(taskOf(harness, 'lasting'), { workerCrashes: 0, isQuarantined: false });
    });
  });
});
