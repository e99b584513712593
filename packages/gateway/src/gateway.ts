/** Joins callers, the reducer and targets. */
import { randomUUID } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import { hasUnrecordedKeys, type Effect } from '@baobabdeck/core';
import { failureOf, type Failure } from '@baobabdeck/errors';
import type { Metrics, TracedSpan, Tracing, WriteEvent } from '@baobabdeck/observability';
import { startRuntime, type Runtime } from '@baobabdeck/process';
import type { Platform } from '@baobabdeck/platform';
import type { ProcessSettings } from '@baobabdeck/settings';
import type { RequestDescription } from '@baobabdeck/types';
import { startAttempt, type Attempt } from './attempt.js';
import { bodyOfBytes, hasBody, NO_BODY, readWholeBody, streamBody, type BodySource } from './body-source.js';
import { listenForCallers, type CallerServer } from './caller-server.js';
import { writeHeldAnswer, writeRefusal, type Exchange } from './exchange.js';
import { hashTexts } from './parse-key.js';
import { parseRequest, type ParsedRequest } from './parse-request.js';
import { createTargetPools } from './target-pools.js';

/** Time for which a stopping gateway still takes connections, so that the balancer can notice. */
const READINESS_NOTICE_MILLISECONDS = 1_500;

const STOP_POLL_MILLISECONDS = 20;

/** Time that a stopping gateway waits for the log to take the outcomes of its keys. */
const RECORD_WAIT_MILLISECONDS = 3_000;
const MILLISECONDS_PER_SECOND = 1_000;

/** Bytes kept for another attempt before the service's setting is known. */
const DEFAULT_REPLAYABLE_BYTES = 65_536;

/** What a gateway is made of. */
export interface GatewayParts {
  readonly settings: ProcessSettings;
  readonly platform: Platform;
  readonly metrics: Metrics;
  readonly tracing: Tracing;
  readonly writeEvent: WriteEvent;
}

/** A running gateway. */
export interface Gateway {
  readonly callerPort: number;
  readonly runtime: Runtime;
  /** Finishes what is in progress, then leaves. */
  readonly stop: () => Promise<void>;
}

function describe(
  requestId: string,
  parsed: ParsedRequest,
  method: string,
  wholeBody: Uint8Array | null,
): RequestDescription {
  const { service, caller, key } = parsed;
  return {
    requestId,
    service,
    caller,
    workKind: parsed.workKind,
    repeatable: parsed.repeatable,
    needs: parsed.needs,
    deadlineMilliseconds: parsed.deadlineMilliseconds,
    hint: parsed.hint,
    keyHash: key === null ? null : hashTexts(service, caller, key),
    fingerprint: key === null ? '' : hashTexts(method, parsed.targetPath, wholeBody ?? ''),
    keyMadeAt: parsed.keyMadeAt,
  };
}

