/** Sums up what an owner does, and writes it as one line a second at most: none where nothing happened. */
import type { LogFields, ProcessMeasures, WriteEvent } from '@baobabdeck/observability';
import type { SteadyClock } from '../node/steady-clock.js';

/** Time that one line sums up at least. */
const SPAN_MILLISECONDS = 1_000;

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
  readonly noteEvent: (kind: string, beganAt: number, reducedAt: number) => void;
  /** The owner was woken that late. */
  readonly noteLate: (milliseconds: number) => void;
  /** One attempt at an append. */
  readonly noteAppend: (milliseconds: number, bytes: number) => void;
}

/** Events of one kind: how many, milliseconds in the reducer, and milliseconds in what follows from them. */
interface KindLoad {
  count: number;
  reduceMilliseconds: number;
  performMilliseconds: number;
}

function toTenths(milliseconds: number): number {
  return Math.round(milliseconds * TENTHS) / TENTHS;
}

function emptySums(): {
  readonly kinds: Map<string, KindLoad>;
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
  let sinceAt = clock.steadyNow();
  let busyBefore = measures.busyMilliseconds();

  const add = (kind: string, reduceMilliseconds: number, performMilliseconds: number): void => {
    const known = sums.kinds.get(kind);
    if (known === undefined) sums.kinds.set(kind, { count: 1, reduceMilliseconds, performMilliseconds });
    else {
      known.count += 1;
      known.reduceMilliseconds += reduceMilliseconds;
      known.performMilliseconds += performMilliseconds;
    }
    const whole = reduceMilliseconds + performMilliseconds;
    if (whole > sums.longestMilliseconds) {
      sums.longestMilliseconds = whole;
      sums.longestKind = kind;
    }
    measures.ownerEvent(kind, whole);
  };

  const writeLine = (at: number): void => {
    const busyNow = measures.busyMilliseconds();
    const { kinds, ...figures } = sums;
    const events = [...kinds].map(([kind, load]) => [
      kind,
      [load.count, toTenths(load.reduceMilliseconds), toTenths(load.performMilliseconds)],
    ]);
    writeEvent('ownerLoad', {
      ...logFields,
      spanMilliseconds: Math.round(at - sinceAt),
      busyMilliseconds: Math.round(busyNow - busyBefore),
      ...queueFigures(),
      ...figures,
      longestMilliseconds: toTenths(figures.longestMilliseconds),
      lateMilliseconds: Math.round(figures.lateMilliseconds),
      longestAppendMilliseconds: Math.round(figures.longestAppendMilliseconds),
      events: Object.fromEntries(events) as LogFields,
    });
    sums = emptySums();
    sinceAt = at;
    busyBefore = busyNow;
    // Counts in the next line, so that a line shows what lines cost.
    add('load-summed', clock.steadyNow() - at, 0);
  };

  return {
    noteEvent: (kind, beganAt, reducedAt) => {
      const endedAt = clock.steadyNow();
      add(kind, reducedAt - beganAt, endedAt - reducedAt);
      if (endedAt - sinceAt >= SPAN_MILLISECONDS) writeLine(endedAt);
    },
    noteLate: (milliseconds) => {
      sums.lateMilliseconds = Math.max(sums.lateMilliseconds, milliseconds);
    },
    noteAppend: (milliseconds, bytes) => {
      sums.appends += 1;
      sums.longestAppendMilliseconds = Math.max(sums.longestAppendMilliseconds, milliseconds);
      sums.appendedBytes += bytes;
    },
  };
}
