/** Measures the load of a process over about the last second. */
import type { ProcessLoad } from './relay-activation.js';

const WINDOW_MILLISECONDS = 1_000;

interface Sample {
  readonly at: number;
  readonly busyMilliseconds: number;
  readonly lateMilliseconds: number;
}

/** Creates the measurement; each call adds a sample and returns the load. */
export function createLoadMeter(
  busyMilliseconds: () => number,
): (now: number, lateMilliseconds: number) => ProcessLoad {
  let samples: readonly Sample[] = [];
  return (now, lateMilliseconds) => {
    const sample = { at: now, busyMilliseconds: busyMilliseconds(), lateMilliseconds };
    samples = [...samples.filter(({ at }) => now - at <= WINDOW_MILLISECONDS), sample];
    const [first = sample] = samples;
    const elapsed = now - first.at;
    const busy = sample.busyMilliseconds - first.busyMilliseconds;
    return {
      busyShare: elapsed > 0 ? Math.min(1, busy / elapsed) : 0,
      // The second-largest lateness of the window: one pause alone says little about the load.
      lateMilliseconds: samples.map((one) => one.lateMilliseconds).sort((a, b) => b - a)[1] ?? 0,
    };
  };
}
