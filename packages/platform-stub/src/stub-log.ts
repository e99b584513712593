/** A log with offsets, kept in memory, with every fault of a real one at a switch. */

/** Faults of the log. */
export interface LogFaults {
  /** Answers nothing but errors. */
  readonly down: boolean;
  /** Extra time of each call. */
  readonly delayMilliseconds: number;
  /** Appends that are stored and whose answer is then lost. */
  readonly loseAnswers: number;
  /** Records that each stream keeps; older ones expire. */
  readonly retainedRecords: number;
}

/** A log without faults. */
export const NO_FAULTS: LogFaults = {
  down: false,
  delayMilliseconds: 0,
  loseAnswers: 0,
  retainedRecords: 1_000_000,
};

/** One stream. */
export interface StubStream {
  readonly append: (record: unknown, retained: number) => number;
  readonly read: (
    fromOffset: number,
    limit: number,
  ) => { readonly offset: number; readonly record: unknown }[];
  readonly firstOffset: () => number;
  readonly nextOffset: () => number;
  /** Resolves when a record arrives or the time is over. */
  readonly waitForMore: (milliseconds: number) => Promise<void>;
}

/** Creates an empty stream. */
export function createStubStream(): StubStream {
  let first = 0;
  const records: unknown[] = [];
  const waiters = new Set<() => void>();
  return {
    append: (record, retained) => {
      records.push(record);
      const expired = records.length - retained;
      if (expired > 0) {
        records.splice(0, expired);
        first += expired;
      }
      [...waiters].forEach((wake) => wake());
      return first + records.length - 1;
    },
    read: (fromOffset, limit) => {
      const start = Math.max(0, fromOffset - first);
      return records
        .slice(start, start + limit)
        .map((record, index) => ({ offset: first + start + index, record }));
    },
    firstOffset: () => first,
    nextOffset: () => first + records.length,
    waitForMore: (milliseconds) =>
      new Promise((resolve) => {
        let timer: NodeJS.Timeout | null = null;
        const wake = (): void => {
          if (timer !== null) clearTimeout(timer);
          waiters.delete(wake);
          resolve();
        };
        timer = setTimeout(wake, milliseconds);
        waiters.add(wake);
      }),
  };
}
