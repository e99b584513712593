/** Calculates leases of workers on the workers' own clocks, which may run slower than ours. */
import { LEASE_MARGIN_MILLISECONDS, WORKER_CLOCK_DRIFT, type SchedulingParameters } from './parameters.js';
import type { Instant } from '../model/instant.js';
import type { ServiceState, WorkerState } from './service-state.js';
import { setWorker } from './worker-index.js';
import { updateWorker } from './update.js';

/** Returns whether the service may issue orders: its ownership was proven recently, and it is not stopping. */
export function mayIssueOrders(state: ServiceState): boolean {
  const isOwnershipProven = state.now - state.provenAt < state.parameters.ownershipProofMilliseconds;
  return isOwnershipProven && !state.isSuperseded && !state.isStopping;
}

/** Estimates a worker's clock at a time, assuming that it runs as fast as ours; null if it was never read. */
function estimateClock(worker: WorkerState, at: Instant): number | null {
  const { clockReading } = worker;
  return clockReading === null ? null : clockReading.milliseconds + (at - clockReading.at);
}

/** Returns the lowest value that a worker's clock can show at a time; null if it was never read. */
function minimumClock(worker: WorkerState, at: Instant): number | null {
  const { clockReading } = worker;
  if (clockReading === null) return null;
  return clockReading.milliseconds + (at - clockReading.at) * (1 - WORKER_CLOCK_DRIFT);
}

/** Difference between a reading and the estimate up to which both are taken to come from the same clock. */
const CLOCK_MATCH_TOLERANCE_MILLISECONDS = 1_500;

/** Returns whether a clock reading may come from the same incarnation as the last reading of the worker. */
export function matchesClock(worker: WorkerState, milliseconds: number, at: Instant): boolean {
  const expected = estimateClock(worker, at);
  if (expected === null || worker.clockReading === null) return false;
  const drift = (at - worker.clockReading.at) * WORKER_CLOCK_DRIFT;
  return Math.abs(milliseconds - expected) <= CLOCK_MATCH_TOLERANCE_MILLISECONDS + drift;
}

/**
 * Extends a worker's lease, and returns the worker and the lease end on its clock. The lease stays as it is if the
 * clock was never read or the service may not issue orders.
 */
export function extendLease(
  state: ServiceState,
  worker: WorkerState,
): readonly [worker: WorkerState, leaseUntil: number] {
  const clock = estimateClock(worker, state.now);
  if (clock === null || !mayIssueOrders(state)) return [worker, worker.leaseUntil];
  const leaseUntil = Math.max(worker.leaseUntil, Math.round(clock + state.parameters.leaseMilliseconds));
  return [updateWorker(worker, { leaseUntil }), leaseUntil];
}

/** Returns whether every lease that we gave the worker has certainly expired, however slow its clock runs. */
export function hasLeaseLapsed(worker: WorkerState, at: Instant): boolean {
  const clock = minimumClock(worker, at);
  return clock !== null && clock > worker.leaseUntil + LEASE_MARGIN_MILLISECONDS;
}

/** Returns the time by which every lease that an earlier owner may have given has expired. */
export function earlierLeasesExpireAt(claimedAt: Instant, parameters: SchedulingParameters): Instant {
  const longestLease = parameters.ownershipProofMilliseconds + parameters.leaseMilliseconds;
  return claimedAt + longestLease * (1 + 2 * WORKER_CLOCK_DRIFT) + LEASE_MARGIN_MILLISECONDS;
}

/**
 * Returns whether every lease on a worker has expired, so that no earlier run can still be running there. Null stands
 * for a worker that has not been seen.
 */
export function haveAllLeasesExpired(state: ServiceState, worker: WorkerState | null): boolean {
  const haveEarlierExpired = state.now > earlierLeasesExpireAt(state.claimedAt, state.parameters);
  if (worker === null || worker.leaseUntil === 0) return haveEarlierExpired;
  // A worker that answered us holds a lease from us, which ends after all earlier leases.
  return (worker.hasAcknowledgedEpoch || haveEarlierExpired) && hasLeaseLapsed(worker, state.now);
}

/** Records a reading of a worker's clock, unless the clock must already be past it. */
export function recordClockReading(
  state: ServiceState,
  workerId: string,
  incarnation: number,
  milliseconds: number | null,
  at: Instant,
): ServiceState {
  const worker = state.workers.get(workerId);
  if (worker === undefined || milliseconds === null || worker.listing.incarnation !== incarnation) {
    return state;
  }
  const minimum = minimumClock(worker, at);
  if (minimum !== null && milliseconds < minimum) return state;
  return setWorker(state, updateWorker(worker, { clockReading: { milliseconds, at } }));
}
