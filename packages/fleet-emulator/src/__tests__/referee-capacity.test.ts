/** Guards against a referee that misses, or invents, a start beyond the capacity of a worker. */
import { describe } from '@baobabdeck/test-tools';
import type { Resources } from '@baobabdeck/scheduling';
import type { JobPlan } from '../job-plans.js';
import type { RuleName } from '../sightings.js';
import { CAPACITY, createScene, FIRST, planOf, rulesOf, SECOND, STEP } from './referee-scene.js';

describe('the referee', ({ describe: within }) => {
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
});
