import { describe } from '@baobabdeck/test-tools';
import fc from 'fast-check';
import { drawAction, drawActions } from '../random-actions.js';
import { createRandom } from '../random.js';
import { runSchedule, type TimedAction } from '../random-run.js';

/** A schedule that breaks a rule as soon as one mend is taken back. */
interface KeptSchedule {
  readonly seed: number;
  /** Kinds of action that there were when the seed was kept. */
  readonly known: number;
  readonly breaks: string;
}

const KEPT: readonly KeptSchedule[] = [
  { seed: 2100, known: 20, breaks: 'when settled slots come back over a new link' },
  { seed: 1200, known: 20, breaks: 'when slots handed over are counted beside those in use' },
  { seed: 4114, known: 20, breaks: 'when work that ran past its deadline is taken to be over' },
  { seed: 138, known: 20, breaks: 'when a gateway forgets what it gave up' },
  { seed: 1262, known: 20, breaks: 'when a gateway forgets what it gave up, another way' },
  { seed: 5301, known: 20, breaks: 'when work on its way counts as seen by the platform' },
  { seed: 1, known: 22, breaks: 'when a claimed key can be claimed again' },
  { seed: 2034, known: 22, breaks: 'when slots handed over by two gateways are counted twice' },
  { seed: 4012, known: 23, breaks: 'when a process acts on its word after a pause' },
  { seed: 11, known: 23, breaks: 'when a drain does not ask for the budget' },
  { seed: 5008, known: 23, breaks: 'when work of a paused gateway counts as seen by the platform' },
  { seed: 9152, known: 23, breaks: 'when a grant is sent again while its holder is asked whether it came' },
];

const KEPT_LENGTH = 30;

const timedAction: fc.Arbitrary<TimedAction> = fc
  .record({ afterMilliseconds: fc.nat({ max: 2_500 }), seed: fc.nat() })
  .map(({ afterMilliseconds, seed }) => ({ afterMilliseconds, action: drawAction(createRandom(seed)) }));

describe('random schedules of traffic, faults and maintenance', ({ describe: within, it }) => {
  within('that were kept', ({ it: keeps }) => {
    KEPT.forEach(({ seed, known, breaks }) => {
      keeps(`seed ${seed} would break a rule ${breaks}`, (t) => {
        t.deepEqual(runSchedule(seed, drawActions(createRandom(seed), KEPT_LENGTH, known)).faults, []);
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
