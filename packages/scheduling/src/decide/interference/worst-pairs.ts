/** Selects the pairs of images that slow each other down the most, for operators. */
import type { ServiceState } from '../../state/service-state.js';
import { effectVariance } from './estimate.js';
import { samplesApart } from './harm.js';

const PERCENT = 100;
const SHOWN_PAIRS = 5;

/** A pair of images with the evidence for its slowdown. */
export interface WorstPair {
  readonly slowed: string;
  readonly beside: string;
  readonly slowdownPercent: number;
  /** Standard deviation of the slowdown, in percentage points. */
  readonly deviationPercent: number;
  /** Samples with the two images beside each other, and of the slowed image without the other one. */
  readonly samplesBeside: number;
  readonly samplesApart: number;
  readonly ageMilliseconds: number;
}

/** Returns the pairs that are known to interfere, worst first. */
export function selectWorstPairs({ interference, now }: ServiceState): readonly WorstPair[] {
  const harmful = [...interference.pairs.values()].filter((pair) => pair.isHarmful);
  harmful.sort((left, right) => right.effect - left.effect);
  return harmful.slice(0, SHOWN_PAIRS).map((pair) => {
    const factor = Math.exp(pair.effect);
    const baseline = interference.baselines.get(pair.slowed);
    return {
      slowed: pair.slowed,
      beside: pair.beside,
      slowdownPercent: Math.round((factor - 1) * PERCENT),
      deviationPercent: Math.round(factor * Math.sqrt(effectVariance(pair, now)) * PERCENT),
      samplesBeside: pair.samples,
      samplesApart: baseline === undefined ? 0 : samplesApart(baseline, pair),
      ageMilliseconds: Math.round(now - pair.updatedAt),
    };
  });
}

/** Returns the workers whose filling tasks are slowed down, with their pace in percent. */
export function selectSlowedWorkers({
  workers,
}: ServiceState): readonly { readonly workerId: string; readonly percent: number }[] {
  return [...workers.values()].flatMap(({ listing, pacing }) =>
    pacing === null || pacing.percent === PERCENT
      ? []
      : [{ workerId: listing.workerId, percent: pacing.percent }],
  );
}
