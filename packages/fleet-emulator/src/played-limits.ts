/** Limits of the platform and of workers as the models keep them. */
import type { AppendLimits } from '@baobabdeck/scheduler';

/** Limits of a play. */
export interface PlayedLimits extends AppendLimits {
  /** The most ends that a worker lists at once. */
  readonly endsPerList: number;
  /** The most bytes of records that one read of a log returns, unless the first one is larger. */
  readonly readBytes: number;
}

/** The limits that the platform and its workers publish. */
export const PUBLISHED_LIMITS: PlayedLimits = {
  endsPerList: 500,
  readBytes: 1_048_576,
  recordBytes: 262_144,
  requestBytes: 2_097_152,
};

/** Limits so small that small plays reach them often. */
export const TIGHT_LIMITS: PlayedLimits = {
  endsPerList: 2,
  readBytes: 600,
  recordBytes: 6_000,
  requestBytes: 12_000,
};
