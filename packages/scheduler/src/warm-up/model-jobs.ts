/** Jobs of a fictitious service, as its owner reads them from the inbox. */
import {
  PLAIN_STEP,
  type JobRequest,
  type ServiceRecord,
  type StoredServiceRecord,
} from '@baobabdeck/scheduling';
import { decodeRecord, encodeRecord } from '../owner/record-codec.js';

/** Service, queue and specification of every job of the play. */
export const WARM_UP_SERVICE = 'warm-up';

const JOBS = 160;
const TASKS_PER_STEP = 6;

/** One job of this many is cancelled at once. */
const CANCELLED_JOB_INTERVAL = 16;

const STEP = { ...PLAIN_STEP, taskCount: TASKS_PER_STEP, estimatedMilliseconds: 150 };

function jobOf(number: number, acceptedAt: Date): JobRequest {
  return {
    jobId: number.toString(16).padStart(16, '0'),
    service: WARM_UP_SERVICE,
    queue: WARM_UP_SERVICE,
    queueAddress: null,
    workspace: null,
    specification: WARM_UP_SERVICE,
    steps: number % 2 === 0 ? [STEP, { ...STEP, after: [0] }] : [STEP],
    repetition: null,
    priority: number % 2,
    maximumFailedRuns: 3,
    stretch: 2,
    targetMilliseconds: 500,
    advice: null,
    ageMilliseconds: 0,
    acceptedAt,
  };
}

/** Encodes a record and decodes it again, as if it had been stored. */
export function passThroughCodec(record: ServiceRecord, offset: number): readonly StoredServiceRecord[] {
  return encodeRecord(record).flatMap((keyed) => {
    const decoded = decodeRecord({ ...keyed, offset });
    return decoded.kind === 'record' ? [decoded.record] : [];
  });
}

/** Yields what each read of the inbox returns: one job, sometimes with its cancellation. */
export function* inboxReads(acceptedAt: Date): Generator<readonly StoredServiceRecord[], void, void> {
  for (let offset = 1; offset <= JOBS; offset += 1) {
    const request = jobOf(offset, acceptedAt);
    const accepted = passThroughCodec({ kind: 'job-accepted', request }, offset);
    const cancelled = { kind: 'job-cancelled' as const, jobId: request.jobId };
    yield offset % CANCELLED_JOB_INTERVAL === 0
      ? [...accepted, ...passThroughCodec(cancelled, offset)]
      : accepted;
  }
}
