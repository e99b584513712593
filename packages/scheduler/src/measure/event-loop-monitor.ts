/** Logs when timers of this process start to fire late, and when they are on time again. */
import type { ProcessMeasures, WriteEvent } from '@baobabdeck/observability';
import type { SteadyClock } from '../node/steady-clock.js';
import type { BackgroundWork } from '../unexpected-errors/background-work.js';

const CHECK_INTERVAL_MILLISECONDS = 100;

/** Lateness of one check from which the process counts as late. */
const LATE_THRESHOLD_MILLISECONDS = 250;

/** Lateness below which a check counts as on time. */
const ON_TIME_THRESHOLD_MILLISECONDS = 100;

/** Consecutive checks on time after which the process no longer counts as late. */
const ON_TIME_CHECKS = 10;

/** Sleeps and resolves to the lateness of the wake-up in milliseconds. */
export async function sleepAndMeasureLateness(clock: SteadyClock, milliseconds: number): Promise<number> {
  const dueAt = clock.steadyNow() + milliseconds;
  await clock.sleep(milliseconds);
  return Math.max(0, clock.steadyNow() - dueAt);
}

/** Dependencies of an event loop monitor. */
export interface EventLoopMonitorParts {
  readonly clock: SteadyClock;
  readonly background: BackgroundWork;
  readonly writeEvent: WriteEvent;
  readonly measures: ProcessMeasures;
}

/** Running event loop monitor. */
export interface EventLoopMonitor {
  readonly close: () => void;
}

/** Starts an event loop monitor. */
export function monitorEventLoop({
  clock,
  background,
  writeEvent,
  measures,
}: EventLoopMonitorParts): EventLoopMonitor {
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

  const waitAndCheck = async (): Promise<void> => {
    const lateMilliseconds = await sleepAndMeasureLateness(clock, CHECK_INTERVAL_MILLISECONDS);
    measures.timerLate(lateMilliseconds);
    evaluate(lateMilliseconds);
  };

  background.repeat('monitor-event-loop', () => !isClosed, waitAndCheck);
  return {
    close: () => {
      isClosed = true;
    },
  };
}
