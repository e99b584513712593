import { PLAIN_STEP, type Resources, type StepRequest, type TaskKey } from '@baobabdeck/scheduling';
import { describe } from '@baobabdeck/test-tools';
import type { JobPlan } from '../job-plans.js';
import type { ModelHost } from '../model-fleet.js';
import type { ModelWorker } from '../model-worker-types.js';
import type { Referee } from '../referee-types.js';
import { createReferee } from '../referee.js';
import type { RuleName } from '../sightings.js';
import type { VirtualTime } from '../virtual-time.js';

const CAPACITY = { milliCores: 4_000, memoryMegabytes: 8_192, accelerators: 0 };

const STEP: StepRequest = { ...PLAIN_STEP, taskCount: 2 };

function planOf(...steps: readonly Partial<StepRequest>[]): JobPlan {
  return {
    job: {
      jobId: 'a',
      specification: 'work',
      steps: steps.map((step) => ({ ...STEP, ...step })),
      repetition: null,
    },
    service: 'service-0',
    maximumFailedRuns: 3,
    handedInAt: 100_000,
    objectiveMilliseconds: 2_000,
    taskPlan: () => ({ runMilliseconds: 1_000, failingRuns: 0 }),
    crashDelayMilliseconds: () => null,
  };
}

interface Scene {
  readonly referee: Referee;
  readonly worker: ModelWorker;
  readonly pass: (milliseconds: number) => void;
  readonly start: (
    key: TaskKey,
    run: number,
    fields?: { readonly specification?: string; readonly isLate?: boolean },
  ) => void;
  readonly end: (key: TaskKey, run: number, end: 'done' | 'failed' | 'alone' | 'stopped') => void;
  /** Ends a run with its worker, whose next life is up at once; the run may have crashed it. */
  readonly lose: (key: TaskKey, run: number, cause: 'own-crash' | 'other') => void;
  readonly host: ModelHost;
}

const FIRST: TaskKey = { jobId: 'a', occurrence: 0, step: 0, index: 0 };
const SECOND: TaskKey = { ...FIRST, index: 1 };

/** A worker that runs what the test says it runs, at full speed. */
function createScene(plan: JobPlan, guardsCapacity = true): Scene {
  let now = 100_000;
  let capacity: Resources = CAPACITY;
  const running: { task: TaskKey; run: number }[] = [];
  const worker = {
    isUp: () => true,
    listing: () => ({ workerId: 'worker-0' }),
    guardsCapacity,
    capacity: () => capacity,
    setCapacity: (changed: Resources) => {
      referee.onCapacityChange(worker);
      capacity = changed;
    },
    runs: () => running,
    percentOf: () => 100,
    mood: { isDraining: false },
  } as unknown as ModelWorker;
  const host = {
    hostId: 'host-0',
    pool: 'service-0',
    capacity: CAPACITY,
    state: 'up',
    worker,
    downFor: null,
    begunWaves: new Set(),
  } as unknown as ModelHost;
  const other = { ...host, hostId: 'host-1', state: 'upkeep', worker: null, downFor: 1 } as ModelHost;
  const time: VirtualTime = {
    now: () => now,
    after: () => undefined,
    whenSettled: () => undefined,
    runUntil: (until) => {
      now = until;
      return Promise.resolve();
    },
  };
  const referee = createReferee({
    time,
    plans: new Map([['a', plan]]),
    hosts: () => new Map([host, other].map((one) => [one.hostId, one])),
    lastTroubleAt: () => 0,
    workspaces: null,
  });
  const remove = (task: TaskKey, run: number): void => {
    const index = running.findIndex((one) => one.task === task && one.run === run);
    running.splice(index, 1);
  };
  return {
    referee,
    worker,
    host,
    pass: (milliseconds) => {
      now += milliseconds;
    },
    lose: (task, run, cause) => {
      now += 10;
      if (cause === 'own-crash') referee.onCrash(worker, task, run);
      remove(task, run);
      referee.onEnd({ worker, task, run, end: 'lapsed', checkpoint: '', isSilent: true });
      now += 10;
    },
    start: (task, run, { specification = 'work', isLate = false } = {}) => {
      running.push({ task, run });
      referee.onStart({ worker, task, run, specification, checkpoint: '', isLate });
    },
    end: (task, run, end) => {
      remove(task, run);
      referee.onEnd({ worker, task, run, end, checkpoint: '', isSilent: false });
    },
  };
}

