/** Applies samples to the model of interference. */
import type { Instant } from '../../model/instant.js';
import {
  pairIdOf,
  type ImageBaseline,
  type InterferenceState,
  type PairEstimate,
} from '../../state/interference-state.js';
import { changesConflicts, conflictsOf } from './conflicts.js';
import { applySample, newBaseline, newPair, type Neighbour } from './estimate.js';
import { evictExcess } from './evict.js';
import { isHarmful } from './harm.js';

/** Largest and smallest logarithm of a sample that is taken for a measure rather than for a fault. */
const LARGEST_SAMPLE = 20;

/** One measure of a task. */
export interface Sample {
  readonly image: string;
  /** Whether the task serves requests. */
  readonly isServing: boolean;
  /** Tail in parts of the target for a serving task, else the duration of the run in milliseconds; above 0. */
  readonly measure: number;
  /** The images beside it, each once. */
  readonly neighbours: readonly Neighbour[];
}

/** A pair that was found to interfere, or not to interfere any more. */
export interface PairChange {
  readonly pair: PairEstimate;
  readonly kind: 'found' | 'dropped';
}

/** The model after a sample, and what it found. */
export interface Learned {
  readonly interference: InterferenceState;
  readonly changes: readonly PairChange[];
}

function startImage(
  state: InterferenceState,
  { image, isServing }: Sample,
  value: number,
  now: Instant,
): InterferenceState {
  const baselines = state.baselines.set(image, newBaseline(image, isServing, value, now));
  const pairs = state.pairs.filter(({ slowed }) => slowed !== image);
  const started = { ...state, baselines, pairs };
  return evictExcess({ ...started, conflicts: conflictsOf(started) }, now);
}

function judge(baseline: ImageBaseline, pair: PairEstimate, now: Instant): PairEstimate {
  const harmful = isHarmful(baseline, pair, now);
  return harmful === pair.isHarmful ? pair : { ...pair, isHarmful: harmful };
}

function changeOf(before: PairEstimate | undefined, after: PairEstimate): readonly PairChange[] {
  if ((before?.isHarmful ?? false) === after.isHarmful) return [];
  return [{ pair: after, kind: after.isHarmful ? 'found' : 'dropped' }];
}

/** Applies one sample. A measure that is not a positive number changes nothing. */
export function learnSample(state: InterferenceState, sample: Sample, now: Instant): Learned {
  const value = Math.log(sample.measure);
  if (!(Math.abs(value) <= LARGEST_SAMPLE)) return { interference: state, changes: [] };
  const known = state.baselines.get(sample.image);
  if (known === undefined || known.isServing !== sample.isServing) {
    return { interference: startImage(state, sample, value, now), changes: [] };
  }
  const terms = sample.neighbours.map(({ image, share }) => ({
    pair: state.pairs.get(pairIdOf(sample.image, image)) ?? newPair(known, image, now),
    share,
  }));
  const updated = applySample(known, terms, value, now);
  const judged = updated.pairs.map((pair) => judge(updated.baseline, pair, now));
  let { pairs } = state;
  for (const pair of judged) pairs = pairs.set(pairIdOf(pair.slowed, pair.beside), pair);
  const baselines = state.baselines.set(sample.image, updated.baseline);
  const learned = evictExcess({ ...state, baselines, pairs }, now);
  const isChanged = judged.some((pair, index) => changesConflicts(terms[index]?.pair, pair));
  return {
    interference: isChanged ? { ...learned, conflicts: conflictsOf(learned) } : learned,
    changes: judged.flatMap((pair, index) => changeOf(terms[index]?.pair, pair)),
  };
}

/** Time without a sample after which a finding is dropped, so that the two images may show again what they do. */
const FINDING_LIFETIME_MILLISECONDS = 300_000;

/** Drops findings that no sample has confirmed for `FINDING_LIFETIME_MILLISECONDS`. */
export function dropOldFindings(state: InterferenceState, now: Instant): Learned {
  if (state.conflicts.isEmpty()) return { interference: state, changes: [] };
  const isOld = (pair: PairEstimate): boolean =>
    pair.isHarmful && now - pair.updatedAt > FINDING_LIFETIME_MILLISECONDS;
  const old = [...state.pairs.values()].filter(isOld);
  if (old.length === 0) return { interference: state, changes: [] };
  const pairs = old.reduce((kept, { slowed, beside }) => kept.remove(pairIdOf(slowed, beside)), state.pairs);
  const dropped = { ...state, pairs };
  return {
    interference: { ...dropped, conflicts: conflictsOf(dropped) },
    changes: old.map((pair) => ({ pair: { ...pair, isHarmful: false }, kind: 'dropped' as const })),
  };
}
