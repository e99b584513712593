import { describe } from '@baobabdeck/test-tools';
import {
  createQueueScene,
  FIRST_SERVICE,
  jobIdOf,
  SECOND_SERVICE,
  THIRD_SERVICE,
  type QueueScene,
} from './queue-scene.js';

const NODES = [0, 1, 2, 3];

/** Time in which a job starts, also through another service, and in which a stop is carried out. */
const START_MILLISECONDS = 2_000;

/** Time in which another process takes over from a killed one. */
const TAKEOVER_MILLISECONDS = 6_000;

/** Longer than a job of the scene works and its status is kept. */
const FORGOTTEN_MILLISECONDS = 200_000;

/** Time in which every allowed run of a job that fails has ended. */
const ALL_RUNS_MILLISECONDS = 100_000;

/** Time in which a read of the configuration that is under way is answered. */
const READ_MILLISECONDS = 1_000;

/** Time for which a paused process misses versions. */
const PAUSE_MILLISECONDS = 8_000;

const JOB = jobIdOf(1);
const LATER_JOB = jobIdOf(2);

/** Accepts and starts a job at the first service, then gives the queue to the second one. */
async function createMovedScene(): Promise<QueueScene> {
  const scene = await createQueueScene();
  await scene.submit(0, JOB);
  await scene.runFor(START_MILLISECONDS);
  await scene.configure(null);
  await scene.configure({ service: SECOND_SERVICE });
  return scene;
}

/** Kills the process whose service runs the job, without a restart. */
function killOwnerOfJob({ world }: QueueScene): void {
  const owner = world.nodes.find((node) => (node.running()?.explain('job', JOB) ?? null) !== null);
  if (owner === undefined) throw new Error('No process knows the job');
  owner.kill();
}

