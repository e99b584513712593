/** Points in time within one process. */

/** Milliseconds on the monotonic clock of the process. */
export type Instant = number;
