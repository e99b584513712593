/** Timers that are set and cleared by name. */

/** Maximum delay of one setTimeout call, below its 32-bit overflow; a longer timer is set again when it fires. */
const LONGEST_DELAY_MILLISECONDS = 2_000_000_000;

/** Named timers of one process. */
export interface Timers {
  readonly set: (timerId: string, at: Date) => void;
  readonly clear: (timerId: string) => void;
  readonly close: () => void;
}

/** Creates timers that call `onFired` with their name. */
export function createTimers(now: () => Date, onFired: (timerId: string) => void): Timers {
  const running = new Map<string, NodeJS.Timeout>();
  const set = (timerId: string, at: Date): void => {
    clearTimeout(running.get(timerId));
    const delay = Math.max(0, at.getTime() - now().getTime());
    const timer = setTimeout(
      () => {
        running.delete(timerId);
        if (at > now()) set(timerId, at);
        else onFired(timerId);
      },
      Math.min(delay, LONGEST_DELAY_MILLISECONDS),
    );
    running.set(timerId, timer);
  };
  return {
    set,
    clear: (timerId) => {
      clearTimeout(running.get(timerId));
      running.delete(timerId);
    },
    close: () => running.forEach((timer) => clearTimeout(timer)),
  };
}
