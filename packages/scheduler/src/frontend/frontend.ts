/** Front end for callers: stores their jobs and cancellations, and queries the service owners for all else. */
import type { WriteEvent } from '@baobabdeck/observability';
import type { JobRequest } from '@baobabdeck/scheduling';
import type { Layout } from '../node/layout.js';
import { subjectOfService } from '../node/layout.js';
import type { SteadyClock } from '../node/steady-clock.js';
import type { BackgroundWork } from '../unexpected-errors/background-work.js';
import { isStorable, storedBytesOf } from '../owner/append-batches.js';
import { encodeRecord } from '../owner/record-codec.js';
import type { OwnerClient } from '../peers/owner-client.js';
import type { PeerResponse, PeerRequest } from '../peers/messages.js';
import type {
  AppendLimits,
  CancelResult,
  KeyedRecord,
  LogPartition,
  PendingCountResult,
  Queue,
  JobStatusResult,
  SubmitResult,
  SubmittedJob,
} from '../ports/index.js';
import { queueAddressOf } from './queue-address.js';
import type { SubmissionWriter } from './submission-writer.js';

/** Time reserved for the answer to reach the caller before the caller times out. */
const ANSWER_MARGIN_MILLISECONDS = 100;

const RETRY_DELAY_MILLISECONDS = 60;

/** Seconds after which a caller should retry when the store has refused its job. */
const STORE_REFUSED_RETRY_SECONDS = 1;

const STORE_LOST_REASON = 'the store does not answer this process';

/** Share of the caller's remaining time for which an append that the store refuses is retried. */
const STORE_RETRY_SHARE = 0.5;

/** Time for which the front end keeps trying to notify the service owner of a cancellation. */
const CANCEL_NOTICE_TIMEOUT_MILLISECONDS = 1_000;

/** Dependencies of the front end. */
export interface FrontendParts {
  readonly clock: SteadyClock;
  readonly background: BackgroundWork;
  readonly writeEvent: WriteEvent;
  readonly writer: SubmissionWriter;
  readonly storeLimits: AppendLimits;
  readonly layout: () => Layout;
  readonly ownerClient: OwnerClient;
  /** Whether the store has stopped answering this process; other processes may still reach it. */
  readonly isStoreLost: () => boolean;
}

/** Operations that callers can request; `remainingMilliseconds` is the time until the caller times out. */
export interface Frontend {
  readonly submit: (
    queue: Queue,
    job: SubmittedJob,
    remainingMilliseconds: number,
    workspace: string | null,
  ) => Promise<SubmitResult>;
  readonly getJobStatus: (
    queue: Queue,
    jobId: string,
    remainingMilliseconds: number,
    workspace: string | null,
  ) => Promise<JobStatusResult>;
  readonly cancel: (
    queue: Queue,
    jobId: string,
    remainingMilliseconds: number,
    workspace: string | null,
  ) => Promise<CancelResult>;
  readonly countPending: (queue: Queue, remainingMilliseconds: number) => Promise<PendingCountResult>;
}

function requestOf(
  queue: Queue,
  job: SubmittedJob,
  now: Date,
  remainingMilliseconds: number,
  workspace: string | null,
): JobRequest {
  return {
    ...job,
    service: queue.service,
    queue: queue.name,
    queueAddress: queueAddressOf(queue),
    workspace,
    priority: queue.priority,
    maximumFailedRuns: queue.maximumFailedRuns,
    stretch: queue.stretch,
    targetMilliseconds: queue.targetMilliseconds,
    advice: queue.advice,
    // The remaining time is the queue's timeout less the time since the caller's first attempt.
    ageMilliseconds: Math.max(0, queue.timeoutMilliseconds - remainingMilliseconds),
    acceptedAt: now,
  };
}

/** Describes the record of a job that the store would never accept; null if it accepts all of them. */
function findExcess(records: readonly KeyedRecord[], limits: AppendLimits): string | null {
  const large = records.find((record) => !isStorable(record, limits));
  if (large === undefined) return null;
  return `steps: expected a job of at most ${limits.recordBytes} bytes as stored, found ${storedBytesOf(large)}`;
}

