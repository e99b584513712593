/** Recently arrived work, and the load that arrivals at this rate cause. */
import type { Instant } from '../model/instant.js';
import type { JobRequest } from '../model/job.js';

/** Work that arrived with one job. */
export interface Arrival {
  readonly at: Instant;
  /** Estimated work, in thousandths of a core times milliseconds. */
  readonly work: number;
}

/** Time window over which arrivals are averaged. */
const ARRIVAL_WINDOW_MILLISECONDS = 2_000;

/** Shorter time window, which detects a burst sooner. With fewer than `BURST_ARRIVALS` arrivals it is not reliable. */
const BURST_WINDOW_MILLISECONDS = 600;
const BURST_ARRIVALS = 4;

/** Returns the estimated work of a job, without its lasting steps, in thousandths of a core times milliseconds. */
export function estimateWork(request: JobRequest): number {
  return request.steps.reduce(
    (sum, step) =>
      step.isLasting ? sum : sum + step.taskCount * step.needs.milliCores * step.estimatedMilliseconds,
    0,
  );
}

/** Returns the arrivals that are still in the time window. */
export function trimArrivals(arrivals: readonly Arrival[], now: Instant): readonly Arrival[] {
  const from = now - ARRIVAL_WINDOW_MILLISECONDS;
  const first = arrivals.findIndex((arrival) => arrival.at >= from);
  if (first === 0 || arrivals.length === 0) return arrivals;
  return first < 0 ? [] : arrivals.slice(first);
}

function sumWork(arrivals: readonly Arrival[]): number {
  return arrivals.reduce((sum, { work }) => sum + work, 0);
}

/** Estimates how many thousandths of a core arrivals at the recent rate keep busy. */
export function estimateOfferedMilliCores(arrivals: readonly Arrival[], now: Instant): number {
  const average = sumWork(trimArrivals(arrivals, now)) / ARRIVAL_WINDOW_MILLISECONDS;
  const latest = arrivals.filter(({ at }) => at >= now - BURST_WINDOW_MILLISECONDS);
  const burst = latest.length < BURST_ARRIVALS ? 0 : sumWork(latest) / BURST_WINDOW_MILLISECONDS;
  return Math.max(average, burst);
}
