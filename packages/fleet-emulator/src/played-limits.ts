/** Limits of the platform and of workers as the models keep them. */

/** Limits of a play. */
export interface PlayedLimits {
  /** The most ends that a worker lists at once. */
  readonly endsPerList: number;
  /** The most bytes of records that one read of a log returns, unless the first one is larger. */
  readonly readBytes: number;
}

/** The limits that the platform and its workers publish. */
export const PUBLISHED_LIMITS: PlayedLimits = { endsPerList: 500, readBytes: 1_048_576 };

/** Limits so small that small plays reach them often. */
export const TIGHT_LIMITS: PlayedLimits = { endsPerList: 2, readBytes: 600 };
