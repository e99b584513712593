/** Tells when a process is late with what it has to do, and when it is in time again. */
import type { ProcessMeasures, WriteEvent } from '@baobabdeck/observability';
import type { SteadyClock } from '../node/steady-clock.js';

const LOOK_MILLISECONDS = 100;

/** A look that comes this late makes the process count as late. */
const LATE_MILLISECONDS = 250;

/** A look that comes less late than this is in time. */
const IN_TIME_MILLISECONDS = 100;

/** Looks in time, one after the other, after which the process counts as in time again. */
const LOOKS_IN_TIME = 10;

/** Sleeps; resolves to the milliseconds that it woke too late. */
export async function sleepAndTellLateness(clock: SteadyClock, milliseconds: number): Promise<number> {
  const dueAt = clock.steadyNow() + milliseconds;
  await clock.sleep(milliseconds);
  return Math.max(0, clock.steadyNow() - dueAt);
}

/** What a watch needs. */
export interface LoopWatchParts {
  readonly clock: SteadyClock;
  readonly writeEvent: WriteEvent;
  readonly measures: ProcessMeasures;
}

/** A watch. */
export interface LoopWatch {
  readonly close: () => void;
}

/** Begins to watch. */
export function watchLoop({ clock, writeEvent, measures }: LoopWatchParts): LoopWatch {
  let isClosed = false;
  let lateSince: number | null = null;
  let longest = 0;
  let looksInTime = 0;

  const judge = (lateMilliseconds: number): void => {
    const now = clock.steadyNow();
    if (lateSince === null) {
      if (lateMilliseconds < LATE_MILLISECONDS) return;
      lateSince = now - lateMilliseconds;
      longest = 0;
      writeEvent('loopLate', { lateMilliseconds: Math.round(lateMilliseconds) });
    }
    longest = Math.max(longest, lateMilliseconds);
    looksInTime = lateMilliseconds < IN_TIME_MILLISECONDS ? looksInTime + 1 : 0;
    if (looksInTime < LOOKS_IN_TIME) return;
    writeEvent('loopInTime', {
      milliseconds: Math.round(now - lateSince),
      longestLateMilliseconds: Math.round(longest),
    });
    lateSince = null;
    looksInTime = 0;
  };

  const look = async (): Promise<void> => {
    while (!isClosed) {
      const lateMilliseconds = await sleepAndTellLateness(clock, LOOK_MILLISECONDS);
      measures.timerLate(lateMilliseconds);
      judge(lateMilliseconds);
    }
  };

  void look();
  return {
    close: () => {
      isClosed = true;
    },
  };
}
