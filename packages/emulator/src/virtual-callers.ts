/** Callers in virtual time: their open requests, and how each request ended. */
import type { RequestDescription } from '@baobabdeck/types';
import type { Schedule } from './schedule.js';

/** How a caller's request ended. */
export interface CallerAnswer {
  readonly kind: 'answered' | 'replayed' | 'refused' | 'broken';
  readonly code: number | null;
  readonly ran: 'no' | 'unknown' | 'yes' | null;
  readonly status: number | null;
  readonly arrivedAt: number;
  /** When its first attempt started; null when none did. */
  readonly startedAt: number | null;
  readonly endedAt: number;
  readonly attempts: number;
  /** The request whose answer came; it must be the caller's own or one with the same key. */
  readonly answeredBy: string | null;
}

/** A request with the work behind it. */
export interface VirtualRequest {
  readonly description: RequestDescription;
  readonly runMilliseconds: number;
  /** What the targets count by; requests of one key share it. */
  readonly workId: string;
}

/** An open request of a caller. */
interface OpenRequest {
  readonly request: VirtualRequest;
  readonly gatewayId: string;
  readonly arrivedAt: number;
  startedAt: number | null;
  attempts: number;
}

/** How a request ended, apart from its times and attempts. */
export type CallerOutcome = Pick<CallerAnswer, 'kind' | 'code' | 'ran' | 'status' | 'answeredBy'>;

/** Status of an answer that a host completed. */
export const OK_STATUS = 200;

const BROKEN: CallerOutcome = { kind: 'broken', code: null, ran: null, status: null, answeredBy: null };

/** The callers. */
export interface VirtualCallers {
  readonly open: (request: VirtualRequest, gatewayId: string) => void;
  /** Counts an attempt and returns the request; null if its caller has left or has an answer. */
  readonly beginAttempt: (requestId: string) => VirtualRequest | null;
  /** Ends an open request. */
  readonly answer: (requestId: string, outcome: CallerOutcome) => void;
  /** Ends an open request whose answer breaks off. */
  readonly breakOff: (requestId: string) => void;
  /** Breaks off all open requests at a gateway. */
  readonly breakOffAt: (gatewayId: string) => void;
  /** The gateway of an open request; null if it is not open. */
  readonly gatewayOf: (requestId: string) => string | null;
  /** Lets the caller of an open request leave without an answer. */
  readonly leave: (requestId: string) => void;
  readonly isOpen: (requestId: string) => boolean;
  readonly answers: ReadonlyMap<string, CallerAnswer>;
  readonly attemptCount: () => number;
}

/** Creates callers without requests. */
export function createVirtualCallers(schedule: Schedule): VirtualCallers {
  const openRequests = new Map<string, OpenRequest>();
  const answers = new Map<string, CallerAnswer>();
  let attemptCount = 0;

  const answer = (requestId: string, outcome: CallerOutcome): void => {
    const request = openRequests.get(requestId);
    if (request === undefined) return;
    openRequests.delete(requestId);
    const { arrivedAt, startedAt, attempts } = request;
    answers.set(requestId, { ...outcome, arrivedAt, startedAt, attempts, endedAt: schedule.now() });
  };

  return {
    open: (request, gatewayId) => {
      const { requestId } = request.description;
      const arrivedAt = schedule.now();
      openRequests.set(requestId, { request, gatewayId, arrivedAt, startedAt: null, attempts: 0 });
    },
    beginAttempt: (requestId) => {
      const open = openRequests.get(requestId);
      if (open === undefined) return null;
      open.startedAt ??= schedule.now();
      open.attempts += 1;
      attemptCount += 1;
      return open.request;
    },
    answer,
    breakOff: (requestId) => answer(requestId, BROKEN),
    breakOffAt: (gatewayId) => {
      [...openRequests]
        .filter(([, open]) => open.gatewayId === gatewayId)
        .forEach(([requestId]) => answer(requestId, BROKEN));
    },
    gatewayOf: (requestId) => openRequests.get(requestId)?.gatewayId ?? null,
    leave: (requestId) => {
      openRequests.delete(requestId);
    },
    isOpen: (requestId) => openRequests.has(requestId),
    answers,
    attemptCount: () => attemptCount,
  };
}
