/** Guards against a referee that misses, or invents, a fault in the starts of tasks that crash their workers. */
import { describe } from '@baobabdeck/test-tools';
import type { RuleName } from '../sightings.js';
import { createScene, FIRST, planOf, rulesOf, type Scene } from './referee-scene.js';

describe('the referee', ({ describe: within }) => {
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
});
