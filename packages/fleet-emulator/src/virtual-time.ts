/** Time that passes only when nothing is left to do at the present moment. */

/** A virtual clock with events. */
export interface VirtualTime {
  readonly now: () => number;
  readonly after: (milliseconds: number, action: () => void) => void;
  /** Calls back once all that the present event brings about has been done, before the next event. */
  readonly whenSettled: (action: () => void) => void;
  /** Plays every event up to a time. */
  readonly runUntil: (time: number) => Promise<void>;
}

interface Entry {
  readonly at: number;
  readonly order: number;
  readonly action: () => void;
}

function comesBefore(left: Entry, right: Entry): boolean {
  return left.at < right.at || (left.at === right.at && left.order < right.order);
}

/** Moves an entry of a binary heap up to its place. */
function siftUp(heap: Entry[], start: number): void {
  let index = start;
  while (index > 0) {
    const parent = Math.floor((index - 1) / 2);
    const [child, above] = [heap[index], heap[parent]];
    if (child === undefined || above === undefined || !comesBefore(child, above)) return;
    heap[index] = above;
    heap[parent] = child;
    index = parent;
  }
}

/** Moves the first entry of a binary heap down to its place. */
function siftDown(heap: Entry[]): void {
  let index = 0;
  for (;;) {
    const children = [2 * index + 1, 2 * index + 2].filter((child) => child < heap.length);
    let first = index;
    for (const child of children) {
      const [one, other] = [heap[child], heap[first]];
      if (one !== undefined && other !== undefined && comesBefore(one, other)) first = child;
    }
    if (first === index) return;
    const [above, below] = [heap[index], heap[first]];
    if (above === undefined || below === undefined) return;
    heap[index] = below;
    heap[first] = above;
    index = first;
  }
}

/** Lets every promise that can settle do so. */
function settle(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

/** Creates a clock that stands at 0. */
export function createVirtualTime(): VirtualTime {
  const heap: Entry[] = [];
  let settling: (() => void)[] = [];
  let now = 0;
  let order = 0;

  const takeFirst = (): Entry | undefined => {
    const [first] = heap;
    const last = heap.pop();
    if (first !== undefined && last !== undefined && heap.length > 0) {
      heap[0] = last;
      siftDown(heap);
    }
    return first;
  };

  /** Lets everything happen that the present event brings about. */
  const finishEvent = async (): Promise<void> => {
    await settle();
    while (settling.length > 0) {
      const actions = settling;
      settling = [];
      actions.forEach((action) => action());
    }
  };

  const runUntil = async (time: number): Promise<void> => {
    await finishEvent();
    while (heap[0] !== undefined && heap[0].at <= time) {
      const entry = takeFirst();
      if (entry !== undefined) {
        now = Math.max(now, entry.at);
        entry.action();
        await finishEvent();
      }
    }
    now = Math.max(now, time);
  };

  return {
    now: () => now,
    after: (milliseconds, action) => {
      heap.push({ at: now + Math.max(0, milliseconds), order, action });
      order += 1;
      siftUp(heap, heap.length - 1);
    },
    whenSettled: (action) => {
      settling.push(action);
    },
    runUntil,
  };
}
