import { describe } from '@baobabdeck/test-tools';
import { taskIdOf, type TaskKey } from '../model/job.js';
import { selectJobStatus } from '../service/selectors.js';
import { createCrashingWorkers, type CrashingWorkers, type CrashTerms } from './crashing-workers.js';
import { QUOTES, createServiceHarness, jobOf, keyOf, type ServiceHarness } from './service-harness.js';

/** Starts that the most crashes before a verdict allow: the rule on attempts allows five. */
const MAXIMUM_STARTS = 4;

const TEN_SECONDS = 100;
const ONE_SECOND = 10;

const isOfDeadlyJob = ({ jobId }: TaskKey): boolean => jobId === 'deadly';

interface Scene {
  readonly harness: ServiceHarness;
  readonly workers: CrashingWorkers;
  readonly statusOf: (jobId: string) => string | null;
}

function createScene(workerCount: number, terms: Partial<CrashTerms> = {}): Scene {
  const harness = createServiceHarness();
  const workers = createCrashingWorkers(harness, {
    racks: Array.from({ length: workerCount }, (_, index) => `rack-${index}`),
    isDeadly: isOfDeadlyJob,
    durationOf: () => 500,
    ...terms,
  });
  return {
    harness,
    workers,
    statusOf: (jobId) => selectJobStatus(harness.state(), QUOTES, jobId),
  };
}

function countWorkerCrashes({ harness }: Scene, key: TaskKey): number | undefined {
  return harness.state().jobs.get(key.jobId)?.occurrences.get(key.occurrence)?.steps[key.step]?.tasks[
    key.index
  ]?.workerCrashes;
}

function isQuarantined({ harness }: Scene, key: TaskKey): boolean | undefined {
  return harness.state().jobs.get(key.jobId)?.occurrences.get(key.occurrence)?.steps[key.step]?.tasks[
    key.index
  ]?.isQuarantined;
}

