/** What a process measures of its own work. Unlike the log, each call of these is counted, so they must be cheap. */
import { performance } from 'node:perf_hooks';
import type { Metrics } from './metrics.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** Takes measurements of a process. No method throws. */
export interface ProcessMeasures {
  /** An owner has worked one event in and has begun what follows from it. */
  readonly ownerEvent: (kind: string, milliseconds: number) => void;
  /** A timer of the process came that late. */
  readonly timerLate: (milliseconds: number) => void;
  readonly waitingTasks: (service: string, count: number) => void;
  /** A call to the store has ended; `bytes` is what it sent to be stored. */
  readonly storeCall: (call: string, outcome: string, milliseconds: number, bytes: number) => void;
  readonly workerCall: (call: string, outcome: string, milliseconds: number) => void;
  /** Milliseconds since its start for which the process had something to do. */
  readonly busyMilliseconds: () => number;
}

/** Milliseconds since the start of the process for which its loop was not waiting. */
function loopBusyMilliseconds(): number {
  return performance.eventLoopUtilization().active;
}

/** Measurements of this process as metrics. */
export function measureWith(metrics: Metrics): ProcessMeasures {
  // A metric finds its labels slowly; kinds of events are few and come often.
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
    busyMilliseconds: loopBusyMilliseconds,
  };
}
