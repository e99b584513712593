/** Sends a request to one target and streams its response to the caller, with back-pressure in both directions. */
import type { Dispatcher, Pool } from 'undici';
import type { FailureStage } from '@baobabdeck/core';
import type { TracedSpan } from '@baobabdeck/observability';
import type { HeldAnswer } from '@baobabdeck/types';
import { writeResponseHead, type Exchange } from './exchange.js';
import { selectForwardedHeaders, type RawHeaders } from './hop-by-hop-headers.js';

/** Maximum body size of a response that is held to answer repeated requests with the same idempotency key. */
const MAXIMUM_HELD_ANSWER_BYTES = 65_536;

/** Caller headers that the gateway replaces with its own values. */
const REPLACED_HEADERS: ReadonlySet<string> = new Set(['traceparent', 'tracestate', 'baobabdeck-request-id']);

/** Callbacks for the progress and outcome of an attempt. */
export interface AttemptHandlers {
  /** Receives the final status once the target's response headers have arrived. */
  readonly onResponded: (status: number) => void;
  /** Receives the held answer, or null if none was requested or the body was too large. */
  readonly onCompleted: (status: number, answer: HeldAnswer | null) => void;
  readonly onFailed: (stage: FailureStage, reason: string) => void;
}

/** Options of an attempt. */
export interface AttemptOptions {
  readonly exchange: Exchange;
  readonly pool: Pool;
  readonly span: TracedSpan;
  /** Whether the response is kept to answer repeated requests with the same idempotency key. */
  readonly holdAnswer: boolean;
  readonly handlers: AttemptHandlers;
}

/** An attempt in progress. */
export interface Attempt {
  /** Sends the response head to the caller and starts to stream the body. */
  readonly forward: () => void;
  /** Cancels the request to the target. No handler is called afterwards. */
  readonly abort: () => void;
}

type Controller = Dispatcher.DispatchController;

function toRawHeaders(headers: Readonly<Record<string, string | string[] | undefined>>): RawHeaders {
  return Object.entries(headers).flatMap(([name, value]) => {
    if (value === undefined) return [];
    return Array.isArray(value) ? value.flatMap((item) => [name, item]) : [name, value];
  });
}

function toHeaderPairs(raw: RawHeaders): readonly (readonly [string, string])[] {
  return raw.flatMap((name, index) => (index % 2 === 0 ? [[name, raw[index + 1] ?? ''] as const] : []));
}

function buildRequestHeaders(exchange: Exchange, span: TracedSpan): string[] {
  const headers = selectForwardedHeaders(exchange.request.rawHeaders, REPLACED_HEADERS);
  Object.entries(span.headers()).forEach(([name, value]) => headers.push(name, value));
  headers.push('baobabdeck-request-id', exchange.requestId);
  return headers;
}

/** Starts an attempt. Calls each handler at most once, and none after `abort`. */
export function startAttempt({ exchange, pool, span, holdAnswer, handlers }: AttemptOptions): Attempt {
  const { request, response } = exchange;
  let controller: Controller | null = null;
  let aborted = false;
  let forwarding = false;
  let stage: FailureStage = 'before-sending';
  let status = 0;
  let raw: RawHeaders = [];
  let heldChunks: Buffer[] | null = holdAnswer ? [] : null;
  let heldBytes = 0;

  const holdChunk = (chunk: Buffer): void => {
    if (heldChunks === null) return;
    heldBytes += chunk.length;
    if (heldBytes > MAXIMUM_HELD_ANSWER_BYTES) heldChunks = null;
    else heldChunks.push(Buffer.from(chunk));
  };
  const buildHeldAnswer = (): HeldAnswer | null =>
    heldChunks === null ? null : { status, headers: toHeaderPairs(raw), body: Buffer.concat(heldChunks) };

  const handler: Dispatcher.DispatchHandler = {
    onRequestStart: (requestController) => {
      controller = requestController;
      if (aborted) requestController.abort(new Error('attempt aborted'));
      else stage = 'after-sending';
    },
    onResponseStart: (_, statusCode, headers) => {
      const FIRST_FINAL_STATUS = 200;
      if (aborted || statusCode < FIRST_FINAL_STATUS) return;
      status = statusCode;
      raw = toRawHeaders(headers);
      handlers.onResponded(statusCode);
    },
    onResponseData: (requestController, chunk) => {
      if (aborted || !forwarding) return;
      stage = 'after-response';
      holdChunk(chunk);
      if (response.write(chunk)) return;
      requestController.pause();
      response.once('drain', () => requestController.resume());
    },
    onResponseEnd: () => {
      if (aborted || !forwarding) return;
      response.end();
      span.end();
      handlers.onCompleted(status, buildHeldAnswer());
    },
    onResponseError: (_, error) => {
      if (aborted) return;
      span.end(error.message);
      handlers.onFailed(forwarding ? 'after-response' : stage, error.message);
    },
  };

  pool.dispatch(
    {
      path: exchange.targetPath,
      method: request.method ?? 'GET',
      headers: buildRequestHeaders(exchange, span),
      body: exchange.body.open() as never,
    },
    handler,
  );

  return {
    forward: () => {
      forwarding = true;
      writeResponseHead(exchange, status, raw);
    },
    abort: () => {
      aborted = true;
      span.end('given up');
      controller?.abort(new Error('attempt aborted'));
    },
  };
}
