/** Seeded traces: what arrives when, at which gateway, and how long it really runs. */
import type { RandomSource } from '@baobabdeck/emulator';

/** One arrival of a trace. */
export interface Arrival {
  readonly id: string;
  readonly atMilliseconds: number;
  readonly gateway: number;
  readonly caller: string;
  readonly isLong: boolean;
  readonly runMilliseconds: number;
}

/** The shape of a trace. */
export interface TraceShape {
  readonly gateways: number;
  readonly milliseconds: number;
  /** Mean time of short work. */
  readonly shortMilliseconds: number;
  readonly longShare: number;
  /** How many times longer long work runs. */
  readonly longFactor: number;
  /** Arrivals a millisecond at a time of the trace. */
  readonly rateAt: (milliseconds: number) => number;
}

/** The part of a shape whose work is all short. */
export const ONLY_SHORT = { longShare: 0, longFactor: 1 } as const;

const CALLERS = 20;

/** The mean run time of a trace's work. */
export function meanRun({ shortMilliseconds, longShare, longFactor }: TraceShape): number {
  return shortMilliseconds * (1 - longShare + longShare * longFactor);
}

/** Draws a trace. */
export function drawTrace(random: RandomSource, shape: TraceShape, prefix: string): readonly Arrival[] {
  const arrivals: Arrival[] = [];
  let time = 0;
  while (time < shape.milliseconds) {
    time += random.exponential(1 / shape.rateAt(time));
    const isLong = random.chance(shape.longShare);
    arrivals.push({
      id: `${prefix}-${arrivals.length}`,
      atMilliseconds: time,
      gateway: random.below(shape.gateways),
      caller: `caller-${random.below(CALLERS)}`,
      isLong,
      runMilliseconds: random.exponential(shape.shortMilliseconds * (isLong ? shape.longFactor : 1)),
    });
  }
  return arrivals;
}