/** Starts a gateway. */
export async function startGateway({
  settings,
  platform,
  metrics,
  tracing,
  writeEvent,
}: GatewayParts): Promise<Gateway> {
  const exchanges = new Map<string, Exchange>();
  const attempts = new Map<string, Attempt>();
  const pools = createTargetPools();

  const begin = (effect: Extract<Effect, { readonly kind: 'start-attempt' }>): void => {
    const exchange = exchanges.get(effect.requestId);
    if (exchange === undefined) return;
    const { attemptId, target } = effect;
    const span = tracing.startChildSpan('attempt', exchange.span);
    span.setAttribute('baobabdeck.host', target.hostId);
    const bodyReplayable = (): boolean => exchange.body.replayable();
    metrics.waitSeconds.observe(
      { service: exchange.service },
      (performance.now() - exchange.arrivedAt) / MILLISECONDS_PER_SECOND,
    );
    const attempt = startAttempt({
      exchange,
      pool: pools.poolFor(target.address, effect.connectionLimit),
      span,
      holdAnswer: exchange.request.headers['idempotency-key'] !== undefined,
      handlers: {
        onResponded: (status) => runtime.dispatch({ kind: 'attempt-responded', attemptId, status }),
        onCompleted: (status, answer) => {
          attempts.delete(attemptId);
          metrics.attempts.inc({ result: 'completed' });
          runtime.dispatch({ kind: 'attempt-completed', attemptId, status, answer });
          exchange.finish(`${status}`);
        },
        onFailed: (stage, reason) => {
          attempts.delete(attemptId);
          metrics.attempts.inc({ result: stage });
          runtime.dispatch({
            kind: 'attempt-failed',
            attemptId,
            stage,
            bodyReplayable: bodyReplayable(),
            reason,
          });
        },
      },
    });
    attempts.set(attemptId, attempt);
  };

  const abort = (attemptId: string): void => {
    attempts.get(attemptId)?.abort();
    attempts.delete(attemptId);
    metrics.attempts.inc({ result: 'abandoned' });
  };

  const refuse = (effect: Extract<Effect, { readonly kind: 'refuse' }>): void => {
    const exchange = exchanges.get(effect.requestId);
    if (exchange === undefined) return;
    writeRefusal(exchange.response, effect.requestId, effect);
    exchange.finish(`${effect.failure.code}`);
  };

  const breakOff = (requestId: string): void => {
    const exchange = exchanges.get(requestId);
    exchange?.response.destroy();
    exchange?.finish('broken');
  };

  const perform = (effect: Effect): void => {
    switch (effect.kind) {
      case 'start-attempt':
        begin(effect);
        break;
      case 'abort-attempt':
        abort(effect.attemptId);
        break;
      case 'forward-response':
        attempts.get(effect.attemptId)?.forward();
        break;
      case 'refuse':
        refuse(effect);
        break;
      case 'replay-answer': {
        const exchange = exchanges.get(effect.requestId);
        if (exchange === undefined) break;
        writeHeldAnswer(exchange, effect.answer);
        exchange.finish('replayed');
        break;
      }
      case 'break-off-response':
        breakOff(effect.requestId);
        break;
      default:
        break;
    }
  };

  const openExchange = (
    request: IncomingMessage,
    response: ServerResponse,
    parsed: ParsedRequest,
    body: BodySource,
    span: TracedSpan,
  ): { readonly exchange: Exchange; readonly finished: Promise<void> } => {
    const requestId = randomUUID();
    const arrivedAt = performance.now();
    const { service, targetPath } = parsed;
    let finish: Exchange['finish'] = () => undefined;
    const finished = new Promise<void>((resolve) => {
      finish = (result) => {
        if (!exchanges.delete(requestId)) return;
        span.setAttribute('baobabdeck.result', result);
        span.end();
        metrics.openRequests.dec();
        metrics.answers.inc({ service, result });
        metrics.requestSeconds.observe(
          { service },
          (performance.now() - arrivedAt) / MILLISECONDS_PER_SECOND,
        );
        resolve();
      };
    });
    const exchange: Exchange = {
      requestId,
      service,
      request,
      response,
      body,
      targetPath,
      span,
      arrivedAt,
      finish,
    };
    exchanges.set(requestId, exchange);
    metrics.openRequests.inc();
    response.once('close', () => {
      if (response.writableFinished || !exchanges.has(requestId)) return;
      runtime.dispatch({ kind: 'caller-left', requestId });
      exchange.finish('caller left');
    });
    return { exchange, finished };
  };

  const refuseAtOnce = (request: IncomingMessage, response: ServerResponse, failure: Failure): void => {
    metrics.answers.inc({ service: 'none', result: `${failure.code}` });
    if (hasBody(request)) response.shouldKeepAlive = false;
    writeRefusal(response, randomUUID(), { failure, ran: 'no', retryAfterSeconds: null });
  };

  const replayableBytes = (service: string): number =>
    runtime.state().fold.fleet.configuration.services.get(service)?.replayableBodyBytes ??
    DEFAULT_REPLAYABLE_BYTES;

  const handle = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const parsed = parseRequest(request);
    if (!parsed.ok) {
      refuseAtOnce(request, response, parsed.failure);
      return;
    }
    const { key, service } = parsed.value;
    const span = tracing.startServerSpan('request', request.headers);
    span.setAttribute('baobabdeck.service', service);
    let whole: Buffer | null = null;
    let body: BodySource = hasBody(request) ? streamBody(request, replayableBytes(service)) : NO_BODY;
    if (key !== null && hasBody(request)) {
      whole = await readWholeBody(request, settings['keyed-body-limit-bytes']);
      if (whole === null) {
        const limit = settings['keyed-body-limit-bytes'];
        refuseAtOnce(
          request,
          response,
          failureOf('bodyTooLarge', `Expected at most ${limit} bytes beside an idempotency key`),
        );
        span.end();
        return;
      }
      body = bodyOfBytes(whole);
    }
    const { exchange, finished } = openExchange(request, response, parsed.value, body, span);
    const description = describe(exchange.requestId, parsed.value, request.method ?? '', whole);
    runtime.dispatch({ kind: 'request-arrived', request: description });
    await finished;
  };

  const runtime = await startRuntime({
    role: 'gateway',
    settings,
    platform,
    metrics,
    writeEvent,
    performOther: perform,
  });
  const callers: CallerServer = await listenForCallers(
    settings['listen-ip'],
    settings['caller-port'],
    settings['header-limit-bytes'],
    async (request, response) => {
      try {
        await handle(request, response);
      } catch {
        // The caller broke off while its body was read: there is nobody left to answer.
        response.destroy();
      }
    },
    writeEvent,
  );

  const stop = async (): Promise<void> => {
    runtime.dispatch({ kind: 'stop-requested' });
    await sleep(READINESS_NOTICE_MILLISECONDS);
    callers.stopAccepting();
    const giveUpAt = performance.now() + settings['drain-timeout-ms'];
    while (exchanges.size > 0 && performance.now() < giveUpAt) await sleep(STOP_POLL_MILLISECONDS);
    const recordBy = Math.min(giveUpAt, performance.now() + RECORD_WAIT_MILLISECONDS);
    while (hasUnrecordedKeys(runtime.state()) && performance.now() < recordBy) {
      await sleep(STOP_POLL_MILLISECONDS);
    }
    await runtime.close();
    callers.close();
    await pools.close();
    await tracing.close();
  };

  return { callerPort: callers.port, runtime, stop };
}
