/** Turns HTTP requests into events for the reducer and carries out the effects that it returns. */
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
import {
  createBufferedBody,
  hasBody,
  NO_BODY,
  readWholeBody,
  createStreamingBody,
  type BodySource,
} from './body-source.js';
import { listenForCallers, type CallerServer } from './caller-server.js';
import { writeHeldAnswer, writeRefusal, type Exchange } from './exchange.js';
import { hashParts } from './parse-key.js';
import { parseRequest, type ParsedRequest } from './parse-request.js';
import { createTargetPools } from './target-pools.js';

/** Time that a stopping gateway still accepts connections, so that the load balancer can see that it is not ready. */
const READINESS_GRACE_MILLISECONDS = 1_500;

/** Interval at which `stop` checks whether open requests and unrecorded keys are done. */
const STOP_POLL_MILLISECONDS = 20;

/** Maximum time that a stopping gateway waits for the outcomes of its idempotency keys to be written to the log. */
const KEY_RECORD_TIMEOUT_MILLISECONDS = 3_000;
const MILLISECONDS_PER_SECOND = 1_000;

/** Body bytes buffered for retries while the service's `replayableBodyBytes` setting is unknown. */
const DEFAULT_REPLAYABLE_BODY_BYTES = 65_536;

/** Dependencies of a gateway. The container resolves them by property name. */
export interface GatewayDependencies {
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
  /** Drains open requests for at most `drain-timeout-ms`, then closes the runtime and all connections. */
  readonly stop: () => Promise<void>;
}

/** Returns the description of a request that the reducer works on, with hashes in place of the key and the body. */
function toRequestDescription(
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
    keyHash: key === null ? null : hashParts(service, caller, key),
    fingerprint: key === null ? '' : hashParts(method, parsed.targetPath, wholeBody ?? ''),
    keyMadeAt: parsed.keyMadeAt,
  };
}

/** Starts a gateway. Rejects if the caller port is taken. */
export async function startGateway({
  settings,
  platform,
  metrics,
  tracing,
  writeEvent,
}: GatewayDependencies): Promise<Gateway> {
  const exchanges = new Map<string, Exchange>();
  const attempts = new Map<string, Attempt>();
  const targetPools = createTargetPools();

  const beginAttempt = (effect: Extract<Effect, { readonly kind: 'start-attempt' }>): void => {
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
      pool: targetPools.poolFor(target.address, effect.connectionLimit),
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

  const abortAttempt = (attemptId: string): void => {
    attempts.get(attemptId)?.abort();
    attempts.delete(attemptId);
    metrics.attempts.inc({ result: 'abandoned' });
  };

  const refuseRequest = (effect: Extract<Effect, { readonly kind: 'refuse' }>): void => {
    const exchange = exchanges.get(effect.requestId);
    if (exchange === undefined) return;
    writeRefusal(exchange.response, effect.requestId, effect);
    exchange.finish(`${effect.failure.code}`);
  };

  const breakOffResponse = (requestId: string): void => {
    const exchange = exchanges.get(requestId);
    exchange?.response.destroy();
    exchange?.finish('broken');
  };

  const performEffect = (effect: Effect): void => {
    switch (effect.kind) {
      case 'start-attempt':
        beginAttempt(effect);
        break;
      case 'abort-attempt':
        abortAttempt(effect.attemptId);
        break;
      case 'forward-response':
        attempts.get(effect.attemptId)?.forward();
        break;
      case 'refuse':
        refuseRequest(effect);
        break;
      case 'replay-answer': {
        const exchange = exchanges.get(effect.requestId);
        if (exchange === undefined) break;
        writeHeldAnswer(exchange, effect.answer);
        exchange.finish('replayed');
        break;
      }
      case 'break-off-response':
        breakOffResponse(effect.requestId);
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

  /** Refuses a request that never reaches the reducer. */
  const refuseWithoutExchange = (
    request: IncomingMessage,
    response: ServerResponse,
    failure: Failure,
  ): void => {
    metrics.answers.inc({ service: 'none', result: `${failure.code}` });
    if (hasBody(request)) response.shouldKeepAlive = false;
    writeRefusal(response, randomUUID(), { failure, ran: 'no', retryAfterSeconds: null });
  };

  const replayableBodyLimit = (service: string): number =>
    runtime.state().fold.fleet.configuration.services.get(service)?.replayableBodyBytes ??
    DEFAULT_REPLAYABLE_BODY_BYTES;

  const handleRequest = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const parsed = parseRequest(request);
    if (!parsed.ok) {
      refuseWithoutExchange(request, response, parsed.failure);
      return;
    }
    const { key, service } = parsed.value;
    const span = tracing.startServerSpan('request', request.headers);
    span.setAttribute('baobabdeck.service', service);
    let wholeBody: Buffer | null = null;
    let body: BodySource = hasBody(request)
      ? createStreamingBody(request, replayableBodyLimit(service))
      : NO_BODY;
    if (key !== null && hasBody(request)) {
      wholeBody = await readWholeBody(request, settings['keyed-body-limit-bytes']);
      if (wholeBody === null) {
        const limit = settings['keyed-body-limit-bytes'];
        refuseWithoutExchange(
          request,
          response,
          failureOf('bodyTooLarge', `Expected at most ${limit} bytes beside an idempotency key`),
        );
        span.end();
        return;
      }
      body = createBufferedBody(wholeBody);
    }
    const { exchange, finished } = openExchange(request, response, parsed.value, body, span);
    const description = toRequestDescription(
      exchange.requestId,
      parsed.value,
      request.method ?? '',
      wholeBody,
    );
    runtime.dispatch({ kind: 'request-arrived', request: description });
    await finished;
  };

  const runtime = await startRuntime({
    role: 'gateway',
    settings,
    platform,
    metrics,
    writeEvent,
    performOther: performEffect,
  });
  const callerServer: CallerServer = await listenForCallers(
    settings['listen-ip'],
    settings['caller-port'],
    settings['header-limit-bytes'],
    async (request, response) => {
      try {
        await handleRequest(request, response);
      } catch {
        // The caller disconnected while its body was being read, so no response can be sent.
        response.destroy();
      }
    },
    writeEvent,
  );

  const stop = async (): Promise<void> => {
    runtime.dispatch({ kind: 'stop-requested' });
    await sleep(READINESS_GRACE_MILLISECONDS);
    callerServer.stopAccepting();
    const drainDeadline = performance.now() + settings['drain-timeout-ms'];
    while (exchanges.size > 0 && performance.now() < drainDeadline) await sleep(STOP_POLL_MILLISECONDS);
    const recordDeadline = Math.min(drainDeadline, performance.now() + KEY_RECORD_TIMEOUT_MILLISECONDS);
    while (hasUnrecordedKeys(runtime.state()) && performance.now() < recordDeadline) {
      await sleep(STOP_POLL_MILLISECONDS);
    }
    await runtime.close();
    callerServer.close();
    await targetPools.close();
    await tracing.close();
  };

  return { callerPort: callerServer.port, runtime, stop };
}
