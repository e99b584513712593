/** Draws the actions of a random run. */
import type { RandomSource } from './random.js';
import type { RunAction, TimedAction } from './random-run.js';

type Draw = (random: RandomSource) => RunAction;

function milliseconds(random: RandomSource): number {
  return 200 + random.below(9_000);
}

const DRAWS: readonly Draw[] = [
  (random) => ({
    kind: 'traffic',
    count: 1 + random.below(20),
    runMilliseconds: 1 + random.below(800),
    repeatable: true,
  }),
  (random) => ({
    kind: 'traffic',
    count: 1 + random.below(20),
    runMilliseconds: 1 + random.below(800),
    repeatable: false,
  }),
  (random) => ({
    kind: 'traffic',
    count: 1 + random.below(3),
    runMilliseconds: 3_000 + random.below(9_000),
    repeatable: false,
  }),
  (random) => ({
    kind: 'repeat-key',
    afterMilliseconds: random.below(4_000),
    runMilliseconds: 1 + random.below(2_000),
  }),
  (random) => ({
    kind: 'repeat-key',
    afterMilliseconds: random.below(10),
    runMilliseconds: 1 + random.below(200),
  }),
  (random) => ({ kind: 'kill-gateway', index: random.below(8), backAfterMilliseconds: milliseconds(random) }),
  (random) => ({ kind: 'pause-gateway', index: random.below(8), milliseconds: milliseconds(random) }),
  (random) => ({
    kind: 'kill-controller',
    index: random.below(8),
    backAfterMilliseconds: milliseconds(random),
  }),
  (random) => ({ kind: 'pause-controller', index: random.below(8), milliseconds: milliseconds(random) }),
  (random) => ({ kind: 'cut-peers', size: 1 + random.below(4), milliseconds: milliseconds(random) }),
  (random) => ({ kind: 'cut-from-log', index: random.below(8), milliseconds: milliseconds(random) }),
  (random) => ({ kind: 'log-down', milliseconds: milliseconds(random) }),
  (random) => ({ kind: 'lose-answers', share: random.uniform(), milliseconds: milliseconds(random) }),
  (random) => ({ kind: 'host-fails', index: random.below(9), milliseconds: milliseconds(random) }),
  (random) => ({
    kind: 'host-misbehaves',
    index: random.below(9),
    behaviour: random.pick(['fails', 'silent', 'cuts'] as const),
    milliseconds: milliseconds(random),
  }),
  () => ({ kind: 'wave' }),
  (random) => ({ kind: 'drain', index: random.below(9) }),
  (random) => ({ kind: 'move', index: random.below(9) }),
  (random) => ({ kind: 'return', index: random.below(9) }),
  () => ({ kind: 'cancel-all' }),
  (random) => ({
    kind: 'jobs',
    count: 1 + random.below(6),
    cores: 1 + random.below(16),
    urgent: random.chance(0.3),
    repeatable: random.chance(0.5),
  }),
  () => ({ kind: 'cancel-jobs' }),
  (random) => ({
    kind: 'pause-in-a-rush',
    index: random.below(8),
    count: 30 + random.below(30),
    milliseconds: 3_000 + random.below(9_000),
  }),
];

/** The longest time between two actions. */
const LONGEST_GAP_MILLISECONDS = 2_500;

/** Draws one action from the first `known` kinds, so that a kept seed means the same when kinds are added. */
export function drawAction(random: RandomSource, known: number = DRAWS.length): RunAction {
  return random.pick(DRAWS.slice(0, known))(random);
}

/** Draws a schedule. */
export function drawActions(
  random: RandomSource,
  length: number,
  known: number = DRAWS.length,
): readonly TimedAction[] {
  return Array.from({ length }, () => ({
    afterMilliseconds: random.below(LONGEST_GAP_MILLISECONDS),
    action: drawAction(random, known),
  }));
}
