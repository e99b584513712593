/** Front end for callers: stores their jobs and cancellations, and queries the service owners for all else. */
import type { WriteEvent } from '@baobabdeck/observability';
import type { JobRequest } from '@baobabdeck/scheduling';
import { subjectOfService } from '../node/layout.js';
import type { SteadyClock } from '../node/steady-clock.js';
import type { BackgroundWork } from '../unexpected-errors/background-work.js';
import { isStorable, storedBytesOf } from '../owner/append-batches.js';
import { encodeRecord } from '../owner/record-codec.js';
import type { OwnerClient } from '../peers/owner-client.js';
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
import { createJobLookups, type JobLookup } from './job-lookup.js';
import { queueAddressOf } from './queue-address.js';
import type { QueueHomes } from './queue-homes.js';
import type { SubmissionWriter } from './submission-writer.js';

/** Time reserved for the answer to reach the caller before the caller times out. */
const ANSWER_MARGIN_MILLISECONDS = 100;

const RETRY_DELAY_MILLISECONDS = 60;

/** Seconds after which a caller should retry when the store has refused its job. */
const STORE_REFUSED_RETRY_SECONDS = 1;

const STORE_LOST_REASON = 'the store does not answer this process';

const HOME_UNKNOWN_REASON = 'home of the queue unknown: store did not respond';

const NO_INBOX_REASON = 'the service has no log yet';

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
  /** Returns the inbox of a service; null while this process does not know it. */
  readonly inboxOf: (service: string) => LogPartition | null;
  readonly ownerClient: OwnerClient;
  readonly homes: QueueHomes;
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
  const { clock, background, writeEvent, writer, homes, inboxOf } = parts;
  const lookups = createJobLookups(parts);

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
    const startedAt = clock.steadyNow();
    const request = requestOf(queue, job, clock.now(), remainingMilliseconds, workspace);
    const fields = {
      jobId: job.jobId,
      queue: queue.name,
      service: queue.service,
      ...(workspace === null ? {} : { workspace }),
    };
    const refuse = (reason: string): SubmitResult => {
      writeEvent('jobRefused', { ...fields, reason });
      return { kind: 'refused', reason, retryAfterSeconds: STORE_REFUSED_RETRY_SECONDS };
    };
    if (parts.isStoreLost()) return refuse(STORE_LOST_REASON);
    const refuseAt = startedAt + remainingMilliseconds * STORE_RETRY_SHARE;
    const home = await homes.ensure(queue, refuseAt);
    if (home === null) return refuse(HOME_UNKNOWN_REASON);
    const inbox = inboxOf(home);
    if (inbox === null) return refuse(NO_INBOX_REASON);
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

  const findJob = async (
    queue: Queue,
    jobId: string,
    remainingMilliseconds: number,
    workspace: string | null,
  ): Promise<JobLookup> => {
    const lookup = await lookups.find(queue, jobId, deadlineOf(remainingMilliseconds), workspace);
    if (lookup.kind === 'unavailable') writeEvent('statusUnavailable', { jobId, queue: queue.name });
    return lookup;
  };

  /** Stores a cancellation in the inboxes of services; notifies their owners once all inboxes hold it. */
  const cancelAt = async (
    services: readonly string[],
    jobId: string,
    remainingMilliseconds: number,
    workspace: string | null,
  ): Promise<SubmitResult['kind'] | 'no-inbox'> => {
    const deadline = deadlineOf(remainingMilliseconds);
    const records = encodeRecord({ kind: 'job-cancelled', jobId });
    for (const service of services) {
      const inbox = inboxOf(service);
      if (inbox === null) return 'no-inbox';
      const { kind } = await appendUntilStored(inbox, records, deadline, deadline);
      if (kind !== 'accepted') return kind;
    }
    services.forEach((service) => {
      const notice = { kind: 'job-cancelled' as const, service, jobId, workspace };
      const until = deadlineOf(CANCEL_NOTICE_TIMEOUT_MILLISECONDS);
      background.start('notify-of-cancellation', async () => {
        await parts.ownerClient.requestUntil(subjectOfService(service), notice, until);
      });
    });
    return 'accepted';
  };

  const cancel = async (
    queue: Queue,
    jobId: string,
    remainingMilliseconds: number,
    workspace: string | null,
  ): Promise<CancelResult> => {
    const startedAt = clock.steadyNow();
    const found = await findJob(queue, jobId, remainingMilliseconds / 2, workspace);
    if (found.kind === 'unknown-job') return { kind: 'unknown-job' };
    // A stored cancellation takes effect, so that none may be stored before the owner has confirmed the workspace.
    if (found.kind === 'unavailable' && workspace !== null) return { kind: 'unavailable' };
    const services =
      found.kind === 'known'
        ? [found.service]
        : [...new Set([homes.known(queue) ?? queue.service, queue.service])];
    const remaining = remainingMilliseconds - (clock.steadyNow() - startedAt);
    const outcome = await cancelAt(services, jobId, remaining, workspace);
    writeEvent('cancelTaken', { jobId, queue: queue.name, outcome });
    return { kind: outcome === 'accepted' ? 'cancelled' : 'unavailable' };
  };

  const countPending = async (queue: Queue, remainingMilliseconds: number): Promise<PendingCountResult> => {
    const pending = await lookups.countPending(queue, deadlineOf(remainingMilliseconds));
    return pending === null ? { kind: 'unavailable' } : { kind: 'counted', pending };
  };

  return { submit, getJobStatus: findJob, cancel, countPending };
}
