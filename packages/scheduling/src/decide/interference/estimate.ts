/**
 * Estimates from one sample how much each image slows another down. The logarithm of a sample is the baseline of its
 * image plus the effect of each image beside it. What a sample deviates from this sum is divided among the terms by
 * their uncertainty, as in a Kalman filter that neglects covariances.
 */
import type { Instant } from '../../model/instant.js';
import type { ImageBaseline, PairEstimate } from '../../state/interference-state.js';

/** Variance of the effect of an image of which nothing is known: most effects are below a factor of 1.6. */
const UNKNOWN_EFFECT_VARIANCE = 0.25;

/** Variance of a baseline after its first sample. */
const UNKNOWN_BASELINE_VARIANCE = 1;

/** Growth of variances with age, so that old estimates yield to new samples. */
const VARIANCE_PER_SECOND = 0.003;

/** Lower limit of variances, so that estimates follow slowdowns that change within seconds. */
const MINIMUM_VARIANCE = 0.002;

/** Initial variance of single samples, and its lower limit, so that equal samples do not make an estimate certain. */
const INITIAL_NOISE = 0.25;
const MINIMUM_NOISE = 0.01;

/** Weight of a new sample in the variance of single samples. */
const NOISE_WEIGHT = 0.1;

/** Standard deviations beyond which the deviation of a sample is cut, so that one outlier moves no estimate far. */
const OUTLIER_DEVIATIONS = 2.5;

/** Factor by which a sample that contradicts the estimates raises their variances. */
const CONTRADICTION_FACTOR = 2;

/** An image beside the sampled task. */
export interface Neighbour {
  readonly image: string;
  /** Share of full speed at which its fastest task works, from 0 to 1. */
  readonly share: number;
}

/** Returns the baseline of an image after its first sample. */
export function newBaseline(
  image: string,
  isServing: boolean,
  value: number,
  updatedAt: Instant,
): ImageBaseline {
  return {
    image,
    isServing,
    mean: value,
    variance: UNKNOWN_BASELINE_VARIANCE,
    noise: INITIAL_NOISE,
    samples: 1,
    updatedAt,
  };
}

/** Returns the estimate for two images that were not seen beside each other before. */
export function newPair({ image, samples }: ImageBaseline, beside: string, updatedAt: Instant): PairEstimate {
  return {
    slowed: image,
    beside,
    effect: 0,
    variance: UNKNOWN_EFFECT_VARIANCE,
    samples: 0,
    firstSample: samples,
    updatedAt,
    isHarmful: false,
  };
}

/** Returns a variance after some time without a sample. */
export function agedVariance(variance: number, updatedAt: Instant, now: Instant, maximum: number): number {
  const MILLISECONDS_PER_SECOND = 1_000;
  const seconds = Math.max(0, now - updatedAt) / MILLISECONDS_PER_SECOND;
  return Math.min(maximum, variance + VARIANCE_PER_SECOND * seconds);
}

/** Returns the variance of the effect of a pair now. */
export function effectVariance({ variance, updatedAt }: PairEstimate, now: Instant): number {
  return agedVariance(variance, updatedAt, now, UNKNOWN_EFFECT_VARIANCE);
}

function clamp(value: number, limit: number): number {
  return Math.max(-limit, Math.min(limit, value));
}

/** Estimates after a sample. */
export interface UpdatedEstimates {
  readonly baseline: ImageBaseline;
  /** In the order of the terms given. */
  readonly pairs: readonly PairEstimate[];
}

/** Applies a sample: `value` is its natural logarithm, `terms` are the pairs with the images beside it. */
export function applySample(
  baseline: ImageBaseline,
  terms: readonly { readonly pair: PairEstimate; readonly share: number }[],
  value: number,
  now: Instant,
): UpdatedEstimates {
  const baselineVariance = agedVariance(
    baseline.variance,
    baseline.updatedAt,
    now,
    UNKNOWN_BASELINE_VARIANCE,
  );
  const variances = terms.map(({ pair }) => effectVariance(pair, now));
  const expected = terms.reduce((sum, { pair, share }) => sum + pair.effect * share, baseline.mean);
  const spread = terms.reduce((sum, { share }, index) => sum + (variances[index] ?? 0) * share ** 2, 0);
  const total = baselineVariance + spread + baseline.noise;
  const limit = OUTLIER_DEVIATIONS * Math.sqrt(total);
  const deviation = clamp(value - expected, limit);
  const isContradiction = Math.abs(value - expected) >= limit;
  const growth = isContradiction ? CONTRADICTION_FACTOR : 1;
  const weightOf = (variance: number, share: number): number => (variance * share) / total;
  const remaining = (variance: number, share: number): number =>
    Math.max(MINIMUM_VARIANCE, variance * (1 - weightOf(variance, share) * share) * growth);
  const noise = baseline.noise + NOISE_WEIGHT * (deviation ** 2 - total);
  return {
    baseline: {
      ...baseline,
      mean: baseline.mean + weightOf(baselineVariance, 1) * deviation,
      variance: Math.min(UNKNOWN_BASELINE_VARIANCE, remaining(baselineVariance, 1)),
      noise: Math.max(MINIMUM_NOISE, noise),
      samples: baseline.samples + 1,
      updatedAt: now,
    },
    pairs: terms.map(({ pair, share }, index) => {
      const variance = variances[index] ?? UNKNOWN_EFFECT_VARIANCE;
      return {
        ...pair,
        effect: pair.effect + weightOf(variance, share) * deviation,
        variance: Math.min(UNKNOWN_EFFECT_VARIANCE, remaining(variance, share)),
        samples: pair.samples + 1,
        updatedAt: now,
      };
    }),
  };
}
