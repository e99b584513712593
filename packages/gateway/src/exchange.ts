/** An HTTP exchange with a caller, and the functions that write its response. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { RESULT_CODES, type Failure } from '@baobabdeck/errors';
import type { TracedSpan } from '@baobabdeck/observability';
import type { HeldAnswer, RanVerdict } from '@baobabdeck/types';
import type { BodySource } from './body-source.js';
import { selectForwardedHeaders, type RawHeaders } from './hop-by-hop-headers.js';

/** A request in progress, with the HTTP objects, body and trace span that the reducer does not see. */
export interface Exchange {
  readonly requestId: string;
  readonly service: string;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly body: BodySource;
  readonly targetPath: string;
  readonly span: TracedSpan;
  /** Arrival time in milliseconds, from `performance.now()`. */
  readonly arrivedAt: number;
  /** Ends the exchange and records its span and metrics with `result`. Calls after the first do nothing. */
  readonly finish: (result: string) => void;
}

/** Contents of a refusal sent to the caller. */
export interface Refusal {
  readonly failure: Failure;
  readonly ran: RanVerdict;
  readonly retryAfterSeconds: number | null;
}

const NO_HEADERS: ReadonlySet<string> = new Set();

/** Returns the body of a refusal as JSON problem details. RFC 9457. */
export function serializeProblem({ failure, ran }: Refusal): string {
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

/** Sends a refusal, or closes the connection if a response has already begun. */
export function writeRefusal(response: ServerResponse, requestId: string, refusal: Refusal): void {
  if (response.headersSent || response.destroyed) {
    response.destroy();
    return;
  }
  const problem = serializeProblem(refusal);
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

/** Returns whether only the close of the connection ends a response, so that a truncated body looks complete. */
function isDelimitedByClose(raw: RawHeaders): boolean {
  const names = raw.filter((_, index) => index % 2 === 0).map((name) => name.toLowerCase());
  return !names.includes('content-length') && !names.includes('transfer-encoding');
}

/** Writes the status and headers of a target's response to the caller. */
export function writeResponseHead(exchange: Exchange, status: number, raw: RawHeaders): void {
  const { response, requestId } = exchange;
  if (isDelimitedByClose(raw)) {
    // Chunked encoding would tell the caller that the body is complete, which the target did not. So the caller's
    // connection is closed after the body too.
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
  }
  const headers = selectForwardedHeaders(raw, NO_HEADERS);
  headers.push('baobabdeck-request-id', requestId);
  response.writeHead(status, headers as never);
}

/** Answers a repeated request with the held answer to the first one. */
export function writeHeldAnswer(exchange: Exchange, answer: HeldAnswer): void {
  const excludedNames = new Set(['content-length', 'transfer-encoding', 'baobabdeck-request-id']);
  const raw = selectForwardedHeaders(answer.headers.flat(), excludedNames);
  raw.push('content-length', String(answer.body.length), 'baobabdeck-request-id', exchange.requestId);
  exchange.response.writeHead(answer.status, raw as never);
  exchange.response.end(answer.body);
}
