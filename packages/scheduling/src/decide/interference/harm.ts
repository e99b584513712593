/** Decides which pairs of images interfere for certain, with hysteresis. */
import type { Instant } from '../../model/instant.js';
import type { ImageBaseline, PairEstimate } from '../../state/interference-state.js';
import { effectVariance } from './estimate.js';

/** Slowdown from which on two images are kept apart, and below which they are no longer, as factors. */
const HARMFUL_FACTOR = 1.1;
const HARMLESS_FACTOR = 1.05;

/** Standard deviations by which the slowdown must exceed the limit for certain. */
const CERTAIN_DEVIATIONS = 3;

/** Samples with and without the other image that a finding needs. */
const MINIMUM_SAMPLES = 8;

/** Returns the number of samples of the slowed image without the other one. */
export function samplesApart(baseline: ImageBaseline, { firstSample, samples }: PairEstimate): number {
  return firstSample + Math.max(0, baseline.samples - firstSample - samples);
}

/** Returns whether two images interfere. A finding holds until the estimate itself falls below the lower limit. */
export function isHarmful(baseline: ImageBaseline, pair: PairEstimate, now: Instant): boolean {
  const deviation = Math.sqrt(effectVariance(pair, now));
  if (pair.isHarmful) return pair.effect > Math.log(HARMLESS_FACTOR);
  const hasEnoughSamples = Math.min(pair.samples, samplesApart(baseline, pair)) >= MINIMUM_SAMPLES;
  return hasEnoughSamples && pair.effect - CERTAIN_DEVIATIONS * deviation > Math.log(HARMFUL_FACTOR);
}
