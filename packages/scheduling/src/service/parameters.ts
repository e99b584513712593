/** Timing and limits that scheduling works with, from the settings of the site. */

/** Parameters of one service's scheduler. */
export interface SchedulingParameters {
  /** Time from a renewal to the end of a worker's lease, on the worker's clock. */
  readonly leaseMilliseconds: number;
  /** Time after the last proof of ownership until which leases are renewed and tasks started. */
  readonly ownershipProofMilliseconds: number;
  /** The longest that a renewal waits at a worker for an end. */
  readonly reportWaitMilliseconds: number;
  /** Time after which a renewal that was not answered counts as silence. */
  readonly silenceMilliseconds: number;
  /** Time for which a job's status is kept after its end. */
  readonly statusRetentionMilliseconds: number;
  /** Time in which the members of a gang must all have started. */
  readonly gangTimeoutMilliseconds: number;
  /** Times longer that a task runs away from its data or its rack. */
  readonly remoteFactor: number;
  /** Time by which a task that is at work may be away before it counts as absent. */
  readonly absenceNoticeMilliseconds: number;
}

/** How much slower than ours a worker's clock may run, as a share. */
export const WORKER_CLOCK_DRIFT = 0.02;

/** Time added to every wait for the end of a lease, for rounding and late timers. */
export const LEASE_MARGIN_MILLISECONDS = 150;
