import { describe } from '@baobabdeck/test-tools';
import fc from 'fast-check';
import { drawAction, drawActions } from '../random-actions.js';
import { createRandom } from '../random.js';
import { runSchedule, type TimedAction } from '../random-run.js';

/** Schedules that once broke a rule; each is followed by what it broke. */
const KEPT_SEEDS: readonly (readonly [number, string])[] = [
  [252, 'a stale copy of a waiting request hid that it had started, and it was started again'],
  [301, 'the same, for a request with a key'],
  [3333, 'the same, and it was refused as not run'],
  [101, 'slots of a lost dispatcher were counted twice'],
  [2100, 'a link that came back brought slots that were settled before'],
  [1200, 'a gateway that was paused and came back was counted beside its own placeholder'],
  [4114, 'work that ran past its deadline was taken to be over'],
  [138, 'work that was given up while the dispatcher changed was forgotten'],
  [5301, 'a report taken while work was on its way freed the slot of other work'],
  [1176, 'a drain and a failure in one batch were judged as one'],
  [4232, 'slots handed over by two gateways were counted twice'],
];

const KEPT_LENGTH = 30;

const timedAction: fc.Arbitrary<TimedAction> = fc
  .record({ afterMilliseconds: fc.nat({ max: 2_500 }), seed: fc.nat() })
  .map(({ afterMilliseconds, seed }) => ({ afterMilliseconds, action: drawAction(createRandom(seed)) }));

describe('random schedules of traffic, faults and maintenance', ({ describe: within, it }) => {
  within('that once broke a rule', ({ it: keeps }) => {
    KEPT_SEEDS.forEach(([seed, broke]) => {
      keeps(`seed ${seed}: ${broke}`, (t) => {
        t.deepEqual(runSchedule(seed, drawActions(createRandom(seed), KEPT_LENGTH)).faults, []);
      });
    });
  });

  it('break no rule', (t) => {
    const property = fc.property(fc.nat(), fc.array(timedAction, { maxLength: 25 }), (seed, actions) => {
      t.deepEqual(runSchedule(seed, actions).faults, []);
    });
    t.notThrows(() => fc.assert(property, { seed: 20_261_204, numRuns: 150 }));
  });
});
