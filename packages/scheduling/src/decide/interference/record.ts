/** Converts the model of interference to its record and back. */
import { Map as PersistentMap } from 'immutable';
import type { Instant } from '../../model/instant.js';
import type { InterferenceRecord } from '../../model/records.js';
import { NO_INTERFERENCE, pairIdOf, type InterferenceState } from '../../state/interference-state.js';
import { conflictsOf } from './conflicts.js';

/** Returns the record of the model as of now. */
export function recordOf(
  { baselines, pairs }: InterferenceState,
  now: Instant,
  recordedAt: Date,
): InterferenceRecord {
  const ageOf = (updatedAt: Instant): number => Math.round(now - updatedAt);
  return {
    recordedAt,
    baselines: [...baselines.values()].map(({ updatedAt, ...baseline }) => ({
      ...baseline,
      ageMilliseconds: ageOf(updatedAt),
    })),
    pairs: [...pairs.values()].map(({ updatedAt, ...pair }) => ({
      ...pair,
      ageMilliseconds: ageOf(updatedAt),
    })),
  };
}

/** Returns the model that a record holds. Its estimates have aged since. */
export function restoreInterference(
  { recordedAt, baselines, pairs }: InterferenceRecord,
  now: Instant,
  timeOfDay: Date,
): InterferenceState {
  const storedFor = Math.max(0, timeOfDay.getTime() - recordedAt.getTime());
  const updatedAt = (ageMilliseconds: number): Instant => now - storedFor - ageMilliseconds;
  const restored: InterferenceState = {
    ...NO_INTERFERENCE,
    baselines: PersistentMap(
      baselines.map(({ ageMilliseconds, ...baseline }) => [
        baseline.image,
        { ...baseline, updatedAt: updatedAt(ageMilliseconds) },
      ]),
    ),
    pairs: PersistentMap(
      pairs.map(({ ageMilliseconds, ...pair }) => [
        pairIdOf(pair.slowed, pair.beside),
        { ...pair, updatedAt: updatedAt(ageMilliseconds) },
      ]),
    ),
  };
  return { ...restored, conflicts: conflictsOf(restored) };
}
