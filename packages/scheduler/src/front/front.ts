/** Serves callers: stores what they hand in and asks the owners of services for the rest. */
import type { WriteEvent } from '@baobabdeck/observability';
import type { JobRequest } from '@baobabdeck/scheduling';
import type { Layout } from '../node/layout.js';
import { subjectOfService } from '../node/layout.js';
import type { SteadyClock } from '../node/steady-clock.js';
import { encodeRecord } from '../owner/record-codec.js';
import type { OwnerClient } from '../peers/owner-client.js';
import type { PeerResponse, PeerRequest } from '../peers/messages.js';
import type {
  CancelResult,
  KeyedRecord,
  LogPartition,
  PendingCountResult,
  Queue,
  JobStatusResult,
  SubmitResult,
  SubmittedJob,
} from '../ports/index.js';
import type { SubmissionWriter } from './submission-writer.js';

/** Time that an answer needs to reach the caller before its patience ends. */
const ANSWER_MARGIN_MILLISECONDS = 100;

const RETRY_PAUSE_MILLISECONDS = 60;

/** When a caller is to come back after the store refused to take its job. */
const STORE_REFUSED_RETRY_SECONDS = 1;

const STORE_LOST = 'the store does not answer this process';

/** Share of a caller's patience for which a job is offered to a store that refuses it. */
const STORE_PATIENCE_SHARE = 0.5;

/** Time for which the owner of a cancelled job is told of it. */
const NOTICE_MILLISECONDS = 1_000;

/** What the front needs. */
export interface FrontParts {
  readonly clock: SteadyClock;
  readonly writeEvent: WriteEvent;
  readonly writer: SubmissionWriter;
  readonly layout: () => Layout;
  readonly questions: OwnerClient;
  /** The store does not answer this process; others may reach it. */
  readonly isStoreLost: () => boolean;
}

/** What callers can have done. */
export interface Front {
  readonly submit: (queue: Queue, job: SubmittedJob, patienceMilliseconds: number) => Promise<SubmitResult>;
  readonly getJobStatus: (
    queue: Queue,
    jobId: string,
    patienceMilliseconds: number,
  ) => Promise<JobStatusResult>;
  readonly cancel: (queue: Queue, jobId: string, patienceMilliseconds: number) => Promise<CancelResult>;
  readonly countPending: (queue: Queue, patienceMilliseconds: number) => Promise<PendingCountResult>;
}

function requestOf(queue: Queue, job: SubmittedJob, now: Date, patienceMilliseconds: number): JobRequest {
  return {
    ...job,
    service: queue.service,
    queue: queue.name,
    priority: queue.priority,
    maximumFailedRuns: queue.maximumFailedRuns,
    stretch: queue.stretch,
    targetMilliseconds: queue.targetMilliseconds,
    advice: queue.advice,
    // The caller's patience is what is left of the queue's timeout since its first try.
    ageMilliseconds: Math.max(0, queue.timeoutMilliseconds - patienceMilliseconds),
    acceptedAt: now,
  };
}

