/** Measurements that a process records about its own work. They run for every event and call, so they must be cheap. */
import { performance } from 'node:perf_hooks';
import type { Metrics } from './metrics.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** Recorder of measurements of a process. No method throws. */
export interface ProcessMeasures {
  /** Records the time that an owner took to process one event and start its effects. */
  readonly ownerEvent: (kind: string, milliseconds: number) => void;
  /** Records by how much a timer of the process was late. */
  readonly timerLate: (milliseconds: number) => void;
  /** Sets the number of tasks of a service that may start and have no worker. */
  readonly waitingTasks: (service: string, count: number) => void;
  /** Records a completed call to the store; `bytes` is the size of the records that it sent. */
  readonly storeCall: (call: string, outcome: string, milliseconds: number, bytes: number) => void;
  /** Records a completed order to a worker. */
  readonly workerCall: (call: string, outcome: string, milliseconds: number) => void;
  /** Records a number of orders that were given to relays and settled in one way. */
  readonly relayedOrders: (outcome: string, count: number) => void;
  /** Returns the milliseconds since process start in which the event loop was busy. */
  readonly busyMilliseconds: () => number;
}

/** Returns the milliseconds since process start in which the event loop was not idle. */
function loopBusyMilliseconds(): number {
  return performance.eventLoopUtilization().active;
}

/** Creates a recorder that writes measurements of this process to its metrics. */
export function createProcessMeasures(metrics: Metrics): ProcessMeasures {
  // Label lookup in a metric is slow. Event kinds are few and frequent, so their histograms are cached.
  const eventSeconds = new Map<string, { readonly observe: (seconds: number) => void }>();
  return {
    ownerEvent: (event, milliseconds) => {
      let seconds = eventSeconds.get(event);
      if (seconds === undefined) {
        seconds = metrics.ownerEventSeconds.labels({ event });
        eventSeconds.set(event, seconds);
      }
      seconds.observe(milliseconds / MILLISECONDS_PER_SECOND);
    },
    timerLate: (milliseconds) => {
      metrics.loopLateSeconds.observe(milliseconds / MILLISECONDS_PER_SECOND);
      metrics.loopBusySeconds.set(loopBusyMilliseconds() / MILLISECONDS_PER_SECOND);
    },
    waitingTasks: (service, count) => metrics.waitingTasks.set({ service }, count),
    storeCall: (call, outcome, milliseconds, bytes) => {
      metrics.storeCallSeconds.observe({ call, outcome }, milliseconds / MILLISECONDS_PER_SECOND);
      if (bytes > 0) metrics.storeBytes.inc(bytes);
    },
    workerCall: (call, outcome, milliseconds) =>
      metrics.workerCallSeconds.observe({ call, outcome }, milliseconds / MILLISECONDS_PER_SECOND),
    relayedOrders: (outcome, count) => metrics.relayedOrders.inc({ outcome }, count),
    busyMilliseconds: loopBusyMilliseconds,
  };
}
