/** One attempt at one target: sends the request and takes the answer in, with back-pressure both ways. */
import type { Dispatcher, Pool } from 'undici';
import type { FailureStage } from '@baobabdeck/core';
import type { TracedSpan } from '@baobabdeck/observability';
import type { HeldAnswer } from '@baobabdeck/types';
import { writeHead, type Exchange } from './exchange.js';
import { selectPassedHeaders, type RawHeaders } from './hop-headers.js';

/** Bytes of the largest answer that is held for repeats. */
const HELD_ANSWER_BYTES = 65_536;

/** Headers that the gateway sets itself. */
const REPLACED_HEADERS: ReadonlySet<string> = new Set(['traceparent', 'tracestate', 'baobabdeck-request-id']);

/** What an attempt tells its gateway. */
export interface AttemptHandlers {
  readonly onResponded: (status: number) => void;
  readonly onCompleted: (status: number, answer: HeldAnswer | null) => void;
  readonly onFailed: (stage: FailureStage, reason: string) => void;
}

/** What an attempt is made with. */
export interface AttemptParts {
  readonly exchange: Exchange;
  readonly pool: Pool;
  readonly span: TracedSpan;
  readonly holdAnswer: boolean;
  readonly handlers: AttemptHandlers;
}

/** An attempt in progress. */
export interface Attempt {
  /** Passes the answer on to the caller from now on. */
  readonly forward: () => void;
  readonly abort: () => void;
}

type Controller = Dispatcher.DispatchController;

function toRawHeaders(headers: Readonly<Record<string, string | string[] | undefined>>): RawHeaders {
  return Object.entries(headers).flatMap(([name, value]) => {
    if (value === undefined) return [];
    return Array.isArray(value) ? value.flatMap((one) => [name, one]) : [name, value];
  });
}

function pairs(raw: RawHeaders): readonly (readonly [string, string])[] {
  return raw.flatMap((name, index) => (index % 2 === 0 ? [[name, raw[index + 1] ?? ''] as const] : []));
}

function requestHeaders(exchange: Exchange, span: TracedSpan): string[] {
  const headers = selectPassedHeaders(exchange.request.rawHeaders, REPLACED_HEADERS);
  Object.entries(span.headers()).forEach(([name, value]) => headers.push(name, value));
  headers.push('baobabdeck-request-id', exchange.requestId);
  return headers;
}

/** Starts an attempt. Each handler is called at most once, and none after `abort`. */
export function startAttempt({ exchange, pool, span, holdAnswer, handlers }: AttemptParts): Attempt {
  const { request, response } = exchange;
  let controller: Controller | null = null;
  let aborted = false;
  let forwarding = false;
  let stage: FailureStage = 'before-sending';
  let status = 0;
  let raw: RawHeaders = [];
  let held: Buffer[] | null = holdAnswer ? [] : null;
  let heldBytes = 0;

  const hold = (chunk: Buffer): void => {
    if (held === null) return;
    heldBytes += chunk.length;
    if (heldBytes > HELD_ANSWER_BYTES) held = null;
    else held.push(Buffer.from(chunk));
  };
  const heldAnswer = (): HeldAnswer | null =>
    held === null ? null : { status, headers: pairs(raw), body: Buffer.concat(held) };

  const handler: Dispatcher.DispatchHandler = {
    onRequestStart: (started) => {
      controller = started;
      if (aborted) started.abort(new Error('attempt was given up'));
      else stage = 'after-sending';
    },
    onResponseStart: (_, statusCode, headers) => {
      const FIRST_FINAL_STATUS = 200;
      if (aborted || statusCode < FIRST_FINAL_STATUS) return;
      status = statusCode;
      raw = toRawHeaders(headers);
      handlers.onResponded(statusCode);
    },
    onResponseData: (current, chunk) => {
      if (aborted || !forwarding) return;
      stage = 'after-response';
      hold(chunk);
      if (response.write(chunk)) return;
      current.pause();
      response.once('drain', () => current.resume());
    },
    onResponseEnd: () => {
      if (aborted || !forwarding) return;
      response.end();
      span.end();
      handlers.onCompleted(status, heldAnswer());
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
      headers: requestHeaders(exchange, span),
      body: exchange.body.open() as never,
    },
    handler,
  );

  return {
    forward: () => {
      forwarding = true;
      writeHead(exchange, status, raw);
    },
    abort: () => {
      aborted = true;
      span.end('given up');
      controller?.abort(new Error('attempt was given up'));
    },
  };
}
