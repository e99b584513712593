/** Serves callers: stores what they hand in and asks the owners of services for the rest. */
import type { WriteEvent } from '@baobabdeck/observability';
import type { JobRequest } from '@baobabdeck/scheduling';
import type { Layout } from '../node/layout.js';
import { subjectOf } from '../node/layout.js';
import type { SteadyClock } from '../node/steady-clock.js';
import { encodeRecord } from '../owner/record-codec.js';
import type { OwnerQuestions } from '../peers/ask-owner.js';
import type { PeerAnswer, PeerQuestion } from '../peers/messages.js';
import type {
  CancelAnswer,
  KeyedRecord,
  LogPlace,
  PendingAnswer,
  Queue,
  StatusAnswer,
  SubmitAnswer,
  SubmittedJob,
} from '../ports/index.js';
import type { SubmissionWriter } from './submission-writer.js';

/** Time that an answer needs to reach the caller before its patience ends. */
const ANSWER_MARGIN_MILLISECONDS = 100;

const RETRY_DELAY_MILLISECONDS = 60;

/** When a caller is to come back after the store refused to take its job. */
const STORE_REFUSED_RETRY_SECONDS = 1;

const STORE_LOST_REASON = 'the store does not answer this process';

/** Share of a caller's patience for which a job is offered to a store that refuses it. */
const STORE_RETRY_SHARE = 0.5;

/** Time for which the owner of a cancelled job is told of it. */
const CANCEL_NOTICE_TIMEOUT_MILLISECONDS = 1_000;

/** What the front needs. */
export interface FrontendParts {
  readonly clock: SteadyClock;
  readonly writeEvent: WriteEvent;
  readonly writer: SubmissionWriter;
  readonly layout: () => Layout;
  readonly questions: OwnerQuestions;
  /** The store does not answer this process; others may reach it. */
  readonly isStoreLost: () => boolean;
}

/** What callers can have done. */
export interface Frontend {
  readonly submit: (queue: Queue, job: SubmittedJob, patienceMilliseconds: number) => Promise<SubmitAnswer>;
  readonly askStatus: (queue: Queue, jobId: string, patienceMilliseconds: number) => Promise<StatusAnswer>;
  readonly cancel: (queue: Queue, jobId: string, patienceMilliseconds: number) => Promise<CancelAnswer>;
  readonly countPending: (queue: Queue, patienceMilliseconds: number) => Promise<PendingAnswer>;
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
export function createFrontend(parts: FrontendParts): Frontend {
  const { clock, writeEvent, writer } = parts;

  const inboxOf = (queue: Queue): LogPlace | null => parts.layout().get(subjectOf(queue.service)) ?? null;

  const deadlineOf = (patienceMilliseconds: number): number =>
    clock.steadyNow() + Math.max(0, patienceMilliseconds - ANSWER_MARGIN_MILLISECONDS);

  /** Appends until it is stored, or until it is too late to tell; `doubtful` once an answer was lost. */
  const appendUntilStored = async (
    inbox: LogPlace,
    records: readonly KeyedRecord[],
    deadline: number,
    refuseAt: number,
  ): Promise<SubmitAnswer & { readonly offset?: number }> => {
    let mayBeStored = false;
    for (;;) {
      const outcome = await writer.append(inbox, records);
      if (outcome.kind === 'stored') return { kind: 'accepted', offset: outcome.firstOffset };
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
    patienceMilliseconds: number,
  ): Promise<SubmitAnswer> => {
    const inbox = inboxOf(queue);
    const startedAt = clock.steadyNow();
    const request = requestOf(queue, job, clock.now(), patienceMilliseconds);
    const fields = { jobId: job.jobId, queue: queue.name, service: queue.service };
    if (inbox === null) {
      writeEvent('jobRefused', { ...fields, reason: 'the service has no log yet' });
      return { kind: 'refused', reason: 'the service has no log yet', retryAfterSeconds: 1 };
    }
    if (parts.isStoreLost()) {
      writeEvent('jobRefused', { ...fields, reason: STORE_LOST_REASON });
      return { kind: 'refused', reason: STORE_LOST_REASON, retryAfterSeconds: STORE_REFUSED_RETRY_SECONDS };
    }
    const refuseAt = startedAt + patienceMilliseconds * STORE_RETRY_SHARE;
    const records = encodeRecord({ kind: 'job-accepted', request });
    const answer = await appendUntilStored(inbox, records, deadlineOf(patienceMilliseconds), refuseAt);
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

  const askOwner = (
    queue: Queue,
    question: PeerQuestion,
    patienceMilliseconds: number,
  ): Promise<PeerAnswer | null> =>
    parts.questions.askUntil(subjectOf(queue.service), question, deadlineOf(patienceMilliseconds));

  const askStatus = async (
    queue: Queue,
    jobId: string,
    patienceMilliseconds: number,
  ): Promise<StatusAnswer> => {
    const question = { kind: 'job-status' as const, service: queue.service, queue: queue.name, jobId };
    const answer = await askOwner(queue, question, patienceMilliseconds);
    if (answer?.kind === 'job-status') return { kind: 'known', status: answer.status };
    if (answer?.kind === 'unknown-job') return { kind: 'unknown-job' };
    writeEvent('statusUnavailable', { jobId, queue: queue.name });
    return { kind: 'unavailable' };
  };

  const cancel = async (queue: Queue, jobId: string, patienceMilliseconds: number): Promise<CancelAnswer> => {
    const startedAt = clock.steadyNow();
    const status = await askStatus(queue, jobId, patienceMilliseconds / 2);
    if (status.kind === 'unknown-job') return { kind: 'unknown-job' };
    const inbox = inboxOf(queue);
    if (inbox === null) return { kind: 'unavailable' };
    const remainingForAppend = patienceMilliseconds - (clock.steadyNow() - startedAt);
    const deadline = deadlineOf(remainingForAppend);
    const stored = await appendUntilStored(
      inbox,
      encodeRecord({ kind: 'job-cancelled', jobId }),
      deadline,
      deadline,
    );
    writeEvent('cancelTaken', { jobId, queue: queue.name, outcome: stored.kind });
    if (stored.kind === 'accepted') {
      void askOwner(
        queue,
        { kind: 'job-cancelled', service: queue.service, jobId },
        CANCEL_NOTICE_TIMEOUT_MILLISECONDS,
      );
    }
    return { kind: stored.kind === 'accepted' ? 'cancelled' : 'unavailable' };
  };

  const countPending = async (queue: Queue, patienceMilliseconds: number): Promise<PendingAnswer> => {
    const question = { kind: 'pending-count' as const, service: queue.service, queue: queue.name };
    const answer = await askOwner(queue, question, patienceMilliseconds);
    return answer?.kind === 'pending-count'
      ? { kind: 'counted', pending: answer.pending }
      : { kind: 'unavailable' };
  };

  return { submit, askStatus, cancel, countPending };
}
