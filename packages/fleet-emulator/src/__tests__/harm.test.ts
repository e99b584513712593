import { describe } from '@baobabdeck/test-tools';
import { playHarm } from '../harm-play.js';

const SEEDS = [1, 2, 3, 4];

describe('serving tasks beside filling tasks that disturb them', ({ it }) => {
  SEEDS.forEach((seed) => {
    it(`are not over their target for long, with seed ${seed}`, async (t) => {
      const { violations, errors, runs, world } = await playHarm({ seed, kinds: [], ignoresPaces: false });
      t.deepEqual(violations, []);
      t.deepEqual(errors, []);
      t.true(runs > 20);
      t.true(world.log.some((line) => line.includes('workerPaceChanged')));
    });

    it(`stay below the limit on harm while an owner receives the reports of workers, with seed ${seed}`, async (t) => {
      const { violations, errors } = await playHarm({
        seed,
        kinds: ['kill-node', 'freeze-node'],
        ignoresPaces: false,
      });
      t.deepEqual(
        violations.filter(({ rule }) => rule === 'harm-within-limit'),
        [],
      );
      t.deepEqual(errors, []);
    });
  });

  it('break the rule where the workers ignore paces', async (t) => {
    const { violations } = await playHarm({ seed: 1, kinds: [], ignoresPaces: true });
    t.true(violations.some(({ rule }) => rule === 'harm-within-limit'));
  });
});
