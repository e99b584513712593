/** Distributed tracing: continues traces of callers and propagates them to targets, with one span per hop. */
import { context, SpanStatusCode, trace, type Context, type Span, type Tracer } from '@opentelemetry/api';
import { W3CTraceContextPropagator } from '@opentelemetry/core';
import { OTLPTraceExporter } from '@opentelemetry/exporter-trace-otlp-http';
import { resourceFromAttributes } from '@opentelemetry/resources';
import {
  BatchSpanProcessor,
  NodeTracerProvider,
  SimpleSpanProcessor,
  type SpanExporter,
} from '@opentelemetry/sdk-trace-node';

/** Source of spans of one process. */
export interface Tracing {
  /** Starts a span for a received request; the trace context is read from its headers. */
  readonly startServerSpan: (name: string, headers: Readonly<Record<string, unknown>>) => TracedSpan;
  /** Starts a child span. */
  readonly startChildSpan: (name: string, parent: TracedSpan) => TracedSpan;
  /** Exports the remaining spans and shuts down. */
  readonly close: () => Promise<void>;
}

/** An open span and its trace context. */
export interface TracedSpan {
  readonly context: Context;
  readonly setAttribute: (name: string, value: string | number) => void;
  /** Returns headers that propagate the trace context to the next hop. */
  readonly headers: () => Readonly<Record<string, string>>;
  /** Ends the span; with an error, its status is set to failed. */
  readonly end: (error?: string) => void;
}

function wrapSpan(span: Span, parent: Context, propagator: W3CTraceContextPropagator): TracedSpan {
  const spanContext = trace.setSpan(parent, span);
  return {
    context: spanContext,
    setAttribute: (name, value) => span.setAttribute(name, value),
    headers: () => {
      const carrier: Record<string, string> = {};
      propagator.inject(spanContext, carrier, {
        set: (target: Record<string, string>, key, value) => {
          Object.assign(target, { [key]: value });
        },
      });
      return carrier;
    },
    end: (error) => {
      if (error !== undefined) span.setStatus({ code: SpanStatusCode.ERROR, message: error });
      span.end();
    },
  };
}

/** Destination of spans: an OTLP collector, an exporter for tests, both, or none. */
export interface TracingOptions {
  readonly program: string;
  readonly otlpUrl: string | null;
  readonly exporter?: SpanExporter;
}

/** Creates the tracing of one process. */
export function createTracing({ program, otlpUrl, exporter }: TracingOptions): Tracing {
  const processors = [
    ...(exporter === undefined ? [] : [new SimpleSpanProcessor(exporter)]),
    ...(otlpUrl === null ? [] : [new BatchSpanProcessor(new OTLPTraceExporter({ url: otlpUrl }))]),
  ];
  const resource = resourceFromAttributes({ 'service.name': program });
  const provider = new NodeTracerProvider({ resource, spanProcessors: processors });
  const tracer: Tracer = provider.getTracer('baobabdeck');
  const propagator = new W3CTraceContextPropagator();
  return {
    startServerSpan: (name, headers) => {
      const parent = propagator.extract(context.active(), headers, {
        get: (carrier: Readonly<Record<string, unknown>>, key) => carrier[key] as string | undefined,
        keys: (carrier) => Object.keys(carrier),
      });
      return wrapSpan(tracer.startSpan(name, {}, parent), parent, propagator);
    },
    startChildSpan: (name, parent) =>
      wrapSpan(tracer.startSpan(name, {}, parent.context), parent.context, propagator),
    close: () => provider.shutdown(),
  };
}