/** Creates the front. */
export function createFront(parts: FrontParts): Front {
  const { clock, writeEvent, writer } = parts;

  const placeOf = (queue: Queue): LogPartition | null =>
    parts.layout().get(subjectOfService(queue.service)) ?? null;

  const untilOf = (patienceMilliseconds: number): number =>
    clock.steadyNow() + Math.max(0, patienceMilliseconds - ANSWER_MARGIN_MILLISECONDS);

  /** Appends until it is stored, or until it is too late to tell; `doubtful` once an answer was lost. */
  const store = async (
    place: LogPartition,
    records: readonly KeyedRecord[],
    until: number,
    refuseAt: number,
  ): Promise<SubmitResult & { readonly offset?: number }> => {
    let doubtful = false;
    for (;;) {
      const outcome = await writer.append(place, records);
      if (outcome.kind === 'stored') return { kind: 'accepted', offset: outcome.firstOffset };
      doubtful ||= outcome.kind === 'unknown';
      const now = clock.steadyNow();
      if (!doubtful && (now >= refuseAt || parts.isStoreLost())) {
        return {
          kind: 'refused',
          reason: 'the store takes nothing now',
          retryAfterSeconds: STORE_REFUSED_RETRY_SECONDS,
        };
      }
      if (now >= until) return { kind: 'unknown' };
      await clock.sleep(RETRY_PAUSE_MILLISECONDS);
    }
  };

  const submit = async (
    queue: Queue,
    job: SubmittedJob,
    patienceMilliseconds: number,
  ): Promise<SubmitResult> => {
    const place = placeOf(queue);
    const startedAt = clock.steadyNow();
    const request = requestOf(queue, job, clock.now(), patienceMilliseconds);
    const fields = { jobId: job.jobId, queue: queue.name, service: queue.service };
    if (place === null) {
      writeEvent('jobRefused', { ...fields, reason: 'the service has no log yet' });
      return { kind: 'refused', reason: 'the service has no log yet', retryAfterSeconds: 1 };
    }
    if (parts.isStoreLost()) {
      writeEvent('jobRefused', { ...fields, reason: STORE_LOST });
      return { kind: 'refused', reason: STORE_LOST, retryAfterSeconds: STORE_REFUSED_RETRY_SECONDS };
    }
    const refuseAt = startedAt + patienceMilliseconds * STORE_PATIENCE_SHARE;
    const records = encodeRecord({ kind: 'job-accepted', request });
    const answer = await store(place, records, untilOf(patienceMilliseconds), refuseAt);
    const milliseconds = Math.round(clock.steadyNow() - startedAt);
    if (answer.kind === 'accepted') {
      writeEvent('jobAccepted', { ...fields, offset: answer.offset, milliseconds });
    } else if (answer.kind === 'refused') {
      writeEvent('jobRefused', { ...fields, reason: answer.reason, milliseconds });
    } else {
      writeEvent('jobUnknown', { ...fields, milliseconds });
    }
    return answer;
  };

  const ask = (
    queue: Queue,
    question: PeerRequest,
    patienceMilliseconds: number,
  ): Promise<PeerResponse | null> =>
    parts.questions.requestUntil(subjectOfService(queue.service), question, untilOf(patienceMilliseconds));

  const askStatus = async (
    queue: Queue,
    jobId: string,
    patienceMilliseconds: number,
  ): Promise<JobStatusResult> => {
    const question = { kind: 'job-status' as const, service: queue.service, queue: queue.name, jobId };
    const answer = await ask(queue, question, patienceMilliseconds);
    if (answer?.kind === 'job-status') return { kind: 'known', status: answer.status };
    if (answer?.kind === 'unknown-job') return { kind: 'unknown-job' };
    writeEvent('statusUnavailable', { jobId, queue: queue.name });
    return { kind: 'unavailable' };
  };

  const cancel = async (queue: Queue, jobId: string, patienceMilliseconds: number): Promise<CancelResult> => {
    const startedAt = clock.steadyNow();
    const status = await askStatus(queue, jobId, patienceMilliseconds / 2);
    if (status.kind === 'unknown-job') return { kind: 'unknown-job' };
    const place = placeOf(queue);
    if (place === null) return { kind: 'unavailable' };
    const left = patienceMilliseconds - (clock.steadyNow() - startedAt);
    const until = untilOf(left);
    const stored = await store(place, encodeRecord({ kind: 'job-cancelled', jobId }), until, until);
    writeEvent('cancelTaken', { jobId, queue: queue.name, outcome: stored.kind });
    if (stored.kind === 'accepted') {
      void ask(queue, { kind: 'job-cancelled', service: queue.service, jobId }, NOTICE_MILLISECONDS);
    }
    return { kind: stored.kind === 'accepted' ? 'cancelled' : 'unavailable' };
  };

  const countPending = async (queue: Queue, patienceMilliseconds: number): Promise<PendingCountResult> => {
    const question = { kind: 'pending-count' as const, service: queue.service, queue: queue.name };
    const answer = await ask(queue, question, patienceMilliseconds);
    return answer?.kind === 'pending-count'
      ? { kind: 'counted', pending: answer.pending }
      : { kind: 'unavailable' };
  };

  return { submit, getJobStatus: askStatus, cancel, countPending };
}
