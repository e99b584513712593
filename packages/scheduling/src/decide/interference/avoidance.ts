/** Rates workers for a task by the interference between it and the tasks on them. */
import type { StepRequest } from '../../model/job.js';
import type { Conflict, InterferenceState } from '../../state/interference-state.js';
import type { WorkerState } from '../../state/service-state.js';

/** Effects that differ by less are the same, so that the other preferences decide. */
const EFFECT_STEP = 0.2;

/** What the rating needs to know besides the worker. */
interface PlacedImages {
  readonly interference: InterferenceState;
  /** Images of the tasks placed meanwhile, by worker id. */
  readonly placedImages: ReadonlyMap<string, readonly string[]>;
}

function isOn({ placedImages }: PlacedImages, { listing, images }: WorkerState, image: string): boolean {
  return images.has(image) || (placedImages.get(listing.workerId)?.includes(image) ?? false);
}

function rate(placed: PlacedImages, worker: WorkerState, conflicts: readonly Conflict[]): number {
  const effect = conflicts.reduce(
    (sum, conflict) => sum + (isOn(placed, worker, conflict.image) ? conflict.effect : 0),
    0,
  );
  return Math.ceil(effect / EFFECT_STEP);
}

/** Returns a function that rates workers for a task of a step: 0 without known interference, else higher for more. */
export function interferenceWith(
  { image }: StepRequest,
  placed: PlacedImages,
): (worker: WorkerState) => number {
  const conflicts = image === null ? undefined : placed.interference.conflicts.get(image);
  if (conflicts === undefined) return () => 0;
  const ratings = new Map<string, number>();
  return (worker) => {
    const { workerId } = worker.listing;
    const rating = ratings.get(workerId) ?? rate(placed, worker, conflicts);
    ratings.set(workerId, rating);
    return rating;
  };
}
