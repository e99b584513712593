import { describe } from '@baobabdeck/test-tools';
import { playSchedule, WHOLE_CAPS_PLAY, WORKSPACE_PLAY } from '../random-play.js';

const SEEDS = [1, 2, 3, 4, 5, 6];

describe('workspaces with caps over all services', ({ describe: within, it }) => {
  within('stay within their caps among all troubles and changes of the caps', ({ itSerially: plays }) => {
    SEEDS.forEach((seed) => {
      plays(`with seed ${seed}`, async (t) => {
        const { violations, errors, completed } = await playSchedule({ ...WORKSPACE_PLAY, seed });
        t.deepEqual(violations, []);
        t.deepEqual(errors, []);
        t.true(completed > 0);
      });
    });
  });

  it('are seen to exceed them if each service may use the whole cap', async (t) => {
    const { violations } = await playSchedule({ ...WHOLE_CAPS_PLAY, seed: 1 });
    t.true(violations.some(({ rule }) => rule === 'workspace-within-cap'));
  });
});
