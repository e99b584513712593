import { describe } from '@baobabdeck/test-tools';
import { MOVED_QUEUES_PLAY, playSchedule } from '../random-play.js';

const SEEDS = [1, 2, 3, 4, 5, 6];

// Guards against jobs that are lost, run twice or run on while their queues change between services and names.
describe('queues that get other services and names among all troubles', ({ itSerially }) => {
  SEEDS.forEach((seed) => {
    itSerially(`lose no job and run none twice with seed ${seed}`, async (t) => {
      const { violations, errors, completed } = await playSchedule({ ...MOVED_QUEUES_PLAY, seed });
      t.deepEqual(violations, []);
      t.deepEqual(errors, []);
      t.true(completed > 0);
    });
  });
});
