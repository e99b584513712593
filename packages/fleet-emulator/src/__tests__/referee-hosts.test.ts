/** Guards against a referee that misses, or invents, a fault in the orders to hosts and in waves. */
import { describe } from '@baobabdeck/test-tools';
import { createScene, planOf, rulesOf } from './referee-scene.js';

describe('the referee', ({ describe: within }) => {
  within('hosts', ({ it: itJudges }) => {
    itJudges('reports a host that two holders order in turn', (t) => {
      const scene = createScene(planOf({}));
      scene.referee.onHostOrdered(scene.host, 'node-0', 1);
      scene.pass(1_000);
      scene.referee.onHostOrdered(scene.host, 'node-1', 2);
      t.deepEqual(rulesOf(scene), ['one-holder-a-host']);
    });

    itJudges('reports a host that is taken down while as many others of its wave are down as may be', (t) => {
      const scene = createScene(planOf({}));
      scene.referee.onWaveAsked(1, ['host-0', 'host-1'], 1);
      scene.referee.onHostTaken(scene.host, 'node-0', 1, 1);
      t.deepEqual(rulesOf(scene), ['wave-within-limit']);
    });

    itJudges('reports a host that has not begun its maintenance when its wave is shown as completed', (t) => {
      const scene = createScene(planOf({}));
      scene.referee.onWaveAsked(1, ['host-0'], 1);
      scene.referee.onWaveCompleted(1);
      t.deepEqual(rulesOf(scene), ['wave-truly-completed']);
    });
  });
});
