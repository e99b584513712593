/** Guards against taking a part of a list for the whole list, in plays whose lists are cut after a few entries. */
import { describe } from '@baobabdeck/test-tools';
import { playSchedule, TIGHT_LIMITS_PLAY } from '../random-play.js';

const FIRST_SEED = 1;
const PLAYS = 8;

describe('schedulers, workers and hosts with tight limits', ({ describe: within }) => {
  within('among random troubles', ({ itSerially: plays }) => {
    Array.from({ length: PLAYS }, (_, index) => FIRST_SEED + index).forEach((seed) => {
      plays(`break no rule with seed ${seed}`, async (t) => {
        const { violations, errors, completed } = await playSchedule({ ...TIGHT_LIMITS_PLAY, seed });
        t.deepEqual(violations, []);
        t.deepEqual(errors, []);
        t.true(completed > 0);
      });
    });
  });
});
