/** Slots of a stand-in target: what comes beyond them waits inside the target. */

/** A bounded set of slots with a queue before it. */
export interface WorkQueue {
  /** Resolves when a slot is free, and gives the function that frees it. */
  readonly enter: () => Promise<() => void>;
  readonly running: () => number;
  readonly mostRunning: () => number;
  /** Times that work had to wait for a slot. */
  readonly queued: () => number;
}

/** Creates the slots of one host. */
export function createWorkQueue(slots: number): WorkQueue {
  let running = 0;
  let most = 0;
  let queued = 0;
  const waiting: (() => void)[] = [];
  const leave = (): void => {
    running -= 1;
    waiting.shift()?.();
  };
  const take = (): (() => void) => {
    running += 1;
    most = Math.max(most, running);
    return leave;
  };
  return {
    enter: () => {
      if (running < slots) return Promise.resolve(take());
      queued += 1;
      return new Promise((resolve) => {
        waiting.push(() => resolve(take()));
      });
    },
    running: () => running,
    mostRunning: () => most,
    queued: () => queued,
  };
}
