/** Derives from the harmful pairs which images to keep apart. */
import { Map as PersistentMap } from 'immutable';
import type { Conflict, InterferenceState, PairEstimate } from '../../state/interference-state.js';

/**
 * Returns the conflicts of each image. Both images of a pair avoid each other if the slowed one serves requests;
 * otherwise only the slowed one avoids the other.
 */
export function conflictsOf({
  baselines,
  pairs,
}: InterferenceState): PersistentMap<string, readonly Conflict[]> {
  const effects = new Map<string, Map<string, number>>();
  const add = (image: string, other: string, effect: number): void => {
    const known = effects.get(image) ?? new Map<string, number>();
    effects.set(image, known.set(other, (known.get(other) ?? 0) + effect));
  };
  for (const { slowed, beside, effect, isHarmful } of pairs.values()) {
    if (isHarmful) {
      add(slowed, beside, effect);
      if (slowed !== beside && baselines.get(slowed)?.isServing === true) add(beside, slowed, effect);
    }
  }
  const lists = [...effects].map(
    ([image, others]) => [image, [...others].map(([other, effect]) => ({ image: other, effect }))] as const,
  );
  return PersistentMap(lists);
}

/** Returns whether two pairs differ in what they mean for the placement of tasks. */
export function changesConflicts(before: PairEstimate | undefined, after: PairEstimate): boolean {
  /** Difference of effects from which on conflicts are computed anew. */
  const EFFECT_STEP = 0.2;
  if ((before?.isHarmful ?? false) !== after.isHarmful) return true;
  const stepOf = (effect: number): number => Math.round(effect / EFFECT_STEP);
  return after.isHarmful && stepOf(before?.effect ?? 0) !== stepOf(after.effect);
}
