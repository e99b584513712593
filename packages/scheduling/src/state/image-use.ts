/** Counts the runs on a worker by image. */
import type { Map as PersistentMap } from 'immutable';
import type { StepRequest } from '../model/job.js';
import type { ImageUse } from './service-state.js';

/** Returns whether the tasks of a step serve requests within a target. */
export function isServing({ tailTargetMilliseconds }: StepRequest): boolean {
  return tailTargetMilliseconds !== null;
}

/** Returns the counts with one run of a step added (`change` 1) or removed (`change` -1). */
export function withImage(
  images: PersistentMap<string, ImageUse>,
  { image, usesSpareCapacity }: StepRequest,
  change: 1 | -1,
): PersistentMap<string, ImageUse> {
  if (image === null) return images;
  const { runs, fillingRuns } = images.get(image) ?? { runs: 0, fillingRuns: 0 };
  const left = { runs: runs + change, fillingRuns: fillingRuns + (usesSpareCapacity ? change : 0) };
  return left.runs <= 0 ? images.remove(image) : images.set(image, left);
}
