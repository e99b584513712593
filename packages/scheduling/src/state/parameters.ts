/** Timing and limits of scheduling, from the settings of the site. */

/** Parameters of one service's scheduler. */
export interface SchedulingParameters {
  /** Time from a renewal to the end of a worker's lease, on the worker's clock. */
  readonly leaseMilliseconds: number;
  /** Time after the last proof of ownership until which leases are renewed and tasks started. */
  readonly ownershipProofMilliseconds: number;
  /** Longest time that a renewal waits at a worker for a run to end. */
  readonly reportWaitMilliseconds: number;
  /** Time after which a worker that has not answered a renewal counts as silent. */
  readonly silenceMilliseconds: number;
  /** Time for which the status of a job is kept after its end. */
  readonly statusRetentionMilliseconds: number;
  /** Time within which all members of a gang must have started. */
  readonly gangTimeoutMilliseconds: number;
  /** Longest time from an order to stop a run to its end, on the worker's clock. */
  readonly stopMilliseconds: number;
  /** Factor by which a task takes longer away from its data or its rack. */
  readonly remoteFactor: number;
  /** Time for which a running task may be away before it counts as absent. */
  readonly absenceNoticeMilliseconds: number;
}

/** Fraction by which a worker's clock may run slower than ours. */
export const WORKER_CLOCK_DRIFT = 0.02;

/** Time added to every wait for the end of a lease, to allow for rounding and late timers. */
export const LEASE_MARGIN_MILLISECONDS = 150;
