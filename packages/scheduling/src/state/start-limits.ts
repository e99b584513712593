/** Limits on the starts in progress on a worker, from placement until the worker has answered. */

/** The most starts in progress on one worker. */
export const STARTS_PER_WORKER = 64;

/** The most of them that belong to one step, so that the tasks of other jobs can start beside it. */
export const STARTS_OF_STEP_PER_WORKER = 48;

/** Starts in progress at which a worker is considered for further tasks, so that they are placed in batches. */
const REFILL_STARTS = STARTS_PER_WORKER / 2;

/** Returns whether a worker that had more starts in progress may get a batch of further tasks. */
export function isRefillDue(startsBefore: number, startsAfter: number): boolean {
  return startsBefore > REFILL_STARTS && startsAfter <= REFILL_STARTS;
}