/** Creates the front end. */
export function createFrontend(parts: FrontendParts): Frontend {
  const { clock, background, writeEvent, writer } = parts;

  const inboxOf = (queue: Queue): LogPartition | null =>
    parts.layout().get(subjectOfService(queue.service)) ?? null;

  const deadlineOf = (remainingMilliseconds: number): number =>
    clock.steadyNow() + Math.max(0, remainingMilliseconds - ANSWER_MARGIN_MILLISECONDS);

  /**
   * Retries an append until it is stored or until `deadline`. Refuses after `refuseAt`, or once the store is lost, unless
   * an earlier attempt was left unanswered and may have been stored.
   */
  const appendUntilStored = async (
    inbox: LogPartition,
    records: readonly KeyedRecord[],
    deadline: number,
    refuseAt: number,
  ): Promise<SubmitResult & { readonly offset?: number }> => {
    let mayBeStored = false;
    for (;;) {
      const outcome = await writer.append(inbox, records);
      if (outcome.kind === 'stored') return { kind: 'accepted', offset: outcome.firstOffset };
      if (outcome.kind === 'invalid') return { kind: 'too-large', detail: outcome.detail };
      mayBeStored ||= outcome.kind === 'unknown';
      const now = clock.steadyNow();
      if (!mayBeStored && (now >= refuseAt || parts.isStoreLost())) {
        return {
          kind: 'refused',
          reason: 'the store takes nothing now',
          retryAfterSeconds: STORE_REFUSED_RETRY_SECONDS,
        };
      }
      if (now >= deadline) return { kind: 'unknown' };
      await clock.sleep(RETRY_DELAY_MILLISECONDS);
    }
  };

  const submit = async (
    queue: Queue,
    job: SubmittedJob,
    remainingMilliseconds: number,
    workspace: string | null,
  ): Promise<SubmitResult> => {
    const inbox = inboxOf(queue);
    const startedAt = clock.steadyNow();
    const request = requestOf(queue, job, clock.now(), remainingMilliseconds, workspace);
    const fields = {
      jobId: job.jobId,
      queue: queue.name,
      service: queue.service,
      ...(workspace === null ? {} : { workspace }),
    };
    if (inbox === null) {
      writeEvent('jobRefused', { ...fields, reason: 'the service has no log yet' });
      return { kind: 'refused', reason: 'the service has no log yet', retryAfterSeconds: 1 };
    }
    if (parts.isStoreLost()) {
      writeEvent('jobRefused', { ...fields, reason: STORE_LOST_REASON });
      return { kind: 'refused', reason: STORE_LOST_REASON, retryAfterSeconds: STORE_REFUSED_RETRY_SECONDS };
    }
    const refuseAt = startedAt + remainingMilliseconds * STORE_RETRY_SHARE;
    const records = encodeRecord({ kind: 'job-accepted', request });
    const excess = findExcess(records, parts.storeLimits);
    if (excess !== null) {
      writeEvent('jobRefused', { ...fields, reason: excess });
      return { kind: 'too-large', detail: excess };
    }
    const answer = await appendUntilStored(inbox, records, deadlineOf(remainingMilliseconds), refuseAt);
    const milliseconds = Math.round(clock.steadyNow() - startedAt);
    if (answer.kind === 'accepted') {
      writeEvent('jobAccepted', { ...fields, offset: answer.offset, milliseconds });
    } else if (answer.kind === 'too-large') {
      writeEvent('jobRefused', { ...fields, reason: answer.detail, milliseconds });
    } else if (answer.kind === 'refused') {
      writeEvent('jobRefused', { ...fields, reason: answer.reason, milliseconds });
    } else {
      writeEvent('jobUnknown', { ...fields, milliseconds });
    }
    return answer;
  };

  const requestFromOwner = (
    queue: Queue,
    request: PeerRequest,
    remainingMilliseconds: number,
  ): Promise<PeerResponse | null> =>
    parts.ownerClient.requestUntil(
      subjectOfService(queue.service),
      request,
      deadlineOf(remainingMilliseconds),
    );

  const getJobStatus = async (
    queue: Queue,
    jobId: string,
    remainingMilliseconds: number,
    workspace: string | null,
  ): Promise<JobStatusResult> => {
    const { name, service } = queue;
    const request = {
      kind: 'job-status' as const,
      service,
      queue: name,
      queueAddress: queueAddressOf(queue),
      jobId,
      workspace,
    };
    const answer = await requestFromOwner(queue, request, remainingMilliseconds);
    if (answer?.kind === 'job-status') {
      return { kind: 'known', status: answer.status, failureReason: answer.failureReason };
    }
    if (answer?.kind === 'unknown-job') return { kind: 'unknown-job' };
    writeEvent('statusUnavailable', { jobId, queue: queue.name });
    return { kind: 'unavailable' };
  };

  const cancel = async (
    queue: Queue,
    jobId: string,
    remainingMilliseconds: number,
    workspace: string | null,
  ): Promise<CancelResult> => {
    const startedAt = clock.steadyNow();
    const status = await getJobStatus(queue, jobId, remainingMilliseconds / 2, workspace);
    if (status.kind === 'unknown-job') return { kind: 'unknown-job' };
    // A stored cancellation takes effect, so that none may be stored before the owner has confirmed the workspace.
    if (status.kind === 'unavailable' && workspace !== null) return { kind: 'unavailable' };
    const inbox = inboxOf(queue);
    if (inbox === null) return { kind: 'unavailable' };
    const remainingForAppend = remainingMilliseconds - (clock.steadyNow() - startedAt);
    const deadline = deadlineOf(remainingForAppend);
    const stored = await appendUntilStored(
      inbox,
      encodeRecord({ kind: 'job-cancelled', jobId }),
      deadline,
      deadline,
    );
    writeEvent('cancelTaken', { jobId, queue: queue.name, outcome: stored.kind });
    if (stored.kind === 'accepted') {
      const notice = { kind: 'job-cancelled' as const, service: queue.service, jobId, workspace };
      background.start('notify-of-cancellation', async () => {
        await requestFromOwner(queue, notice, CANCEL_NOTICE_TIMEOUT_MILLISECONDS);
      });
    }
    return { kind: stored.kind === 'accepted' ? 'cancelled' : 'unavailable' };
  };

  const countPending = async (queue: Queue, remainingMilliseconds: number): Promise<PendingCountResult> => {
    const request = {
      kind: 'pending-count' as const,
      service: queue.service,
      queue: queue.name,
      queueAddress: queueAddressOf(queue),
    };
    const answer = await requestFromOwner(queue, request, remainingMilliseconds);
    return answer?.kind === 'pending-count'
      ? { kind: 'counted', pending: answer.pending }
      : { kind: 'unavailable' };
  };

  return { submit, getJobStatus, cancel, countPending };
}
