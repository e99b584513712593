/** Random draws from a seed. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** A source of draws; equal seeds give equal draws. */
export interface RandomSource {
  /** From 0 up to, but not including, 1. */
  readonly uniform: () => number;
  /** A whole number from 0 up to, but not including, `limit`. */
  readonly below: (limit: number) => number;
  readonly chance: (probability: number) => boolean;
  /** From an exponential distribution with this mean. */
  readonly exponential: (mean: number) => number;
  readonly pick: <T>(items: readonly T[]) => T;
}

/** Creates a source. */
export function createRandom(seed: number): RandomSource {
  const generator = xoroshiro128plus(seed);
  const uniform = (): number => uniformFloat64(generator);
  const below = (limit: number): number => Math.floor(uniform() * limit);
  return {
    uniform,
    below,
    chance: (probability) => uniform() < probability,
    exponential: (mean) => -mean * Math.log(1 - uniform()),
    pick: <T>(items: readonly T[]): T => items[below(items.length)] as T,
  };
}
