import { describe } from '@baobabdeck/test-tools';
import { createQueueScene, FIRST_SERVICE, jobIdOf, type QueueScene } from './queue-scene.js';

const NODES = [0, 1, 2, 3];

/** Time in which a job starts. */
const START_MILLISECONDS = 2_000;

async function createRenamedScene(): Promise<QueueScene> {
  const scene = await createQueueScene();
  await scene.submit(0, jobIdOf(1));
  await scene.runFor(START_MILLISECONDS);
  await scene.configure(null);
  await scene.configure({ name: 'another-name' });
  return scene;
}

// Guards against jobs that were accepted and are answered as unknown after their queue got another name.
describe('a queue that was removed and added again under another name', ({ it }) => {
  it('still knows its accepted jobs at every process', async (t) => {
    const scene = await createRenamedScene();
    for (const node of NODES) t.is(await scene.statusOf(node, jobIdOf(1)), 'running');
    t.deepEqual(scene.world.referee.violations, []);
  });

  it('cancels a job that was accepted under the former name', async (t) => {
    const scene = await createRenamedScene();
    t.is(await scene.cancel(2, jobIdOf(1)), 'cancelled');
    await scene.runFor(START_MILLISECONDS);
    t.deepEqual(scene.poolsAtWork(jobIdOf(1)), []);
    t.is(await scene.statusOf(1, jobIdOf(1)), 'cancelled');
  });

  it('counts the pending jobs that were accepted under the former name', async (t) => {
    const scene = await createQueueScene();
    const { fleet } = scene.world;
    [...fleet.hosts.keys()].forEach(fleet.drain);
    await scene.runFor(START_MILLISECONDS);
    await scene.submit(0, jobIdOf(1));
    await scene.configure({ name: 'another-name' });
    t.is(await scene.countPending(3), 1);
  });

  it('runs a job once that is submitted again under the new name', async (t) => {
    const scene = await createRenamedScene();
    t.is(await scene.submit(3, jobIdOf(1)), 'accepted');
    await scene.restartAll();
    t.deepEqual(scene.poolsAtWork(jobIdOf(1)), [FIRST_SERVICE]);
    t.deepEqual(scene.world.referee.violations, []);
  });
});
