/** The orders that a relay has taken: a bounded number, carried out in order, and dropped once they are too old. */

/** A waiting order; `at` is its receipt on the steady clock. */
interface Waiting<T> {
  readonly item: T;
  readonly at: number;
}

/** Bounds of a queue. */
export interface OrderQueueLimits {
  /** The most orders that wait or are being carried out. */
  readonly total: number;
  /** The most orders that are carried out at once. */
  readonly atOnce: number;
  /** Age at which a waiting order is dropped. */
  readonly ageMilliseconds: number;
}

/** A queue of orders. */
export interface OrderQueue<T> {
  /** Adds a batch; false if it exceeds the bound, then nothing was added. */
  readonly add: (items: readonly T[], now: number) => boolean;
  /** Takes the next orders to carry out, and those that have become too old. */
  readonly take: (now: number) => { readonly due: readonly T[]; readonly dropped: readonly T[] };
  /** Records that an order taken as due has been carried out. */
  readonly finish: () => void;
}

/** Creates an empty queue. */
export function createOrderQueue<T>(limits: OrderQueueLimits): OrderQueue<T> {
  let waiting: readonly Waiting<T>[] = [];
  let inProgress = 0;
  return {
    add: (items, now) => {
      if (waiting.length + inProgress + items.length > limits.total) return false;
      const added = items.map((item) => ({ item, at: now }));
      waiting = waiting.length === 0 ? added : [...waiting, ...added];
      return true;
    },
    take: (now) => {
      const dropped = waiting.filter(({ at }) => now - at > limits.ageMilliseconds);
      const fresh = dropped.length === 0 ? waiting : waiting.slice(dropped.length);
      const due = fresh.slice(0, Math.max(0, limits.atOnce - inProgress));
      waiting = fresh.slice(due.length);
      inProgress += due.length;
      return { due: due.map(({ item }) => item), dropped: dropped.map(({ item }) => item) };
    },
    finish: () => {
      inProgress -= 1;
    },
  };
}
