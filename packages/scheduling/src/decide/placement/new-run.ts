/** Builds runs of tasks that were just assigned to a worker. */
import type { Instant } from '../../model/instant.js';
import type { Run, WorkerState } from '../../state/service-state.js';

/** Returns a run that is placed on a worker and not recorded yet. */
export function newRun(
  now: Instant,
  { listing }: WorkerState,
  runNumber: number,
): Omit<Run, 'placedInVersion'> {
  return {
    run: runNumber,
    workerId: listing.workerId,
    incarnation: listing.incarnation,
    phase: 'recording',
    placedAt: now,
    acknowledgedAt: null,
    hasUnansweredStart: false,
    sentAt: null,
    startedAt: null,
    speedPercent: 0,
    crash: null,
    pace: null,
  };
}
