/** Leases of workers, reckoned on the workers' own clocks, which may be slow. */
import { LEASE_MARGIN_MILLISECONDS, WORKER_CLOCK_DRIFT, type SchedulingParameters } from './parameters.js';
import type { Instant, ServiceState, WorkerState } from './state.js';
import { setWorker } from './worker-index.js';
import { updateWorker } from './update.js';

/** Whether our ownership is proven recently enough to act on it. */
export function mayIssueOrders(state: ServiceState): boolean {
  const isProven = state.now - state.provenAt < state.parameters.ownershipProofMilliseconds;
  return isProven && !state.isSuperseded && !state.isStopping;
}

/** The worker's clock at a time, if it runs as fast as ours. */
function estimateClock(worker: WorkerState, at: Instant): number | null {
  const { clockReading } = worker;
  return clockReading === null ? null : clockReading.milliseconds + (at - clockReading.at);
}

/** The least that the worker's clock can show at a time. */
function minimumClock(worker: WorkerState, at: Instant): number | null {
  const { clockReading } = worker;
  if (clockReading === null) return null;
  return clockReading.milliseconds + (at - clockReading.at) * (1 - WORKER_CLOCK_DRIFT);
}

/** How far a reading may be off what is expected and still be of the same clock. */
const CLOCK_MATCH_TOLERANCE_MILLISECONDS = 1_500;

/** Whether a reading can be of the clock of this life of the worker. */
export function matchesClock(worker: WorkerState, milliseconds: number, at: Instant): boolean {
  const expected = estimateClock(worker, at);
  if (expected === null || worker.clockReading === null) return false;
  const drift = (at - worker.clockReading.at) * WORKER_CLOCK_DRIFT;
  return Math.abs(milliseconds - expected) <= CLOCK_MATCH_TOLERANCE_MILLISECONDS + drift;
}

/** The worker with a lease from now on, and the lease's end on its clock. */
export function extendLease(
  state: ServiceState,
  worker: WorkerState,
): readonly [worker: WorkerState, leaseUntil: number] {
  const clock = estimateClock(worker, state.now);
  if (clock === null || !mayIssueOrders(state)) return [worker, worker.leaseUntil];
  const leaseUntil = Math.max(worker.leaseUntil, Math.round(clock + state.parameters.leaseMilliseconds));
  return [updateWorker(worker, { leaseUntil }), leaseUntil];
}

/** Whether every lease that we gave the worker is certainly over. */
export function hasLeaseLapsed(worker: WorkerState, at: Instant): boolean {
  const clock = minimumClock(worker, at);
  return clock !== null && clock > worker.leaseUntil + LEASE_MARGIN_MILLISECONDS;
}

/** When every lease that an earlier owner can have given is over. */
export function earlierLeasesExpireAt(claimedAt: Instant, parameters: SchedulingParameters): Instant {
  const longest = parameters.ownershipProofMilliseconds + parameters.leaseMilliseconds;
  return claimedAt + longest * (1 + 2 * WORKER_CLOCK_DRIFT) + LEASE_MARGIN_MILLISECONDS;
}

/** Whether nothing that was started on the worker before can still run there. */
export function haveAllLeasesExpired(state: ServiceState, worker: WorkerState | null): boolean {
  const earlierOver = state.now > earlierLeasesExpireAt(state.claimedAt, state.parameters);
  if (worker === null || worker.leaseUntil === 0) return earlierOver;
  // A worker that answered us took a lease from us that ends after every earlier one.
  return (worker.hasAcknowledgedEpoch || earlierOver) && hasLeaseLapsed(worker, state.now);
}

/** Notes a reading of a worker's clock. */
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
  const known = minimumClock(worker, at);
  if (known !== null && milliseconds < known) return state;
  return setWorker(state, updateWorker(worker, { clockReading: { milliseconds, at } }));
}
