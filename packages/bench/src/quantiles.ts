/** Quantiles of times, from a histogram of three digits. */
import { build } from 'hdr-histogram-js';

/** Microseconds in a millisecond; the histogram counts whole microseconds. */
const MICROSECONDS = 1_000;

/** Times of which quantiles are asked. */
export interface Quantiles {
  readonly p50: number;
  readonly p99: number;
  readonly mean: number;
  readonly count: number;
}

/** The quantiles of times in milliseconds. */
export function quantilesOf(milliseconds: readonly number[]): Quantiles {
  const histogram = build({ numberOfSignificantValueDigits: 3, highestTrackableValue: 3_600_000_000 });
  milliseconds.forEach((value) => histogram.recordValue(Math.max(0, Math.round(value * MICROSECONDS))));
  return {
    p50: histogram.getValueAtPercentile(50) / MICROSECONDS,
    p99: histogram.getValueAtPercentile(99) / MICROSECONDS,
    mean: milliseconds.length === 0 ? 0 : histogram.mean / MICROSECONDS,
    count: milliseconds.length,
  };
}
