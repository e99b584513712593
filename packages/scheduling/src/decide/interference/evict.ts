/** Keeps the model of interference bounded. */
import type { Instant } from '../../model/instant.js';
import {
  pairIdOf,
  type ImageBaseline,
  type InterferenceState,
  type PairEstimate,
} from '../../state/interference-state.js';
import { conflictsOf } from './conflicts.js';
import { effectVariance } from './estimate.js';

/** Maximum number of images and of pairs of images that are remembered. */
export const MAXIMUM_IMAGES = 64;
export const MAXIMUM_PAIRS = 256;

/** Variance that counts as much as one second of age when a pair is chosen to be forgotten. */
const VARIANCE_PER_SECOND_OF_AGE = 0.005;

const MILLISECONDS_PER_SECOND = 1_000;

/** Returns the item with the highest score; null if there is none. */
function highest<T>(items: Iterable<T>, scoreOf: (item: T) => number): T | null {
  let best: T | null = null;
  let bestScore = -Infinity;
  for (const item of items) {
    const score = scoreOf(item);
    if (best === null || score > bestScore) {
      best = item;
      bestScore = score;
    }
  }
  return best;
}

/** Scores how little a pair is worth: by its age and uncertainty. Pairs of the sample at hand come last. */
function dispensability(pair: PairEstimate, now: Instant): number {
  if (pair.updatedAt === now) return -Infinity;
  const seconds = (now - pair.updatedAt) / MILLISECONDS_PER_SECOND;
  return seconds + effectVariance(pair, now) / VARIANCE_PER_SECOND_OF_AGE;
}

function evictPair(state: InterferenceState, now: Instant): InterferenceState {
  const evicted = highest(state.pairs.values(), (pair) => dispensability(pair, now));
  if (evicted === null) return state;
  return { ...state, pairs: state.pairs.remove(pairIdOf(evicted.slowed, evicted.beside)) };
}

function evictImage(state: InterferenceState): InterferenceState {
  const evicted = highest(state.baselines.values(), ({ updatedAt }: ImageBaseline) => -updatedAt);
  if (evicted === null) return state;
  return {
    ...state,
    baselines: state.baselines.remove(evicted.image),
    pairs: state.pairs.filter(({ slowed }) => slowed !== evicted.image),
  };
}

/** Removes the images and pairs beyond the limits: the oldest, and among pairs the least certain. */
export function evictExcess(state: InterferenceState, now: Instant): InterferenceState {
  let next = state;
  while (next.baselines.size > MAXIMUM_IMAGES) next = evictImage(next);
  while (next.pairs.size > MAXIMUM_PAIRS) next = evictPair(next, now);
  return next === state || next.conflicts.isEmpty() ? next : { ...next, conflicts: conflictsOf(next) };
}
