/** Guards against a suspect that waits for good, and against blame for tasks that only ran beside one. */
import { describe } from '@baobabdeck/test-tools';
import { listHosts, NEEDS, play, runningOn, taskOf } from './quarantine-scene.js';
import { createServiceHarness, effectsOf, jobOf, startsOf, type ServiceHarness } from './service-harness.js';

const WORKERS = ['w1', 'w2', 'w3', 'w4'];

/** Time after which a suspect may start beside other tasks. */
const SHARING_MILLISECONDS = 2_000;

/** A suspect under one crash that is about to start beside one of the tasks that run on each worker. */
interface Scene {
  readonly harness: ServiceHarness;
  /** Orders the start of the suspect beside another task; returns the worker. */
  readonly startSuspect: () => string;
}

function createScene(): Scene {
  const harness = createServiceHarness();
  harness.addWorkers(WORKERS);
  harness.accept(jobOf('long', [{ taskCount: WORKERS.length, maximumPerWorker: 1, needs: NEEDS }]));
  harness.confirmStarts();
  play(harness, 3_000);
  harness.addWorkers(['crashed']);
  harness.accept(jobOf('suspect', [{ needs: NEEDS, rackOfData: 'rack-of-crashed' }]));
  harness.confirmStarts();
  listHosts(harness, ['crashed']);
  const startSuspect = (): string => {
    for (let elapsed = 0; elapsed <= 2 * SHARING_MILLISECONDS; elapsed += 100) {
      const [start] = effectsOf(harness.advance(100), 'start-run');
      if (start !== undefined) return start.address.workerId;
      WORKERS.forEach((workerId) => harness.report(workerId, { running: runningOn(harness, workerId) }));
    }
    throw new Error('Expected the suspect to start, found no start');
  };
  return { harness, startSuspect };
}

/** Returns the long task on a worker. */
function longTaskOn(harness: ServiceHarness, workerId: string) {
  const tasks = harness.state().jobs.get('long')?.occurrences.get(0)?.steps[0]?.tasks ?? [];
  return tasks.findIndex(({ runs }) => runs.some((run) => run.workerId === workerId));
}

describe('a suspect under one crash', ({ describe: within, it }) => {
  it('starts beside another task after 2 s, and no task starts beside it', (t) => {
    const { harness, startSuspect } = createScene();
    const crashedAt = harness.state().now;
    const shared = startSuspect();
    t.true(WORKERS.includes(shared));
    t.true(harness.state().now - crashedAt >= SHARING_MILLISECONDS);
    const starts = startsOf(harness.accept(jobOf('later', [{ taskCount: 9, needs: NEEDS }])));
    t.is(starts.length, 9);
    t.false(starts.includes(shared));
    t.deepEqual(harness.violations(), []);
  });

  it('waits on under a second crash, while each worker runs a task', (t) => {
    const { harness, startSuspect } = createScene();
    listHosts(harness, ['crashed', startSuspect()]);
    harness.advance(14_000);
    const before = taskOf(harness, 'suspect')?.lastRun;
    for (let elapsed = 0; elapsed < 2 * SHARING_MILLISECONDS; elapsed += 100) {
      harness.advance(100);
      WORKERS.forEach((workerId) => harness.report(workerId, { running: runningOn(harness, workerId) }));
    }
    t.is(taskOf(harness, 'suspect')?.lastRun, before);
  });

  within('whose worker crashes again', ({ it: again }) => {
    again('is blamed, and the task that was at work beside it is not', (t) => {
      const { harness, startSuspect } = createScene();
      const shared = startSuspect();
      const long = longTaskOn(harness, shared);
      harness.confirmStarts();
      listHosts(harness, ['crashed', shared]);
      t.is(taskOf(harness, 'suspect')?.workerCrashes, 2);
      t.like(taskOf(harness, 'long', long), { workerCrashes: 0, isQuarantined: false });
    });

    again('is blamed although the answer to its start was lost', (t) => {
      const { harness, startSuspect } = createScene();
      listHosts(harness, ['crashed', startSuspect()]);
      // The order may still be carried out, so that the run counts as lost only later.
      harness.advance(14_000);
      t.is(taskOf(harness, 'suspect')?.workerCrashes, 2);
    });
  });
});

describe('a task whose worker crashes while its host is drained', ({ it }) => {
  it('is blamed for the crash, since the host was not released', (t) => {
    const harness = createServiceHarness();
    harness.addWorkers(['w1']);
    harness.accept(jobOf('a', [{ needs: NEEDS }]));
    harness.confirmStarts();
    harness.dispatch({
      kind: 'host-requests-received',
      releases: [{ hostId: 'host-of-w1', purpose: 'move' }],
      returns: [],
      epoch: 1,
      sequence: 1,
    });
    listHosts(harness, ['w1']);
    t.like(taskOf(harness, 'a'), { workerCrashes: 1, isQuarantined: true });
  });
});