function rulesOf({ referee }: Scene): readonly RuleName[] {
  return referee.violations.map(({ rule }) => rule);
}

describe('the referee', ({ describe: within, it }) => {
  it('finds nothing in a job that is done', async (t) => {
    const scene = createScene(planOf({}));
    scene.referee.onSubmitAnswered('a', 'accepted');
    [FIRST, SECOND].forEach((key) => {
      scene.start(key, 1);
      scene.end(key, 1, 'done');
      scene.referee.onForgotten(scene.worker, key, 1, false);
    });
    scene.referee.onStatusShown('a', 'completed');
    await scene.referee.checkRest();
    t.deepEqual(rulesOf(scene), []);
  });

  within('sees a task', ({ it: sees }) => {
    sees('run twice at the same time', (t) => {
      const scene = createScene(planOf({}));
      scene.start(FIRST, 1);
      scene.start(FIRST, 2);
      t.deepEqual(rulesOf(scene), ['runs-once']);
    });

    sees('start again once its success was acknowledged', (t) => {
      const scene = createScene(planOf({}));
      scene.start(FIRST, 1);
      scene.end(FIRST, 1, 'done');
      scene.referee.onForgotten(scene.worker, FIRST, 1, false);
      scene.start(FIRST, 2);
      t.deepEqual(rulesOf(scene), ['runs-once']);
    });

    sees('succeed after it was started again', (t) => {
      const scene = createScene(planOf({}));
      scene.start(FIRST, 1);
      scene.end(FIRST, 1, 'done');
      scene.start(FIRST, 2);
      scene.referee.onForgotten(scene.worker, FIRST, 1, false);
      t.deepEqual(rulesOf(scene), ['runs-once']);
    });

    sees('start before the step that it waits for is done', (t) => {
      const scene = createScene(planOf({}, { after: [0] }));
      scene.start({ ...FIRST, step: 1 }, 1);
      t.deepEqual(rulesOf(scene), ['steps-in-order']);
    });

    sees('start more often than it may fail', (t) => {
      const scene = createScene(planOf({}));
      [1, 2, 3].forEach((run) => {
        scene.start(FIRST, run);
        scene.end(FIRST, run, 'failed');
        scene.referee.onForgotten(scene.worker, FIRST, run, false);
      });
      scene.start(FIRST, 4);
      t.deepEqual(rulesOf(scene), ['attempts-within-limit']);
    });

    sees('wait for its gang in vain', (t) => {
      const scene = createScene(planOf({ isGang: true }));
      scene.start(FIRST, 1);
      scene.end(FIRST, 1, 'alone');
      t.deepEqual(rulesOf(scene), ['gangs-together']);
    });

    sees('start that nobody handed in', (t) => {
      const scene = createScene(planOf({}));
      scene.start({ ...FIRST, jobId: 'b' }, 1);
      t.deepEqual(rulesOf(scene), ['only-what-was-asked']);
    });

    sees('start with another specification', (t) => {
      const scene = createScene(planOf({}));
      scene.start(FIRST, 1, { specification: 'other work' });
      t.deepEqual(rulesOf(scene), ['only-what-was-asked']);
    });

    sees('start long after its job was cancelled', (t) => {
      const scene = createScene(planOf({}));
      scene.referee.onCancelAcknowledged('a');
      scene.pass(3_001);
      scene.start(FIRST, 1);
      t.deepEqual(rulesOf(scene), ['only-what-was-asked']);
    });

    sees('start of a job that was refused', (t) => {
      const scene = createScene(planOf({}));
      scene.referee.onSubmitAnswered('a', 'refused');
      scene.start(FIRST, 1);
      t.deepEqual(rulesOf(scene), ['refused-never-runs']);
    });

    sees('beside more of its step than may share a worker', (t) => {
      const scene = createScene(planOf({ maximumPerWorker: 1 }));
      scene.start(FIRST, 1);
      scene.start(SECOND, 1);
      t.deepEqual(rulesOf(scene), ['spread-kept']);
    });

    sees('taken away while as many others are away as may be', (t) => {
      const scene = createScene(planOf({ isLasting: true, maximumAbsent: 1 }));
      scene.start(FIRST, 1);
      scene.start(SECOND, 1);
      scene.referee.onStop(scene.worker, FIRST, 1);
      scene.end(FIRST, 1, 'stopped');
      scene.referee.onStop(scene.worker, SECOND, 1);
      t.deepEqual(rulesOf(scene), ['absent-within-limit']);
    });

    sees('left undone', async (t) => {
      const scene = createScene(planOf({}));
      scene.referee.onSubmitAnswered('a', 'accepted');
      await scene.referee.checkRest();
      t.deepEqual(rulesOf(scene), ['work-goes-on']);
    });

    sees('run on though its job was cancelled', async (t) => {
      const scene = createScene(planOf({}));
      scene.start(FIRST, 1);
      scene.referee.onCancelSent('a');
      scene.referee.onCancelAcknowledged('a');
      await scene.referee.checkRest();
      t.deepEqual(rulesOf(scene), ['only-what-was-asked']);
    });
  });

  within('sees a job at rest', ({ it: sees }) => {
    const accepted = (plan: JobPlan): Scene => {
      const scene = createScene(plan);
      scene.referee.onSubmitAnswered('a', 'accepted');
      return scene;
    };

    sees('of which nothing runs beside free room', async (t) => {
      const scene = accepted(planOf({}));
      await scene.referee.watchRest(4_000);
      t.deepEqual(rulesOf(scene), ['nothing-waits-beside-room']);
    });

    sees('whose lasting task does not run beside free room', async (t) => {
      const scene = accepted(planOf({ isLasting: true }));
      scene.start(FIRST, 1);
      await scene.referee.watchRest(4_000);
      t.deepEqual(rulesOf(scene), ['nothing-waits-beside-room']);
    });

    sees('whose lasting task does not run beside free room in a busy service', async (t) => {
      const lasting = { isLasting: true, needs: { ...STEP.needs, milliCores: 500 } };
      const scene = accepted(planOf(lasting, { needs: { ...STEP.needs, milliCores: 2_000 } }));
      scene.start(FIRST, 1);
      scene.start({ ...FIRST, step: 1 }, 1);
      await scene.referee.watchRest(4_000);
      t.deepEqual(rulesOf(scene), ['nothing-waits-beside-room']);
    });

    sees('and nothing in one of which something runs', async (t) => {
      const scene = accepted(planOf({}));
      scene.start(FIRST, 1);
      await scene.referee.watchRest(4_000);
      t.deepEqual(rulesOf(scene), []);
    });

    sees('and nothing in one that has room for one task only', async (t) => {
      const scene = accepted(planOf({ needs: { ...STEP.needs, milliCores: 2_500 } }));
      await scene.referee.watchRest(4_000);
      t.deepEqual(rulesOf(scene), []);
    });

    sees('that was done too late to be served', (t) => {
      const scene = accepted(planOf({ taskCount: 1 }));
      scene.start(FIRST, 1);
      scene.pass(6_001);
      scene.end(FIRST, 1, 'done');
      scene.referee.checkServed(0.5);
      t.deepEqual(rulesOf(scene), ['enough-is-served']);
    });

    sees('and nothing in one that was done within three times its objective', (t) => {
      const scene = accepted(planOf({ taskCount: 1 }));
      scene.start(FIRST, 1);
      scene.pass(6_000);
      scene.end(FIRST, 1, 'done');
      scene.referee.checkServed(0.5);
      t.deepEqual(rulesOf(scene), []);
    });
  });

  within('on tasks that crash their workers', ({ it: itJudges }) => {
    const crashedBy = (times: number, cause: 'own-crash' | 'other'): Scene => {
      const scene = createScene(planOf({ taskCount: 1 }));
      scene.referee.onSubmitAnswered('a', 'accepted');
      Array.from({ length: times }, (_, index) => index + 1).forEach((run) => {
        scene.start(FIRST, run);
        scene.lose(FIRST, run, cause);
      });
      return scene;
    };

    itJudges('reports the third start of a task that has crashed three workers, and no earlier one', (t) => {
      const scene = crashedBy(5, 'own-crash');
      t.deepEqual(rulesOf(scene), []);
      scene.start(FIRST, 6);
      t.deepEqual(rulesOf(scene), ['crashing-task-starts-limited']);
    });

    itJudges('counts starts that did not crash their worker', (t) => {
      const scene = crashedBy(3, 'own-crash');
      [4, 5].forEach((run) => {
        scene.start(FIRST, run);
        scene.end(FIRST, run, 'stopped');
        scene.pass(1);
      });
      t.deepEqual(rulesOf(scene), []);
      scene.start(FIRST, 6);
      t.deepEqual(rulesOf(scene), ['crashing-task-starts-limited']);
    });

    itJudges('does not limit the starts of a task whose workers went for other reasons', (t) => {
      t.deepEqual(rulesOf(crashedBy(9, 'other')), []);
    });

    itJudges('accepts a failure of a job after two crashes by a task, and of no other job', (t) => {
      const shownAsFailed = (scene: Scene): readonly RuleName[] => {
        scene.referee.onStatusShown('a', 'failed');
        return rulesOf(scene);
      };
      t.deepEqual(shownAsFailed(crashedBy(2, 'own-crash')), []);
      t.deepEqual(shownAsFailed(crashedBy(1, 'own-crash')), ['status-is-true']);
      t.deepEqual(shownAsFailed(crashedBy(9, 'other')), ['status-is-true']);
    });

    itJudges('misses a job until a task of it has crashed two workers', async (t) => {
      const leftUndone = async (scene: Scene): Promise<readonly RuleName[]> => {
        await scene.referee.checkRest();
        await scene.referee.watchRest(4_000);
        scene.referee.checkServed(1);
        return rulesOf(scene);
      };
      const everyRule: readonly RuleName[] = [
        'work-goes-on',
        'nothing-waits-beside-room',
        'enough-is-served',
      ];
      t.deepEqual(await leftUndone(crashedBy(1, 'own-crash')), everyRule);
      t.deepEqual(await leftUndone(crashedBy(2, 'own-crash')), []);
      t.deepEqual(await leftUndone(crashedBy(2, 'other')), everyRule);
    });

    itJudges('counts runs that ended with their worker, and starts of each task that crashed one', (t) => {
      const { lostRuns, startsOfCrashingTasks } = crashedBy(4, 'own-crash').referee.counts();
      t.is(lostRuns, 4);
      t.deepEqual(startsOfCrashingTasks, [4]);
      const others = crashedBy(4, 'other').referee.counts();
      t.is(others.lostRuns, 4);
      t.deepEqual(others.startsOfCrashingTasks, []);
    });
  });

  within('on workers that do not guard their capacity', ({ it: itJudges }) => {
    /** Two tasks of half a core more than half of the worker's. */
    const largeTasks = planOf({ needs: { ...STEP.needs, milliCores: 2_500 } });
    const smallTasks = planOf({ needs: { ...STEP.needs, milliCores: 1_500 } });
    const HALF: Resources = { ...CAPACITY, milliCores: 2_000 };

    itJudges('reports a start that brings one over its capacity', (t) => {
      const scene = createScene(largeTasks, false);
      scene.start(FIRST, 1);
      t.deepEqual(rulesOf(scene), []);
      scene.start(SECOND, 1);
      t.deepEqual(rulesOf(scene), ['capacity-kept']);
    });

    itJudges('reports nothing of one that guards its capacity', (t) => {
      const scene = createScene(largeTasks);
      scene.start(FIRST, 1);
      scene.start(SECOND, 1);
      t.deepEqual(rulesOf(scene), []);
    });

    itJudges('counts a smaller capacity from 4.5 s after the change', (t) => {
      const startAfter = (milliseconds: number): readonly RuleName[] => {
        const scene = createScene(smallTasks, false);
        scene.start(FIRST, 1);
        scene.worker.setCapacity(HALF);
        scene.pass(milliseconds);
        scene.start(SECOND, 1);
        return rulesOf(scene);
      };
      t.deepEqual(startAfter(4_500), []);
      t.deepEqual(startAfter(4_501), ['capacity-kept']);
    });

    itJudges('counts a larger capacity at once', (t) => {
      const scene = createScene(smallTasks, false);
      scene.worker.setCapacity(HALF);
      scene.pass(10_000);
      scene.worker.setCapacity(CAPACITY);
      scene.start(FIRST, 1);
      scene.start(SECOND, 1);
      t.deepEqual(rulesOf(scene), []);
    });

    itJudges('lets an order that comes late count on a capacity of long ago, and on no larger one', (t) => {
      const startLate = (plan: JobPlan): readonly RuleName[] => {
        const scene = createScene(plan, false);
        scene.start(FIRST, 1);
        scene.worker.setCapacity(HALF);
        scene.pass(10_000);
        scene.start(SECOND, 1, { isLate: true });
        return rulesOf(scene);
      };
      t.deepEqual(startLate(smallTasks), []);
      t.deepEqual(startLate(largeTasks), ['capacity-kept']);
    });
  });

  within('counts of pending jobs', ({ it: itCounts }) => {
    itCounts('reports a count without a job that has waited for five seconds', (t) => {
      const scene = createScene(planOf({}));
      scene.referee.onSubmitAnswered('a', 'accepted');
      scene.referee.onPendingCounted('service-0', 0, 105_000);
      t.deepEqual(rulesOf(scene), []);
      scene.referee.onPendingCounted('service-0', 0, 105_001);
      t.deepEqual(rulesOf(scene), ['pending-count-is-true']);
    });

    itCounts('accepts a count without a job that a worker has started', (t) => {
      const scene = createScene(planOf({}));
      scene.referee.onSubmitAnswered('a', 'accepted');
      scene.start(FIRST, 1);
      scene.referee.onPendingCounted('service-0', 0, 110_000);
      t.deepEqual(rulesOf(scene), []);
    });
  });

  within('sees a status', ({ it: sees }) => {
    sees('that is shown too early', (t) => {
      const scene = createScene(planOf({}));
      scene.referee.onSubmitAnswered('a', 'accepted');
      scene.referee.onStatusShown('a', 'completed');
      t.deepEqual(rulesOf(scene), ['status-is-true']);
    });

    sees('of a failure that was none', (t) => {
      const scene = createScene(planOf({}));
      scene.referee.onSubmitAnswered('a', 'accepted');
      scene.referee.onStatusShown('a', 'failed');
      t.deepEqual(rulesOf(scene), ['status-is-true']);
    });

    sees('of a cancelling that nobody asked for', (t) => {
      const scene = createScene(planOf({}));
      scene.referee.onSubmitAnswered('a', 'accepted');
      scene.referee.onStatusShown('a', 'cancelled');
      t.deepEqual(rulesOf(scene), ['status-is-true']);
    });

    sees('that is missing for an accepted job', (t) => {
      const scene = createScene(planOf({}));
      scene.referee.onSubmitAnswered('a', 'accepted');
      scene.pass(3_001);
      scene.referee.onStatusShown('a', null);
      t.deepEqual(rulesOf(scene), ['accepted-is-known']);
    });
  });

  within('sees a host', ({ it: sees }) => {
    sees('ordered by two holders in turn', (t) => {
      const scene = createScene(planOf({}));
      scene.referee.onHostOrdered(scene.host, 'node-0', 1);
      scene.pass(1_000);
      scene.referee.onHostOrdered(scene.host, 'node-1', 2);
      t.deepEqual(rulesOf(scene), ['one-holder-a-host']);
    });

    sees('taken down while as many others of its wave are as may be', (t) => {
      const scene = createScene(planOf({}));
      scene.referee.onWaveAsked(1, ['host-0', 'host-1'], 1);
      scene.referee.onHostTaken(scene.host, 'node-0', 1, 1);
      t.deepEqual(rulesOf(scene), ['wave-within-limit']);
    });

    sees('that has not begun when its wave is told completed', (t) => {
      const scene = createScene(planOf({}));
      scene.referee.onWaveAsked(1, ['host-0'], 1);
      scene.referee.onWaveCompleted(1);
      t.deepEqual(rulesOf(scene), ['wave-truly-completed']);
    });
  });
});