// Guards against accepted jobs that run twice, run on or are unknown once their queue has another service.
describe('a queue that was given to another service', ({ it, describe: group }) => {
  it('runs a job once that is submitted again', async (t) => {
    const scene = await createMovedScene();
    for (const node of NODES) t.is(await scene.submit(node, JOB), 'accepted');
    await scene.runFor(START_MILLISECONDS);
    t.deepEqual(scene.poolsAtWork(JOB), [FIRST_SERVICE]);
    t.deepEqual(scene.world.referee.violations, []);
  });

  it('runs a job once that is submitted again before and after a restart of every process', async (t) => {
    const scene = await createMovedScene();
    await scene.submit(1, JOB);
    await scene.restartAll();
    await scene.submit(2, JOB);
    await scene.runFor(START_MILLISECONDS);
    t.deepEqual(scene.poolsAtWork(JOB), [FIRST_SERVICE]);
    t.deepEqual(scene.world.referee.violations, []);
  });

  it('still knows its accepted jobs at every process', async (t) => {
    const scene = await createMovedScene();
    for (const node of NODES) t.is(await scene.statusOf(node, JOB), 'running');
    t.deepEqual(scene.world.referee.violations, []);
  });

  it('cancels a job that its former service runs', async (t) => {
    const scene = await createMovedScene();
    t.is(await scene.cancel(2, JOB), 'cancelled');
    await scene.runFor(START_MILLISECONDS);
    t.deepEqual(scene.poolsAtWork(JOB), []);
    t.is(await scene.statusOf(3, JOB), 'cancelled');
  });

  it('runs new jobs at its present service and answers for them at every process', async (t) => {
    const scene = await createMovedScene();
    t.is(await scene.submit(1, LATER_JOB), 'accepted');
    await scene.runFor(START_MILLISECONDS);
    t.deepEqual(scene.poolsAtWork(LATER_JOB), [SECOND_SERVICE]);
    for (const node of NODES) t.is(await scene.statusOf(node, LATER_JOB), 'running');
    t.is(await scene.cancel(3, LATER_JOB), 'cancelled');
    await scene.runFor(START_MILLISECONDS);
    t.deepEqual(scene.poolsAtWork(LATER_JOB), []);
  });

  it('counts the pending jobs of both services', async (t) => {
    const scene = await createQueueScene();
    const { fleet } = scene.world;
    [...fleet.hosts.keys()].forEach(fleet.drain);
    await scene.runFor(START_MILLISECONDS);
    await scene.submit(0, JOB);
    await scene.configure({ service: SECOND_SERVICE });
    await scene.submit(0, LATER_JOB);
    await scene.runFor(START_MILLISECONDS);
    for (const node of NODES) t.is(await scene.countPending(node), 2);
  });

  it('answers "unknown" for a job that nobody has accepted', async (t) => {
    const scene = await createMovedScene();
    for (const node of NODES) t.is(await scene.statusOf(node, jobIdOf(9)), 'unknown-job');
  });

  it('runs a job once that is forwarded and submitted again after the next change', async (t) => {
    const scene = await createMovedScene();
    await scene.submit(1, LATER_JOB);
    await scene.runFor(START_MILLISECONDS);
    await scene.configure({ service: THIRD_SERVICE });
    await scene.submit(2, LATER_JOB);
    await scene.restartAll();
    await scene.submit(3, LATER_JOB);
    await scene.runFor(START_MILLISECONDS);
    t.deepEqual(scene.poolsAtWork(LATER_JOB), [SECOND_SERVICE]);
    for (const node of NODES) t.is(await scene.statusOf(node, LATER_JOB), 'running');
    t.deepEqual(scene.world.referee.violations, []);
  });

  it('forgets a forwarded job everywhere once its status is kept no longer', async (t) => {
    const scene = await createMovedScene();
    await scene.submit(1, LATER_JOB);
    await scene.runFor(FORGOTTEN_MILLISECONDS);
    t.true(scene.world.nodes.every((node) => node.running()?.explain('job', LATER_JOB) === null));
    await scene.restartAll();
    t.is(scene.world.referee.counts().runs, 2);
  });

  it('keeps the limit of failed runs that a job was accepted with, also after a restart', async (t) => {
    const scene = await createQueueScene();
    await scene.submitFailing(0, JOB);
    await scene.configure({ maximumFailedRuns: 9 });
    await scene.submitFailing(1, JOB);
    await scene.restartAll();
    await scene.runFor(ALL_RUNS_MILLISECONDS);
    t.is(await scene.statusOf(2, JOB), 'failed');
    t.is(scene.world.referee.counts().runs, 3);
  });

  group('while the route is missing', ({ it: test }) => {
    test('keeps its job running and knows it when it is back', async (t) => {
      const scene = await createQueueScene();
      await scene.submit(0, JOB);
      await scene.runFor(START_MILLISECONDS);
      await scene.configure(null);
      t.is(await scene.statusOf(1, JOB), 'no-queue');
      t.deepEqual(scene.poolsAtWork(JOB), [FIRST_SERVICE]);
      await scene.runFor(START_MILLISECONDS);
      await scene.configure({ service: THIRD_SERVICE, name: 'another-name' });
      t.is(await scene.statusOf(2, JOB), 'running');
    });
  });

  group('without the owner of its former service', ({ it: test }) => {
    test('accepts jobs, which start after the takeover, and runs none twice', async (t) => {
      const scene = await createMovedScene();
      killOwnerOfJob(scene);
      const [node = 0] = NODES.filter((index) => scene.node(index).running() !== null);
      t.is(await scene.submit(node, JOB), 'accepted');
      t.is(await scene.submit(node, LATER_JOB), 'accepted');
      await scene.runFor(TAKEOVER_MILLISECONDS);
      t.deepEqual(scene.poolsAtWork(JOB), [FIRST_SERVICE]);
      t.deepEqual(scene.poolsAtWork(LATER_JOB), [SECOND_SERVICE]);
      t.is(await scene.statusOf(node, JOB), 'running');
      t.deepEqual(scene.world.referee.violations, []);
    });
  });

  group('whose home was added and removed', ({ it: test }) => {
    test('accepts jobs at a process that was paused meanwhile', async (t) => {
      const scene = await createQueueScene();
      const { operator } = scene.world;
      const { services } = operator.configuration;
      const added = { name: 'added-and-removed', isStandby: false, refusesOverload: true };
      scene.node(3).freeze(PAUSE_MILLISECONDS);
      await scene.runFor(READ_MILLISECONDS);
      operator.configuration = { ...operator.configuration, services: [...services, added] };
      await scene.configure({ service: added.name });
      await scene.runFor(START_MILLISECONDS);
      t.is(await scene.submit(0, JOB), 'accepted');
      operator.configuration = { ...operator.configuration, services };
      await scene.configure({ service: FIRST_SERVICE });
      await scene.runFor(PAUSE_MILLISECONDS);
      t.is(await scene.submit(3, LATER_JOB), 'refused');
      await scene.runFor(START_MILLISECONDS);
      t.is(await scene.submit(3, LATER_JOB), 'accepted');
      await scene.runFor(START_MILLISECONDS);
      t.deepEqual(scene.poolsAtWork(LATER_JOB), [FIRST_SERVICE]);
    });
  });

  group('at processes that use different versions', ({ it: test }) => {
    test('runs a job once that is submitted at both', async (t) => {
      const scene = await createQueueScene();
      scene.node(0).freeze(1);
      scene.publish({ service: SECOND_SERVICE });
      const former = scene.submit(0, JOB);
      await scene.configure({ service: SECOND_SERVICE });
      t.is(await former, 'accepted');
      t.is(await scene.submit(1, JOB), 'accepted');
      await scene.configure({ service: FIRST_SERVICE });
      t.is(await scene.submit(2, JOB), 'accepted');
      await scene.runFor(START_MILLISECONDS);
      t.is(scene.poolsAtWork(JOB).length, 1);
      t.is(await scene.statusOf(3, JOB), 'running');
      t.deepEqual(scene.world.referee.violations, []);
    });

    test('knows a job at a process that started after the changes and saw one version only', async (t) => {
      const scene = await createQueueScene();
      await scene.submit(0, JOB);
      await scene.runFor(START_MILLISECONDS);
      scene.node(3).kill();
      await scene.configure({ service: SECOND_SERVICE });
      await scene.configure({ service: THIRD_SERVICE });
      scene.node(3).start();
      await scene.runFor(TAKEOVER_MILLISECONDS);
      t.is(await scene.statusOf(3, JOB), 'running');
      t.is(await scene.submit(3, JOB), 'accepted');
      await scene.runFor(START_MILLISECONDS);
      t.deepEqual(scene.poolsAtWork(JOB), [FIRST_SERVICE]);
      t.is(await scene.cancel(3, JOB), 'cancelled');
      await scene.runFor(START_MILLISECONDS);
      t.deepEqual(scene.poolsAtWork(JOB), []);
    });
  });
});
