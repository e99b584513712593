import { InMemorySpanExporter } from '@opentelemetry/sdk-trace-node';
import { describe } from '@baobabdeck/test-tools';
import { createTracing } from './tracing.js';

const TRACE_ID = '0af7651916cd43dd8448eb211c80319c';
const CALLER_SPAN = 'b7ad6b7169203331';

describe('tracing', ({ it }) => {
  it('continues the trace of the caller and propagates it with one span per hop', async (t) => {
    const exporter = new InMemorySpanExporter();
    const tracing = createTracing({ program: 'test', otlpUrl: null, exporter });
    const request = tracing.startServerSpan('request', { traceparent: `00-${TRACE_ID}-${CALLER_SPAN}-01` });
    const attempt = tracing.startChildSpan('attempt', request);
    const propagated = attempt.headers().traceparent;
    attempt.end('cut off');
    request.end();
    const [first, second] = exporter.getFinishedSpans();
    t.is(first?.name, 'attempt');
    t.is(first?.spanContext().traceId, TRACE_ID);
    t.is(first?.parentSpanContext?.spanId, second?.spanContext().spanId);
    t.is(second?.parentSpanContext?.spanId, CALLER_SPAN);
    t.is(propagated, `00-${TRACE_ID}-${first?.spanContext().spanId}-01`);
    await tracing.close();
  });
});