describe('tasks that crash their workers', ({ describe: within, it }) => {
  it('gives up a task that crashes each worker that starts it after a few starts', (t) => {
    const scene = createScene(6);
    scene.harness.accept(jobOf('deadly', [{}]));
    scene.workers.play(3 * TEN_SECONDS);
    t.true(scene.workers.countStarts(taskIdOf(keyOf('deadly'))) <= MAXIMUM_STARTS);
    t.is(scene.statusOf('deadly'), 'failed');
  });

  it('gives up the task if the answers to its starts are lost with the workers', (t) => {
    const scene = createScene(6, { losesAnswers: true });
    scene.harness.accept(jobOf('deadly', [{}]));
    scene.workers.play(3 * TEN_SECONDS);
    t.true(scene.workers.countStarts(taskIdOf(keyOf('deadly'))) <= MAXIMUM_STARTS + 1);
    t.is(scene.statusOf('deadly'), 'failed');
  });

  it('completes the sound tasks that lost their worker to it', (t) => {
    const scene = createScene(6);
    scene.harness.accept(jobOf('sound', [{ taskCount: 15 }]), jobOf('deadly', [{}]));
    scene.harness.accept(jobOf('later', [{ taskCount: 15 }]));
    scene.workers.play(3 * TEN_SECONDS);
    t.deepEqual(['sound', 'later', 'deadly'].map(scene.statusOf), ['completed', 'completed', 'failed']);
  });

  it('gives up only the jobs with such a task while several of them run', (t) => {
    const scene = createScene(8, { isDeadly: ({ jobId }) => jobId.startsWith('deadly') });
    for (let index = 0; index < 5; index += 1) {
      scene.harness.accept(jobOf(`sound-${index}`, [{ taskCount: 6 }]), jobOf(`deadly-${index}`, [{}]));
      scene.workers.play(ONE_SECOND);
    }
    scene.workers.play(6 * TEN_SECONDS);
    const statuses = (kind: string) => [0, 1, 2, 3, 4].map((index) => scene.statusOf(`${kind}-${index}`));
    t.deepEqual([...new Set(statuses('sound'))], ['completed']);
    t.deepEqual([...new Set(statuses('deadly'))], ['failed']);
    const counts = [0, 1, 2, 3, 4].map((index) =>
      scene.workers.countStarts(taskIdOf(keyOf(`deadly-${index}`))),
    );
    t.true(Math.max(...counts) <= MAXIMUM_STARTS + 1, `starts: ${counts.join(', ')}`);
  });

  it('counts crashes that follow each other in a small pool, which look like a mass end', (t) => {
    const scene = createScene(4, { isDeadly: ({ jobId }) => jobId.startsWith('deadly') });
    const jobIds = ['deadly-0', 'deadly-1', 'deadly-2', 'deadly-3', 'deadly-4', 'deadly-5'];
    scene.harness.accept(
      ...jobIds.map((jobId) =>
        jobOf(jobId, [{ needs: { milliCores: 4_000, memoryMegabytes: 1, accelerators: 0 } }]),
      ),
    );
    scene.workers.play(10 * TEN_SECONDS);
    t.deepEqual([...new Set(jobIds.map(scene.statusOf))], ['failed']);
    const counts = jobIds.map((jobId) => scene.workers.countStarts(taskIdOf(keyOf(jobId))));
    t.true(Math.max(...counts) <= MAXIMUM_STARTS + 1, `starts: ${counts.join(', ')}`);
  });

  it('continues the count of the previous owner', (t) => {
    const scene = createScene(6);
    scene.harness.accept(jobOf('deadly', [{}]));
    while (scene.workers.starts.length < 1) scene.workers.play(1);
    const harness = createServiceHarness(scene.harness.records());
    const workers = createCrashingWorkers(harness, {
      racks: ['r1', 'r2', 'r3', 'r4', 'r5', 'r6'],
      isDeadly: isOfDeadlyJob,
      durationOf: () => 500,
    });
    workers.play(3 * TEN_SECONDS);
    t.is(selectJobStatus(harness.state(), QUOTES, 'deadly'), 'failed');
    t.is(workers.starts.length, 2);
  });

  it('gives up a task at the limit whose verdict the previous owner did not store', (t) => {
    const progressOf = (workerCrashes: number) => ({
      phase: 'active' as const,
      queue: 'quotes',
      occurrencesDone: [],
      occurrencesDoneBelow: 0,
      occurrences: [
        {
          occurrence: 0,
          steps: [
            [
              {
                index: 0,
                isDone: false,
                lastRun: workerCrashes,
                failedRuns: 0,
                workerCrashes,
                isQuarantined: true,
                checkpoint: '',
                runs: [],
              },
            ],
          ],
        },
      ],
      hasStarted: true,
      failureReason: null,
    });
    const startsAfter = (workerCrashes: number): number => {
      const harness = createServiceHarness([
        { offset: 1, record: { kind: 'job-accepted', request: jobOf('deadly', [{}]) } },
        { offset: 2, record: { kind: 'job-progress', jobId: 'deadly', progress: progressOf(workerCrashes) } },
      ]);
      harness.addWorkers(['w1']);
      harness.advance(100);
      return harness.takeStarts().length;
    };
    t.deepEqual([startsAfter(3), startsAfter(4)], [1, 0]);
  });

  within('what is no evidence', ({ it: itExcused }) => {
    itExcused('suspects no task of a rack that goes down', (t) => {
      const scene = createScene(9, { racks: ['a', 'a', 'a', 'b', 'b', 'b', 'b', 'b', 'b'] });
      scene.harness.accept(jobOf('sound', [{ taskCount: 36 }]));
      scene.workers.play(3);
      const rack = scene.workers.workerIds().filter((id) => /host-[012]$/.test(id));
      scene.workers.crash(rack);
      const tasks = Array.from({ length: 36 }, (_, index) => keyOf('sound', index));
      t.true(
        tasks.every((key) => countWorkerCrashes(scene, key) === 0 && isQuarantined(scene, key) === false),
      );
      scene.workers.play(3 * TEN_SECONDS);
      t.is(scene.statusOf('sound'), 'completed');
    });

    itExcused('suspects no task of a rack that is seen to go down one worker after the other', (t) => {
      const scene = createScene(9, { racks: ['a', 'a', 'a', 'b', 'b', 'b', 'b', 'b', 'b'] });
      scene.harness.accept(jobOf('sound', [{ taskCount: 36 }]));
      scene.workers.play(3);
      const rack = scene.workers.workerIds().filter((id) => /host-[012]$/.test(id));
      rack.forEach((workerId) => scene.workers.crash([workerId]));
      const tasks = Array.from({ length: 36 }, (_, index) => keyOf('sound', index));
      t.true(
        tasks.every((key) => countWorkerCrashes(scene, key) === 0 && isQuarantined(scene, key) === false),
      );
    });

    itExcused('suspects no task of a worker that shuts down', (t) => {
      const scene = createScene(2);
      scene.harness.accept(jobOf('sound', [{}]));
      scene.workers.play(1);
      const workerId = scene.workers.workerOf(taskIdOf(keyOf('sound'))) ?? '';
      const listing = scene.harness.state().workers.get(workerId)?.listing;
      if (listing === undefined) throw new Error('Expected the worker of the task, found none');
      scene.harness.dispatch({ kind: 'workers-listed', workers: [{ ...listing, isDraining: true }] });
      scene.workers.crash([workerId]);
      t.is(scene.workers.workerOf(taskIdOf(keyOf('sound'))), null);
      t.is(countWorkerCrashes(scene, keyOf('sound')), 0);
      t.false(isQuarantined(scene, keyOf('sound')));
    });

    itExcused('suspects no task of a host that is moved', (t) => {
      const scene = createScene(2);
      scene.harness.accept(jobOf('sound', [{}]));
      scene.workers.play(1);
      const workerId = scene.workers.workerOf(taskIdOf(keyOf('sound'))) ?? '';
      const hostId = scene.harness.state().workers.get(workerId)?.listing.hostId ?? '';
      scene.harness.advance(1);
      const hosts = [...scene.harness.state().workers.values()].map(({ listing }) => ({
        ...listing,
        state: listing.hostId === hostId ? ('moving' as const) : ('up' as const),
        workerId: listing.hostId === hostId ? null : listing.workerId,
      }));
      scene.harness.dispatch({ kind: 'hosts-listed', hosts, askedAt: scene.harness.state().now });
      t.is(countWorkerCrashes(scene, keyOf('sound')), 0);
      t.false(isQuarantined(scene, keyOf('sound')));
    });

    itExcused('suspects no task of a worker that does not answer until its lease expires', (t) => {
      const scene = createScene(1);
      scene.harness.accept(jobOf('sound', [{}]));
      scene.workers.play(1);
      const [workerId = ''] = scene.workers.workerIds();
      scene.harness.dispatch({ kind: 'worker-silent', workerId, askedAt: scene.harness.state().now });
      scene.harness.advance(7_000);
      t.deepEqual(scene.harness.state().workers.get(workerId)?.tasks.size, 0);
      t.is(countWorkerCrashes(scene, keyOf('sound')), 0);
      t.false(isQuarantined(scene, keyOf('sound')));
    });
  });

  within('restarts under the same id', ({ it: itRestarted }) => {
    const restart = (): ServiceHarness => {
      const harness = createServiceHarness();
      harness.addWorkers(['w1']);
      harness.accept(jobOf('a', [{}]));
      harness.confirmStarts();
      harness.advance(ONE_SECOND);
      harness.addWorkers(['w1'], { incarnation: 2 });
      harness.advance(ONE_SECOND);
      return harness;
    };
    const taskOf = (harness: ServiceHarness) =>
      harness.state().jobs.get('a')?.occurrences.get(0)?.steps[0]?.tasks[0];

    itRestarted('counts the crash once the next incarnation does not report the run', (t) => {
      const harness = restart();
      t.is(taskOf(harness)?.workerCrashes, 0);
      harness.report('w1', {});
      t.like(taskOf(harness), { workerCrashes: 1, isQuarantined: true });
    });

    itRestarted('counts no crash if the next incarnation reports the end of the run', (t) => {
      const harness = restart();
      const failed = { number: 1, task: keyOf('a'), run: 1, end: 'failed' as const, checkpoint: '' };
      harness.report('w1', { ended: [failed] });
      t.like(taskOf(harness), { workerCrashes: 0, isQuarantined: false, failedRuns: 1 });
    });
  });

  within('isolation', ({ it: itAlone }) => {
    itAlone('starts no other task beside a suspected one', (t) => {
      const scene = createScene(4);
      scene.harness.accept(jobOf('sound', [{ taskCount: 12 }]), jobOf('deadly', [{}]));
      for (let index = 0; index < 20; index += 1) {
        scene.harness.accept(jobOf(`more-${index}`, [{ taskCount: 3 }]));
        scene.workers.play(3);
      }
      scene.workers.play(3 * TEN_SECONDS);
      const deadly = scene.workers.starts.filter(({ taskId }) => taskId === taskIdOf(keyOf('deadly')));
      t.deepEqual(
        deadly.slice(1).map(({ beside }) => beside),
        deadly.slice(1).map(() => []),
      );
      t.is(scene.statusOf('deadly'), 'failed');
      t.is(scene.statusOf('more-19'), 'completed');
    });

    itAlone('starts no task beside a suspect of an ended job before the suspect is stopped', (t) => {
      const scene = createScene(4, {
        isDeadly: ({ jobId, index }) => jobId === 'deadly' && index === 1,
        durationOf: ({ jobId }) => (jobId === 'deadly' ? 5_000 : 500),
      });
      const suspectId = taskIdOf(keyOf('deadly', 0));
      scene.harness.accept(jobOf('deadly', [{ taskCount: 2 }]));
      scene.workers.play(3);
      // A second crash keeps the suspect in quarantine while it is at work.
      scene.workers.crash([scene.workers.workerOf(suspectId) ?? '']);
      scene.workers.play(5);
      scene.harness.accept(jobOf('sound', [{ taskCount: 8 }]));
      t.is(scene.statusOf('deadly'), 'running');
      t.true(isQuarantined(scene, keyOf('deadly', 0)));
      scene.workers.play(TEN_SECONDS);
      t.is(scene.statusOf('deadly'), 'failed');
      t.is(scene.statusOf('sound'), 'completed');
      t.deepEqual(
        scene.workers.starts.filter(({ beside }) => beside.includes(suspectId)).map(({ taskId }) => taskId),
        [taskIdOf(keyOf('deadly', 1))],
      );
      t.deepEqual(scene.harness.violations(), []);
    });

    itAlone('reserves a worker of a full service for a suspected task', (t) => {
      const scene = createScene(3, { durationOf: () => 2_500 });
      scene.harness.accept(jobOf('deadly', [{}]));
      scene.workers.play(2);
      scene.harness.accept(jobOf('sound', [{ taskCount: 80 }], { ageMilliseconds: 0 }));
      scene.workers.play(6 * TEN_SECONDS);
      t.is(scene.statusOf('deadly'), 'failed');
      t.true(scene.workers.countStarts(taskIdOf(keyOf('deadly'))) <= MAXIMUM_STARTS);
    });

    itAlone('keeps at most a quarter of the workers from other waiting tasks', (t) => {
      const scene = createScene(8, { durationOf: () => 1_000 });
      scene.harness.accept(jobOf('sound', [{ taskCount: 120 }]));
      scene.workers.play(1);
      const [first = ''] = scene.workers.workerIds();
      scene.workers.crash([first]);
      t.is(scene.harness.state().quarantine.tasks.size, 4);
      let most = 0;
      for (let round = 0; round < 2 * TEN_SECONDS; round += 1) {
        scene.workers.play(1);
        most = Math.max(most, scene.harness.state().quarantine.workers.size);
      }
      t.true(most >= 1 && most <= 2, `isolated workers: ${most}`);
      t.is(scene.harness.state().quarantine.workers.size, 0);
      t.is(scene.statusOf('sound'), 'completed');
    });

    itAlone('ends the quarantine of a task that has been at work for long enough', (t) => {
      const scene = createScene(2, { durationOf: () => 60_000 });
      scene.harness.accept(jobOf('sound', [{}]));
      scene.workers.play(1);
      scene.workers.crash([scene.workers.workerOf(taskIdOf(keyOf('sound'))) ?? '']);
      t.true(isQuarantined(scene, keyOf('sound')));
      scene.workers.play(3 * ONE_SECOND);
      t.false(isQuarantined(scene, keyOf('sound')));
      t.true(scene.harness.state().quarantine.workers.isEmpty());
    });

    itAlone('suspects no task that had been at work for long when its worker crashed', (t) => {
      const scene = createScene(2, { durationOf: () => 60_000 });
      scene.harness.accept(jobOf('sound', [{}]));
      scene.workers.play(3 * ONE_SECOND);
      scene.workers.crash([scene.workers.workerOf(taskIdOf(keyOf('sound'))) ?? '']);
      t.false(isQuarantined(scene, keyOf('sound')));
      t.is(countWorkerCrashes(scene, keyOf('sound')), 1);
    });
  });

  within('kinds of work', ({ it: itKind }) => {
    itKind('gives up a lasting task that crashes its workers', (t) => {
      const scene = createScene(6, { durationOf: () => 600_000 });
      scene.harness.accept(jobOf('lasting', [{ taskCount: 6, isLasting: true, maximumPerWorker: 1 }]));
      scene.workers.play(3 * ONE_SECOND);
      scene.harness.accept(jobOf('deadly', [{ isLasting: true }]));
      scene.workers.play(3 * TEN_SECONDS);
      t.is(scene.statusOf('deadly'), 'failed');
      t.true(scene.workers.countStarts(taskIdOf(keyOf('deadly'))) <= MAXIMUM_STARTS);
      t.is(scene.statusOf('lasting'), 'running');
      t.is(scene.harness.state().quarantine.workers.size, 0);
      const counts = Array.from({ length: 6 }, (_, index) =>
        countWorkerCrashes(scene, keyOf('lasting', index)),
      );
      t.deepEqual([...new Set(counts)], [0]);
    });

    itKind('gives up a gang with a member that crashes its workers', (t) => {
      const scene = createScene(6, {
        isDeadly: ({ jobId, index }) => jobId === 'deadly' && index === 1,
        gangSize: 3,
      });
      scene.harness.accept(jobOf('deadly', [{ taskCount: 3, isGang: true, maximumPerWorker: 1 }]));
      scene.workers.play(4 * TEN_SECONDS);
      t.is(scene.statusOf('deadly'), 'failed');
      t.true(scene.workers.countStarts(taskIdOf(keyOf('deadly', 1))) <= MAXIMUM_STARTS);
    });

    itKind('gives up a repeating job with a task that crashes its workers', (t) => {
      const scene = createScene(6);
      const repetition = {
        times: 3,
        firstDueAt: scene.harness.state().timeOfDay,
        intervalMilliseconds: 600_000,
      };
      scene.harness.accept(jobOf('deadly', [{}], { repetition }));
      scene.workers.play(3 * TEN_SECONDS);
      t.is(scene.statusOf('deadly'), 'failed');
      t.true(scene.workers.countStarts(taskIdOf(keyOf('deadly'))) <= MAXIMUM_STARTS);
    });
  });
});
