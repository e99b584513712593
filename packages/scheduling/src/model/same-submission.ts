/** Compares submissions of one job. */
import { isDeepStrictEqual } from 'node:util';
import type { JobRequest } from './job.js';

/** Whether two submissions ask for the same work under the same terms; when they were accepted does not count. */
export function isSameSubmission(left: JobRequest, right: JobRequest): boolean {
  const { acceptedAt, ageMilliseconds } = left;
  return isDeepStrictEqual(left, { ...right, acceptedAt, ageMilliseconds });
}
