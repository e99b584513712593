/** Guards against a referee that misses, or invents, a fault in what callers are told of jobs, or in jobs at rest. */
import { describe } from '@baobabdeck/test-tools';
import type { JobPlan } from '../job-plans.js';
import { createScene, FIRST, planOf, rulesOf, type Scene, STEP } from './referee-scene.js';

describe('the referee', ({ describe: within }) => {
  within('jobs after the traffic', ({ it: itJudges }) => {
    const accepted = (plan: JobPlan): Scene => {
      const scene = createScene(plan);
      scene.referee.onSubmitAnswered('a', 'accepted');
      return scene;
    };

    itJudges('reports a job of which nothing runs although there is capacity', async (t) => {
      const scene = accepted(planOf({}));
      await scene.referee.watchRest(4_000);
      t.deepEqual(rulesOf(scene), ['nothing-waits-beside-room']);
    });

    itJudges('reports a job whose lasting task does not run although there is capacity', async (t) => {
      const scene = accepted(planOf({ isLasting: true }));
      scene.start(FIRST, 1);
      await scene.referee.watchRest(4_000);
      t.deepEqual(rulesOf(scene), ['nothing-waits-beside-room']);
    });

    itJudges(
      'reports a job whose lasting task does not run although there is capacity in a busy service',
      async (t) => {
        const lasting = { isLasting: true, needs: { ...STEP.needs, milliCores: 500 } };
        const scene = accepted(planOf(lasting, { needs: { ...STEP.needs, milliCores: 2_000 } }));
        scene.start(FIRST, 1);
        scene.start({ ...FIRST, step: 1 }, 1);
        await scene.referee.watchRest(4_000);
        t.deepEqual(rulesOf(scene), ['nothing-waits-beside-room']);
      },
    );

    itJudges('accepts a job of which a task runs', async (t) => {
      const scene = accepted(planOf({}));
      scene.start(FIRST, 1);
      await scene.referee.watchRest(4_000);
      t.deepEqual(rulesOf(scene), []);
    });

    itJudges('accepts a waiting job if there is capacity for one task only', async (t) => {
      const scene = accepted(planOf({ needs: { ...STEP.needs, milliCores: 2_500 } }));
      await scene.referee.watchRest(4_000);
      t.deepEqual(rulesOf(scene), []);
    });

    itJudges('counts a job that was done too late as not served', (t) => {
      const scene = accepted(planOf({ taskCount: 1 }));
      scene.start(FIRST, 1);
      scene.pass(6_001);
      scene.end(FIRST, 1, 'done');
      scene.referee.checkServed(0.5);
      t.deepEqual(rulesOf(scene), ['enough-is-served']);
    });

    itJudges('counts a job that was done within three times its objective as served', (t) => {
      const scene = accepted(planOf({ taskCount: 1 }));
      scene.start(FIRST, 1);
      scene.pass(6_000);
      scene.end(FIRST, 1, 'done');
      scene.referee.checkServed(0.5);
      t.deepEqual(rulesOf(scene), []);
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

  within('the status of jobs', ({ it: itJudges }) => {
    itJudges('reports a status that is shown too early', (t) => {
      const scene = createScene(planOf({}));
      scene.referee.onSubmitAnswered('a', 'accepted');
      scene.referee.onStatusShown('a', 'completed');
      t.deepEqual(rulesOf(scene), ['status-is-true']);
    });

    itJudges('reports a failure without cause', (t) => {
      const scene = createScene(planOf({}));
      scene.referee.onSubmitAnswered('a', 'accepted');
      scene.referee.onStatusShown('a', 'failed');
      t.deepEqual(rulesOf(scene), ['status-is-true']);
    });

    itJudges('reports a cancellation that nobody requested', (t) => {
      const scene = createScene(planOf({}));
      scene.referee.onSubmitAnswered('a', 'accepted');
      scene.referee.onStatusShown('a', 'cancelled');
      t.deepEqual(rulesOf(scene), ['status-is-true']);
    });

    itJudges('reports a missing status of an accepted job', (t) => {
      const scene = createScene(planOf({}));
      scene.referee.onSubmitAnswered('a', 'accepted');
      scene.pass(3_001);
      scene.referee.onStatusShown('a', null);
      t.deepEqual(rulesOf(scene), ['accepted-is-known']);
    });
  });
});
