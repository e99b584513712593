/** Virtual time: actions in the order of their times, and of their making where the times are equal. */

interface Entry {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** A schedule in virtual milliseconds. */
export interface Schedule {
  readonly now: () => number;
  readonly after: (milliseconds: number, run: () => void) => void;
  /** Runs what is due up to a time, and stands at that time then. */
  readonly runUntil: (milliseconds: number) => void;
}

function isBefore(left: Entry, right: Entry): boolean {
  return left.at < right.at || (left.at === right.at && left.order < right.order);
}

/** A binary heap; the first entry is the next one due. */
function push(heap: Entry[], entry: Entry): void {
  heap.push(entry);
  let index = heap.length - 1;
  while (index > 0) {
    const above = Math.floor((index - 1) / 2);
    const parent = heap[above] as Entry;
    if (!isBefore(entry, parent)) break;
    heap[index] = parent;
    index = above;
  }
  heap[index] = entry;
}

function pop(heap: Entry[]): Entry | undefined {
  const first = heap[0];
  const last = heap.pop();
  if (first === undefined || last === undefined || heap.length === 0) return first;
  let index = 0;
  for (;;) {
    const left = index * 2 + 1;
    if (left >= heap.length) break;
    const right = left + 1;
    const below = right < heap.length && isBefore(heap[right] as Entry, heap[left] as Entry) ? right : left;
    if (!isBefore(heap[below] as Entry, last)) break;
    heap[index] = heap[below] as Entry;
    index = below;
  }
  heap[index] = last;
  return first;
}

/** Creates a schedule that stands at 0. */
export function createSchedule(): Schedule {
  const heap: Entry[] = [];
  let now = 0;
  let order = 0;
  return {
    now: () => now,
    after: (milliseconds, run) => {
      order += 1;
      push(heap, { at: now + Math.max(0, milliseconds), order, run });
    },
    runUntil: (milliseconds) => {
      while (heap[0] !== undefined && heap[0].at <= milliseconds) {
        const entry = pop(heap) as Entry;
        now = entry.at;
        entry.run();
      }
      now = milliseconds;
    },
  };
}
