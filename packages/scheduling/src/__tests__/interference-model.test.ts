import { describe } from '@baobabdeck/test-tools';
import { MAXIMUM_IMAGES, MAXIMUM_PAIRS } from '../decide/interference/evict.js';
import { dropOldFindings, learnSample, type PairChange, type Sample } from '../decide/interference/learn.js';
import { NO_INTERFERENCE, pairIdOf, type InterferenceState } from '../state/interference-state.js';

/** Returns a generator of numbers from 0 to 1 that gives the same series for the same seed. */
function randomOf(seed: number): () => number {
  const MODULUS = 2 ** 31 - 1;
  const MULTIPLIER = 48_271;
  let current = (seed * MULTIPLIER) % MODULUS;
  return () => {
    current = (current * MULTIPLIER) % MODULUS;
    return current / MODULUS;
  };
}

interface Learner {
  readonly learn: (image: string, measure: number, neighbours: readonly string[]) => readonly PairChange[];
  readonly state: () => InterferenceState;
  readonly wait: (milliseconds: number) => void;
  readonly now: () => number;
}

/** Applies samples, 100 ms apart. */
function createLearner(isServing = true): Learner {
  let state = NO_INTERFERENCE;
  let now = 0;
  return {
    learn: (image, measure, neighbours) => {
      now += 100;
      const sample: Sample = {
        image,
        isServing,
        measure,
        neighbours: neighbours.map((neighbour) => ({ image: neighbour, share: 1 })),
      };
      const learned = learnSample(state, sample, now);
      state = learned.interference;
      return learned.changes;
    },
    state: () => state,
    wait: (milliseconds) => {
      now += milliseconds;
    },
    now: () => now,
  };
}

const pairOf = (state: InterferenceState, slowed: string, beside: string) =>
  state.pairs.get(pairIdOf(slowed, beside));

