/**
 * Tracks until when stops that an earlier owner ordered may take effect on a worker. Orders to stop are not recorded, so
 * that a run may be ending although its worker still lists it at full speed.
 */
import type { Instant } from '../model/instant.js';
import { WORKER_CLOCK_DRIFT, type SchedulingParameters } from './parameters.js';
import type { FormerStops, Run, WorkerState } from './service-state.js';

/** Returns the state after a report under our fencing epoch, from which on a worker refuses the orders of earlier owners. */
export function advanceFormerStops(
  formerStops: FormerStops,
  { stopMilliseconds }: SchedulingParameters,
  now: Instant,
  askedAt: Instant,
): FormerStops {
  switch (formerStops.kind) {
    case 'possible':
      return { kind: 'ending', until: now + stopMilliseconds * (1 + WORKER_CLOCK_DRIFT) };
    case 'ending':
      return askedAt >= formerStops.until ? { kind: 'over' } : formerStops;
    default:
      return formerStops;
  }
}

/** Returns whether a run was placed by an earlier owner. */
export function isPlacedByEarlierOwner({ placedInVersion }: Run): boolean {
  return placedInVersion === 0;
}

/** Returns whether a run may be ending by a stop of an earlier owner, whatever its worker has reported. */
export function mayBeStoppedByEarlierOwner({ formerStops }: WorkerState, run: Run): boolean {
  return isPlacedByEarlierOwner(run) && formerStops.kind !== 'over';
}
