/** Prometheus metrics of a process. docs/ALERTS.md lists the alerts on them. */
import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from 'prom-client';

/** Upper bounds of histogram buckets for waiting times and run times, in seconds. */
const DURATION_BUCKETS = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30, 60];

/** Upper bounds of histogram buckets for the processing of one event, in seconds. */
const STEP_BUCKETS = [0.000_01, 0.000_05, 0.000_1, 0.000_5, 0.001, 0.005, 0.01, 0.05, 0.1, 0.5];

/** Interval at which Node.js samples event loop lag. Each sample wakes the process. */
const LAG_SAMPLING_MILLISECONDS = 500;

/** Metrics that the programs record, with their label names. */
export interface Metrics {
  readonly registry: Registry;
  readonly answers: Counter<'service' | 'result'>;
  readonly attempts: Counter<'result'>;
  readonly requestSeconds: Histogram<'service'>;
  readonly waitSeconds: Histogram<'service'>;
  readonly openRequests: Gauge;
  readonly reduceSeconds: Histogram<'event'>;
  readonly appends: Counter<'stream' | 'result'>;
  readonly peerMessages: Counter<'direction' | 'kind'>;
  readonly invariantViolations: Counter<'invariant'>;
  readonly unexpectedErrors: Counter<'activity'>;
  readonly configurationVersion: Gauge;
  readonly foldedOffset: Gauge<'stream'>;
  readonly ready: Gauge;
  readonly unauthenticatedCalls: Counter<'queue' | 'reason'>;
  readonly decisions: Counter<'decision'>;
  readonly jobSeconds: Histogram<'service' | 'phase'>;
  readonly droppedLogLines: Counter;
  readonly ownerEventSeconds: Histogram<'event'>;
  readonly loopLateSeconds: Histogram;
  readonly loopBusySeconds: Gauge;
  readonly taskWaitSeconds: Histogram<'service'>;
  readonly waitingTasks: Gauge<'service'>;
  readonly storeCallSeconds: Histogram<'call' | 'outcome'>;
  readonly storeBytes: Counter;
  readonly workerCallSeconds: Histogram<'call' | 'outcome'>;
  readonly relayedOrders: Counter<'outcome'>;
}

/** Creates the metrics of one process in a separate registry. */
export function createMetrics(): Metrics {
  const registry = new Registry();
  const registers = [registry];
  collectDefaultMetrics({ register: registry, eventLoopMonitoringPrecision: LAG_SAMPLING_MILLISECONDS });
  const counter = <L extends string>(name: string, help: string, labelNames: L[]): Counter<L> =>
    new Counter({ name: `baobabdeck_${name}`, help, labelNames, registers });
  const gauge = <L extends string>(name: string, help: string, labelNames: L[]): Gauge<L> =>
    new Gauge({ name: `baobabdeck_${name}`, help, labelNames, registers });
  const histogram = <L extends string>(
    name: string,
    help: string,
    labelNames: L[],
    buckets: number[],
  ): Histogram<L> => new Histogram({ name: `baobabdeck_${name}`, help, labelNames, buckets, registers });
  return {
    registry,
    answers: counter('answers_total', 'Answers to callers by service and result', ['service', 'result']),
    attempts: counter('attempts_total', 'Attempts at targets by result', ['result']),
    requestSeconds: histogram(
      'request_seconds',
      'Time from request to complete answer',
      ['service'],
      DURATION_BUCKETS,
    ),
    waitSeconds: histogram(
      'wait_seconds',
      'Time from request to the start of its first attempt',
      ['service'],
      DURATION_BUCKETS,
    ),
    openRequests: gauge('open_requests', 'Requests in progress', []),
    reduceSeconds: histogram('reduce_seconds', 'Time of one step of the reducer', ['event'], STEP_BUCKETS),
    appends: counter('appends_total', 'Appends to the log by stream and result', ['stream', 'result']),
    peerMessages: counter('peer_messages_total', 'Messages between processes', ['direction', 'kind']),
    unexpectedErrors: counter('unexpected_errors_total', 'Errors that no code expects', ['activity']),
    invariantViolations: counter('invariant_violations_total', 'Violations of invariants', ['invariant']),
    configurationVersion: gauge('configuration_version', 'Version of the configuration in force', []),
    foldedOffset: gauge('folded_offset', 'Next offset to fold', ['stream']),
    ready: gauge('ready', '1 when the balancer may send requests', []),
    unauthenticatedCalls: counter(
      'unauthenticated_calls_total',
      'Calls refused for a missing or unknown key',
      ['queue', 'reason'],
    ),
    decisions: counter('decisions_total', 'Logged decisions by name', ['decision']),
    jobSeconds: histogram(
      'job_seconds',
      'Time from the arrival of a job at its owner to its end',
      ['service', 'phase'],
      DURATION_BUCKETS,
    ),
    droppedLogLines: counter(
      'log_lines_dropped_total',
      'Log lines dropped because the log reader was too slow',
      [],
    ),
    ownerEventSeconds: histogram(
      'owner_event_seconds',
      'Time for an owner to process one event and start its effects',
      ['event'],
      STEP_BUCKETS,
    ),
    loopLateSeconds: histogram(
      'loop_late_seconds',
      'Delay of the timers of the process',
      [],
      DURATION_BUCKETS,
    ),
    loopBusySeconds: gauge('loop_busy_seconds', 'Time since the start in which the event loop was busy', []),
    taskWaitSeconds: histogram(
      'task_wait_seconds',
      'Time from when a task may start until it is assigned to a worker',
      ['service'],
      DURATION_BUCKETS,
    ),
    waitingTasks: gauge('waiting_tasks', 'Tasks that may start and have no worker', ['service']),
    storeCallSeconds: histogram(
      'store_call_seconds',
      'Time of a call to the store by outcome',
      ['call', 'outcome'],
      DURATION_BUCKETS,
    ),
    storeBytes: counter('store_bytes_total', 'Bytes of records sent to the store', []),
    workerCallSeconds: histogram(
      'worker_call_seconds',
      'Time of an order to a worker by outcome',
      ['call', 'outcome'],
      DURATION_BUCKETS,
    ),
    relayedOrders: counter('relayed_orders_total', 'Orders to workers that went through relays, by outcome', [
      'outcome',
    ]),
  };
}
