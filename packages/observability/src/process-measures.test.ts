import { describe } from '@baobabdeck/test-tools';
import { createMetrics } from './metrics.js';
import { createProcessMeasures } from './process-measures.js';

describe('process measurements', ({ it }) => {
  it('appear in the metrics of the process', async (t) => {
    const metrics = createMetrics();
    const measures = createProcessMeasures(metrics);
    measures.ownerEvent('ticked', 4);
    measures.ownerEvent('ticked', 400);
    measures.timerLate(300);
    measures.waitingTasks('quotes', 12);
    measures.storeCall('append', 'stored', 40, 1_000);
    measures.storeCall('read', 'failed', 40, 0);
    measures.workerCall('start-run', 'no-room', 3);
    measures.relayedOrders('answered', 5);
    const page = await metrics.registry.metrics();
    const expected = [
      'baobabdeck_owner_event_seconds_bucket{le="0.005",event="ticked"} 1',
      'baobabdeck_owner_event_seconds_bucket{le="0.5",event="ticked"} 2',
      'baobabdeck_owner_event_seconds_sum{event="ticked"} 0.404',
      'baobabdeck_loop_late_seconds_sum 0.3',
      'baobabdeck_waiting_tasks{service="quotes"} 12',
      'baobabdeck_store_call_seconds_count{call="append",outcome="stored"} 1',
      'baobabdeck_store_call_seconds_count{call="read",outcome="failed"} 1',
      'baobabdeck_store_bytes_total 1000',
      'baobabdeck_relayed_orders_total{outcome="answered"} 5',
      'baobabdeck_worker_call_seconds_sum{call="start-run",outcome="no-room"} 0.003',
    ];
    const lines = new Set(page.split('\n'));
    expected.forEach((line) => t.true(lines.has(line), line));
    t.true(measures.busyMilliseconds() > 0);
  });
});
