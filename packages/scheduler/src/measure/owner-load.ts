/** Sums up the work of an owner and logs it at most once per second; logs nothing while there are no events. */
import type { LogFields, ProcessMeasures, WriteEvent } from '@baobabdeck/observability';
import type { SteadyClock } from '../node/steady-clock.js';

/** Minimum time covered by one log line. */
const SUMMARY_INTERVAL_MILLISECONDS = 1_000;

const TENTHS_PER_MILLISECOND = 10;

/** Dependencies and parameters of the load summary. */
export interface OwnerLoadParts {
  readonly clock: SteadyClock;
  readonly writeEvent: WriteEvent;
  readonly measures: ProcessMeasures;
  /** Fields that identify the owner in log lines. */
  readonly logFields: LogFields;
  /** Returns the current sizes of the owner's queues; called once per log line. */
  readonly queueStatistics: () => LogFields;
}

/** Records the work of an owner. */
export interface OwnerLoad {
  /**
   * Records an event: its reducer ran from `beganAt` to `reducedAt` on the steady clock, and its effects were started
   * between then and now.
   */
  readonly recordEvent: (kind: string, beganAt: number, reducedAt: number) => void;
  /** Records by how much the owner's timer fired late. */
  readonly recordLateness: (milliseconds: number) => void;
  /** Records one attempt at an append: its duration and the size of its records. */
  readonly recordAppend: (milliseconds: number, bytes: number) => void;
}

/** Totals of the events of one kind; `performMilliseconds` is the time spent on starting their effects. */
interface EventKindLoad {
  count: number;
  reduceMilliseconds: number;
  performMilliseconds: number;
}

function toTenths(milliseconds: number): number {
  return Math.round(milliseconds * TENTHS_PER_MILLISECOND) / TENTHS_PER_MILLISECOND;
}

function emptySums(): {
  readonly kinds: Map<string, EventKindLoad>;
  longestMilliseconds: number;
  longestKind: string;
  lateMilliseconds: number;
  appends: number;
  longestAppendMilliseconds: number;
  appendedBytes: number;
} {
  return {
    kinds: new Map(),
    longestMilliseconds: 0,
    longestKind: '',
    lateMilliseconds: 0,
    appends: 0,
    longestAppendMilliseconds: 0,
    appendedBytes: 0,
  };
}

/** Starts to sum up the work of an owner. */
export function createOwnerLoad(parts: OwnerLoadParts): OwnerLoad {
  const { clock, writeEvent, measures, logFields, queueStatistics } = parts;
  let sums = emptySums();
  let spanStartedAt = clock.steadyNow();
  let busyAtSpanStart = measures.busyMilliseconds();

  const add = (kind: string, reduceMilliseconds: number, performMilliseconds: number): void => {
    const kindLoad = sums.kinds.get(kind);
    if (kindLoad === undefined) sums.kinds.set(kind, { count: 1, reduceMilliseconds, performMilliseconds });
    else {
      kindLoad.count += 1;
      kindLoad.reduceMilliseconds += reduceMilliseconds;
      kindLoad.performMilliseconds += performMilliseconds;
    }
    const totalMilliseconds = reduceMilliseconds + performMilliseconds;
    if (totalMilliseconds > sums.longestMilliseconds) {
      sums.longestMilliseconds = totalMilliseconds;
      sums.longestKind = kind;
    }
    measures.ownerEvent(kind, totalMilliseconds);
  };

  const writeSummary = (spanEndedAt: number): void => {
    const busyNow = measures.busyMilliseconds();
    const { kinds, ...totals } = sums;
    const events = [...kinds].map(([kind, load]) => [
      kind,
      [load.count, toTenths(load.reduceMilliseconds), toTenths(load.performMilliseconds)],
    ]);
    writeEvent('ownerLoad', {
      ...logFields,
      spanMilliseconds: Math.round(spanEndedAt - spanStartedAt),
      busyMilliseconds: Math.round(busyNow - busyAtSpanStart),
      ...queueStatistics(),
      ...totals,
      longestMilliseconds: toTenths(totals.longestMilliseconds),
      lateMilliseconds: Math.round(totals.lateMilliseconds),
      longestAppendMilliseconds: Math.round(totals.longestAppendMilliseconds),
      events: Object.fromEntries(events) as LogFields,
    });
    sums = emptySums();
    spanStartedAt = spanEndedAt;
    busyAtSpanStart = busyNow;
    // Counted in the next line, so that the cost of writing the summary is visible too.
    add('load-summed', clock.steadyNow() - spanEndedAt, 0);
  };

  return {
    recordEvent: (kind, beganAt, reducedAt) => {
      const endedAt = clock.steadyNow();
      add(kind, reducedAt - beganAt, endedAt - reducedAt);
      if (endedAt - spanStartedAt >= SUMMARY_INTERVAL_MILLISECONDS) writeSummary(endedAt);
    },
    recordLateness: (milliseconds) => {
      sums.lateMilliseconds = Math.max(sums.lateMilliseconds, milliseconds);
    },
    recordAppend: (milliseconds, bytes) => {
      sums.appends += 1;
      sums.longestAppendMilliseconds = Math.max(sums.longestAppendMilliseconds, milliseconds);
      sums.appendedBytes += bytes;
    },
  };
}
