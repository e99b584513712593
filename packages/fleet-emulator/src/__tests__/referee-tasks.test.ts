/** Guards against a referee that misses, or invents, a fault in the starts of tasks. */
import { describe } from '@baobabdeck/test-tools';
import { createScene, FIRST, planOf, rulesOf, SECOND } from './referee-scene.js';

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

  within('tasks', ({ it: itJudges }) => {
    itJudges('reports a task that runs twice at the same time', (t) => {
      const scene = createScene(planOf({}));
      scene.start(FIRST, 1);
      scene.start(FIRST, 2);
      t.deepEqual(rulesOf(scene), ['runs-once']);
    });

    itJudges('reports a task that starts again after its success was acknowledged', (t) => {
      const scene = createScene(planOf({}));
      scene.start(FIRST, 1);
      scene.end(FIRST, 1, 'done');
      scene.referee.onForgotten(scene.worker, FIRST, 1, false);
      scene.start(FIRST, 2);
      t.deepEqual(rulesOf(scene), ['runs-once']);
    });

    itJudges('reports a task that succeeds after it was started again', (t) => {
      const scene = createScene(planOf({}));
      scene.start(FIRST, 1);
      scene.end(FIRST, 1, 'done');
      scene.start(FIRST, 2);
      scene.referee.onForgotten(scene.worker, FIRST, 1, false);
      t.deepEqual(rulesOf(scene), ['runs-once']);
    });

    itJudges('reports a task that starts before the step that it depends on is done', (t) => {
      const scene = createScene(planOf({}, { after: [0] }));
      scene.start({ ...FIRST, step: 1 }, 1);
      t.deepEqual(rulesOf(scene), ['steps-in-order']);
    });

    itJudges('reports a task that starts more often than it may fail', (t) => {
      const scene = createScene(planOf({}));
      [1, 2, 3].forEach((run) => {
        scene.start(FIRST, run);
        scene.end(FIRST, run, 'failed');
        scene.referee.onForgotten(scene.worker, FIRST, run, false);
      });
      scene.start(FIRST, 4);
      t.deepEqual(rulesOf(scene), ['attempts-within-limit']);
    });

    itJudges('reports a task that waits for its gang in vain', (t) => {
      const scene = createScene(planOf({ isGang: true }));
      scene.start(FIRST, 1);
      scene.end(FIRST, 1, 'alone');
      t.deepEqual(rulesOf(scene), ['gangs-together']);
    });

    itJudges('reports a task that starts although nobody submitted its job', (t) => {
      const scene = createScene(planOf({}));
      scene.start({ ...FIRST, jobId: 'b' }, 1);
      t.deepEqual(rulesOf(scene), ['only-what-was-asked']);
    });

    itJudges('reports a task that starts with another specification', (t) => {
      const scene = createScene(planOf({}));
      scene.start(FIRST, 1, { specification: 'other work' });
      t.deepEqual(rulesOf(scene), ['only-what-was-asked']);
    });

    itJudges('reports a task that starts long after its job was cancelled', (t) => {
      const scene = createScene(planOf({}));
      scene.referee.onCancelAcknowledged('a');
      scene.pass(3_001);
      scene.start(FIRST, 1);
      t.deepEqual(rulesOf(scene), ['only-what-was-asked']);
    });

    itJudges('reports a task that starts although its job was refused', (t) => {
      const scene = createScene(planOf({}));
      scene.referee.onSubmitAnswered('a', 'refused');
      scene.start(FIRST, 1);
      t.deepEqual(rulesOf(scene), ['refused-never-runs']);
    });

    itJudges('reports a task on a worker with more tasks of its step than may share one', (t) => {
      const scene = createScene(planOf({ maximumPerWorker: 1 }));
      scene.start(FIRST, 1);
      scene.start(SECOND, 1);
      t.deepEqual(rulesOf(scene), ['spread-kept']);
    });

    itJudges('reports a lasting task that is stopped while as many others are absent as may be', (t) => {
      const scene = createScene(planOf({ isLasting: true, maximumAbsent: 1 }));
      scene.start(FIRST, 1);
      scene.start(SECOND, 1);
      scene.referee.onStop(scene.worker, FIRST, 1);
      scene.end(FIRST, 1, 'stopped');
      scene.referee.onStop(scene.worker, SECOND, 1);
      t.deepEqual(rulesOf(scene), ['absent-within-limit']);
    });

    itJudges('reports a task that is never done', async (t) => {
      const scene = createScene(planOf({}));
      scene.referee.onSubmitAnswered('a', 'accepted');
      await scene.referee.checkRest();
      t.deepEqual(rulesOf(scene), ['work-goes-on']);
    });

    itJudges('reports a task that runs on although its job was cancelled', async (t) => {
      const scene = createScene(planOf({}));
      scene.start(FIRST, 1);
      scene.referee.onCancelSent('a');
      scene.referee.onCancelAcknowledged('a');
      await scene.referee.checkRest();
      t.deepEqual(rulesOf(scene), ['only-what-was-asked']);
    });
  });
});
