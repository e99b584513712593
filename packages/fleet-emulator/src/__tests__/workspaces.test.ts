import { describe } from '@baobabdeck/test-tools';
import {
  CALM_LOW_CAPS_PLAY,
  LOW_CAPS_PLAY,
  NO_OVERSIZED_STARTS_PLAY,
  playSchedule,
  WHOLE_CAPS_PLAY,
  WORKSPACE_PLAY,
} from '../random-play.js';

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

  // Guards against accepted jobs that end, or stand still for good, because a cap was lowered below one of their tasks.
  within('lose no job and leave none standing still', ({ itSerially: plays }) => {
    [1, 2, 3].forEach((seed) => {
      plays(`while caps are lowered below single tasks, with seed ${seed}`, async (t) => {
        const { violations, errors, completed } = await playSchedule({ ...CALM_LOW_CAPS_PLAY, seed });
        t.deepEqual(violations, []);
        t.deepEqual(errors, []);
        t.true(completed > 0);
      });
    });

    SEEDS.forEach((seed) => {
      plays(`while caps are lowered among all other troubles, with seed ${seed}`, async (t) => {
        const { violations, errors, completed } = await playSchedule({ ...LOW_CAPS_PLAY, seed });
        t.deepEqual(violations, []);
        t.deepEqual(errors, []);
        t.true(completed > 0);
      });
    });
  });

  it('are seen to leave jobs standing still if no start beyond a cap is allowed', async (t) => {
    const { violations } = await playSchedule({ ...NO_OVERSIZED_STARTS_PLAY, seed: 2 });
    t.true(violations.some(({ rule }) => rule === 'nothing-waits-beside-room'));
  });

  it('are seen to exceed them if each service may use the whole cap', async (t) => {
    const { violations } = await playSchedule({ ...WHOLE_CAPS_PLAY, seed: 1 });
    t.true(violations.some(({ rule }) => rule === 'workspace-within-cap'));
  });
});
