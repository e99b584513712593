/** What is known of how tasks of one image slow down tasks of another image on the same worker. */
import { Map as PersistentMap } from 'immutable';
import type { Instant } from '../model/instant.js';

/** Usual measure of the tasks of one image, without what other images add. */
export interface ImageBaseline {
  readonly image: string;
  /** Whether its tasks serve requests and are measured by their tail, rather than by the duration of their runs. */
  readonly isServing: boolean;
  /** Natural logarithm of the tail in parts of its target, or of the duration in milliseconds. */
  readonly mean: number;
  readonly variance: number;
  /** Variance of single samples around what the model expects. */
  readonly noise: number;
  readonly samples: number;
  readonly updatedAt: Instant;
}

/** How much tasks of one image slow down tasks of another beside them. */
export interface PairEstimate {
  /** Image of the tasks that are slowed down. */
  readonly slowed: string;
  /** Image of the tasks beside them. */
  readonly beside: string;
  /** Natural logarithm of the factor by which the tail or the duration grows. */
  readonly effect: number;
  readonly variance: number;
  /** Number of samples with the two images beside each other. */
  readonly samples: number;
  /** Number of samples of the slowed image before the pair was first seen. */
  readonly firstSample: number;
  readonly updatedAt: Instant;
  /** Whether the slowdown is certain enough to act on. */
  readonly isHarmful: boolean;
}

/** An image to keep apart from, and the sum of the slowdowns that nearness to it causes, as a natural logarithm. */
export interface Conflict {
  readonly image: string;
  readonly effect: number;
}

/** Model of the interference between images. */
export interface InterferenceState {
  /** By image. */
  readonly baselines: PersistentMap<string, ImageBaseline>;
  /** By pair id. */
  readonly pairs: PersistentMap<string, PairEstimate>;
  /** Conflicts of each image that is in a harmful pair, by image. */
  readonly conflicts: PersistentMap<string, readonly Conflict[]>;
}

/** Model without any sample. */
export const NO_INTERFERENCE: InterferenceState = {
  baselines: PersistentMap(),
  pairs: PersistentMap(),
  conflicts: PersistentMap(),
};

/** Returns the id of a pair of images. */
export function pairIdOf(slowed: string, beside: string): string {
  return `${slowed}\n${beside}`;
}
