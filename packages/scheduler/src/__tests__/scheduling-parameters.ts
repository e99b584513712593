/** Parameters of a scheduler as the deployed program has them. */
import type { SchedulingParameters } from '@baobabdeck/scheduling';

export const SCHEDULING_PARAMETERS: SchedulingParameters = {
  leaseMilliseconds: 5_000,
  ownershipProofMilliseconds: 5_000,
  reportWaitMilliseconds: 1_000,
  silenceMilliseconds: 500,
  statusRetentionMilliseconds: 120_000,
  gangTimeoutMilliseconds: 3_000,
  stopMilliseconds: 400,
  remoteFactor: 2,
  absenceNoticeMilliseconds: 4_500,
};
