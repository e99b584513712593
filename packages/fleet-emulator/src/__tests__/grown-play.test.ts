import '../count-from-now-on.js';
import { describe } from '@baobabdeck/test-tools';

// Only what is loaded from here on counts its work.
const { GROWN_SIZE, playTurns } = await import('../grown-play.js');

const SEED = 2;

describe('a burst larger than its owner can place at once', ({ it }) => {
  it('leaves no job standing still beside free room, and half of the jobs are served', async (t) => {
    const { violations, errors } = await playTurns({ seed: SEED, size: GROWN_SIZE, turns: 2 });
    const rules = [...new Set(violations.map(({ rule }) => rule))];
    t.log(rules.map((rule) => `${rule} ${violations.filter((one) => one.rule === rule).length}`).join(', '));
    t.deepEqual(rules, []);
    t.deepEqual(errors, []);
  });
});
