/** Tells when a process is late with what it has to do, and when it is in time again. */
import type { ProcessMeasures, WriteEvent } from '@baobabdeck/observability';
import type { SteadyClock } from '../node/steady-clock.js';

const CHECK_INTERVAL_MILLISECONDS = 100;

/** A look that comes this late makes the process count as late. */
const LATE_THRESHOLD_MILLISECONDS = 250;

/** A look that comes less late than this is in time. */
const ON_TIME_THRESHOLD_MILLISECONDS = 100;

/** Looks in time, one after the other, after which the process counts as in time again. */
const ON_TIME_CHECKS = 10;

/** Sleeps; resolves to the milliseconds that it woke too late. */
export async function sleepAndMeasureLateness(clock: SteadyClock, milliseconds: number): Promise<number> {
  const dueAt = clock.steadyNow() + milliseconds;
  await clock.sleep(milliseconds);
  return Math.max(0, clock.steadyNow() - dueAt);
}

/** What a watch needs. */
export interface EventLoopMonitorParts {
  readonly clock: SteadyClock;
  readonly writeEvent: WriteEvent;
  readonly measures: ProcessMeasures;
}

/** A watch. */
export interface EventLoopMonitor {
  readonly close: () => void;
}

/** Begins to watch. */
export function monitorEventLoop({ clock, writeEvent, measures }: EventLoopMonitorParts): EventLoopMonitor {
  let isClosed = false;
  let lateSince: number | null = null;
  let maximumLateMilliseconds = 0;
  let onTimeChecks = 0;

  const evaluate = (lateMilliseconds: number): void => {
    const now = clock.steadyNow();
    if (lateSince === null) {
      if (lateMilliseconds < LATE_THRESHOLD_MILLISECONDS) return;
      lateSince = now - lateMilliseconds;
      maximumLateMilliseconds = 0;
      writeEvent('loopLate', { lateMilliseconds: Math.round(lateMilliseconds) });
    }
    maximumLateMilliseconds = Math.max(maximumLateMilliseconds, lateMilliseconds);
    onTimeChecks = lateMilliseconds < ON_TIME_THRESHOLD_MILLISECONDS ? onTimeChecks + 1 : 0;
    if (onTimeChecks < ON_TIME_CHECKS) return;
    writeEvent('loopInTime', {
      milliseconds: Math.round(now - lateSince),
      longestLateMilliseconds: Math.round(maximumLateMilliseconds),
    });
    lateSince = null;
    onTimeChecks = 0;
  };

  const runChecks = async (): Promise<void> => {
    while (!isClosed) {
      const lateMilliseconds = await sleepAndMeasureLateness(clock, CHECK_INTERVAL_MILLISECONDS);
      measures.timerLate(lateMilliseconds);
      evaluate(lateMilliseconds);
    }
  };

  void runChecks();
  return {
    close: () => {
      isClosed = true;
    },
  };
}
