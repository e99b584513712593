/** Sums up what an owner does, and writes it as one line a second at most: none where nothing happened. */
import type { LogFields, ProcessMeasures, WriteEvent } from '@baobabdeck/observability';
import type { SteadyClock } from '../node/steady-clock.js';

/** Time that one line sums up at least. */
const SUMMARY_INTERVAL_MILLISECONDS = 1_000;

const TENTHS = 10;

/** What an owner needs to sum its work up. */
export interface OwnerLoadParts {
  readonly clock: SteadyClock;
  readonly writeEvent: WriteEvent;
  readonly measures: ProcessMeasures;
  /** Names the owner in the log. */
  readonly logFields: LogFields;
  /** What waits at the owner now; asked once a line. */
  readonly queueFigures: () => LogFields;
}

/** Takes down what an owner does. */
export interface OwnerLoad {
  /**
   * One event, from `beganAt` on the steady clock: its state stood at `reducedAt`, what follows from it was begun by
   * now.
   */
  readonly recordEvent: (kind: string, beganAt: number, reducedAt: number) => void;
  /** The owner was woken that late. */
  readonly recordLateness: (milliseconds: number) => void;
  /** One attempt at an append. */
  readonly recordAppend: (milliseconds: number, bytes: number) => void;
}

/** Events of one kind: how many, milliseconds in the reducer, and milliseconds in what follows from them. */
interface EventKindLoad {
  count: number;
  reduceMilliseconds: number;
  performMilliseconds: number;
}

function toTenths(milliseconds: number): number {
  return Math.round(milliseconds * TENTHS) / TENTHS;
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

/** Begins to take down what an owner does. */
export function createOwnerLoad(parts: OwnerLoadParts): OwnerLoad {
  const { clock, writeEvent, measures, logFields, queueFigures } = parts;
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

  const writeSummary = (at: number): void => {
    const busyNow = measures.busyMilliseconds();
    const { kinds, ...figures } = sums;
    const events = [...kinds].map(([kind, load]) => [
      kind,
      [load.count, toTenths(load.reduceMilliseconds), toTenths(load.performMilliseconds)],
    ]);
    writeEvent('ownerLoad', {
      ...logFields,
      spanMilliseconds: Math.round(at - spanStartedAt),
      busyMilliseconds: Math.round(busyNow - busyAtSpanStart),
      ...queueFigures(),
      ...figures,
      longestMilliseconds: toTenths(figures.longestMilliseconds),
      lateMilliseconds: Math.round(figures.lateMilliseconds),
      longestAppendMilliseconds: Math.round(figures.longestAppendMilliseconds),
      events: Object.fromEntries(events) as LogFields,
    });
    sums = emptySums();
    spanStartedAt = at;
    busyAtSpanStart = busyNow;
    // Counts in the next line, so that a line shows what lines cost.
    add('load-summed', clock.steadyNow() - at, 0);
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