describe('the model of interference', ({ describe: within, it }) => {
  within('finds', ({ it: finds }) => {
    finds('an image that slows another one down by half, whatever the seed', (t) => {
      for (let seed = 1; seed <= 20; seed += 1) {
        const random = randomOf(seed);
        const learner = createLearner();
        const changes: PairChange[] = [];
        for (let count = 0; count < 200; count += 1) {
          const isBeside = random() < 0.5;
          const measure = 0.5 * (0.8 + 0.4 * random()) * (isBeside ? 1.5 : 1);
          changes.push(...learner.learn('shop', measure, isBeside ? ['batch'] : []));
        }
        t.is(changes[0]?.kind, 'found', `seed ${seed}`);
        t.true(pairOf(learner.state(), 'shop', 'batch')?.isHarmful);
        const factor = Math.exp(pairOf(learner.state(), 'shop', 'batch')?.effect ?? 0);
        t.true(factor > 1.3 && factor < 1.7, `seed ${seed}: ${factor}`);
      }
    });

    finds('which of two images that are often together does the harm', (t) => {
      for (let seed = 1; seed <= 20; seed += 1) {
        const random = randomOf(seed);
        const learner = createLearner();
        for (let count = 0; count < 400; count += 1) {
          const hasHarmful = random() < 0.5;
          const hasHarmless = random() < (hasHarmful ? 0.8 : 0.2);
          const neighbours = [...(hasHarmful ? ['loud'] : []), ...(hasHarmless ? ['calm'] : [])];
          learner.learn('shop', 0.5 * (0.8 + 0.4 * random()) * (hasHarmful ? 2 : 1), neighbours);
        }
        t.true(pairOf(learner.state(), 'shop', 'loud')?.isHarmful, `seed ${seed}`);
        t.false(pairOf(learner.state(), 'shop', 'calm')?.isHarmful, `seed ${seed}`);
      }
    });

    finds('both directions only where both are slowed down', (t) => {
      const learner = createLearner(false);
      for (let count = 0; count < 40; count += 1) {
        learner.learn('sort', count % 2 === 0 ? 1_000 : 2_000, count % 2 === 0 ? [] : ['scan']);
        learner.learn('scan', 700, count % 2 === 0 ? [] : ['sort']);
      }
      t.true(pairOf(learner.state(), 'sort', 'scan')?.isHarmful);
      t.false(pairOf(learner.state(), 'scan', 'sort')?.isHarmful);
      t.deepEqual(
        learner
          .state()
          .conflicts.get('sort')
          ?.map(({ image }) => image),
        ['scan'],
      );
      t.is(learner.state().conflicts.get('scan'), undefined);
    });
  });

  within('finds nothing', ({ it: findsNothing }) => {
    findsNothing('in noise, whatever the seed', (t) => {
      for (let seed = 1; seed <= 50; seed += 1) {
        const random = randomOf(seed);
        const learner = createLearner();
        const changes: PairChange[] = [];
        for (let count = 0; count < 500; count += 1) {
          changes.push(...learner.learn('shop', 0.3 + random(), random() < 0.5 ? ['batch'] : []));
        }
        t.deepEqual(changes, [], `seed ${seed}`);
      }
    });

    findsNothing('in few samples, however bad they are', (t) => {
      const learner = createLearner();
      for (let count = 0; count < 7; count += 1) {
        t.deepEqual(learner.learn('shop', 0.5, []), []);
        t.deepEqual(learner.learn('shop', 5, ['batch']), []);
      }
    });

    findsNothing('without samples of the image by itself', (t) => {
      const learner = createLearner();
      for (let count = 0; count < 100; count += 1) {
        t.deepEqual(learner.learn('shop', count < 50 ? 0.5 : 2, ['batch']), []);
      }
    });

    findsNothing('in single runs that take seven times as long', (t) => {
      for (let seed = 1; seed <= 20; seed += 1) {
        const random = randomOf(seed);
        const learner = createLearner(false);
        for (let count = 0; count < 500; count += 1) {
          const measure = 1_000 * (0.8 + 0.4 * random()) * (random() < 0.03 ? 7 : 1);
          t.deepEqual(learner.learn('sort', measure, random() < 0.5 ? ['scan'] : []), [], `seed ${seed}`);
        }
      }
    });

    findsNothing('in measures that are no positive numbers', (t) => {
      const learner = createLearner();
      [0, -1, NaN, Infinity].forEach((measure) => learner.learn('shop', measure, ['batch']));
      t.is(learner.state(), NO_INTERFERENCE);
    });
  });

  it('drops a finding that later samples contradict', (t) => {
    const learner = createLearner();
    for (let count = 0; count < 100; count += 1) {
      learner.learn('shop', count % 2 === 0 ? 0.4 : 1, count % 2 === 0 ? [] : ['batch']);
    }
    const before = pairOf(learner.state(), 'shop', 'batch');
    t.true(before?.isHarmful);
    learner.learn('shop', 0.1, ['batch']);
    // A contradiction makes the estimate less certain at once.
    t.true((pairOf(learner.state(), 'shop', 'batch')?.variance ?? 0) > (before?.variance ?? Infinity));
    const changes: PairChange[] = [];
    for (let count = 0; count < 100; count += 1) {
      changes.push(...learner.learn('shop', 0.4, count % 2 === 0 ? [] : ['batch']));
    }
    t.deepEqual(
      changes.map(({ kind }) => kind),
      ['dropped'],
    );
    t.true(learner.state().conflicts.isEmpty());
  });

  it('drops a finding that no sample has confirmed for long', (t) => {
    const learner = createLearner();
    for (let count = 0; count < 100; count += 1) {
      learner.learn('shop', count % 2 === 0 ? 0.4 : 1, count % 2 === 0 ? [] : ['batch']);
    }
    t.is(dropOldFindings(learner.state(), learner.now()).interference, learner.state());
    const { interference, changes } = dropOldFindings(learner.state(), learner.now() + 301_000);
    t.deepEqual(
      changes.map(({ kind }) => kind),
      ['dropped'],
    );
    t.true(interference.conflicts.isEmpty());
  });

  it('stays bounded with any number of images, and keeps a pair in use', (t) => {
    const learner = createLearner();
    for (let count = 0; count < 3_000; count += 1) {
      learner.learn('shop', count % 2 === 0 ? 0.4 : 1, count % 2 === 0 ? [] : ['batch']);
      learner.learn(`image-${count}`, 1, []);
      learner.learn(`image-${count}`, 1, [`other-${count}`, `third-${count}`]);
      learner.learn('shop', 0.4, [`fourth-${count}`]);
    }
    t.true(learner.state().baselines.size <= MAXIMUM_IMAGES);
    t.true(learner.state().pairs.size <= MAXIMUM_PAIRS);
    t.true(pairOf(learner.state(), 'shop', 'batch')?.isHarmful);
  });
});
