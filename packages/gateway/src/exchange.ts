/** One caller's request and the answer that goes back. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { RESULT_CODES, type Failure } from '@baobabdeck/errors';
import type { TracedSpan } from '@baobabdeck/observability';
import type { HeldAnswer, RanVerdict } from '@baobabdeck/types';
import type { BodySource } from './body-source.js';
import { selectPassedHeaders, type RawHeaders } from './hop-headers.js';

/** A request in progress, with everything that the reducer does not see. */
export interface Exchange {
  readonly requestId: string;
  readonly service: string;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly body: BodySource;
  readonly targetPath: string;
  readonly span: TracedSpan;
  readonly arrivedAt: number;
  /** Called once when the exchange is over. */
  readonly finish: (result: string) => void;
}

/** A refusal as it goes to the caller. */
export interface Refusal {
  readonly failure: Failure;
  readonly ran: RanVerdict;
  readonly retryAfterSeconds: number | null;
}

const NO_HEADERS: ReadonlySet<string> = new Set();

/** The body of a refusal. RFC 9457. */
export function problemOf({ failure, ran }: Refusal): string {
  const { title, status } = RESULT_CODES[failure.kind];
  return JSON.stringify({
    type: 'about:blank',
    title,
    status,
    code: failure.code,
    detail: failure.detail,
    ran,
  });
}

/** Answers with a refusal. */
export function writeRefusal(response: ServerResponse, requestId: string, refusal: Refusal): void {
  if (response.headersSent || response.destroyed) {
    response.destroy();
    return;
  }
  const problem = problemOf(refusal);
  const { retryAfterSeconds } = refusal;
  response.writeHead(RESULT_CODES[refusal.failure.kind].status, {
    'content-type': 'application/problem+json',
    'content-length': Buffer.byteLength(problem),
    'baobabdeck-request-id': requestId,
    'baobabdeck-result': `${refusal.failure.code}`,
    ...(retryAfterSeconds === null ? {} : { 'retry-after': `${retryAfterSeconds}` }),
  });
  response.end(problem);
}

/** Whether a target's answer ends where its connection ends, so that nobody can tell a whole one from a cut one. */
function endsWithConnection(raw: RawHeaders): boolean {
  const names = raw.filter((_, index) => index % 2 === 0).map((name) => name.toLowerCase());
  return !names.includes('content-length') && !names.includes('transfer-encoding');
}

/** Passes the head of a target's answer on. */
export function writeHead(exchange: Exchange, status: number, raw: RawHeaders): void {
  const { response, requestId } = exchange;
  if (endsWithConnection(raw)) {
    // The caller's connection ends with the answer too: it claims no more than the target did.
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
  }
  const headers = selectPassedHeaders(raw, NO_HEADERS);
  headers.push('baobabdeck-request-id', requestId);
  response.writeHead(status, headers as never);
}

/** Answers a repeat with the answer that is held. */
export function writeHeldAnswer(exchange: Exchange, answer: HeldAnswer): void {
  const names = new Set(['content-length', 'transfer-encoding', 'baobabdeck-request-id']);
  const raw = selectPassedHeaders(answer.headers.flat(), names);
  raw.push('content-length', String(answer.body.length), 'baobabdeck-request-id', exchange.requestId);
  exchange.response.writeHead(answer.status, raw as never);
  exchange.response.end(answer.body);
}
