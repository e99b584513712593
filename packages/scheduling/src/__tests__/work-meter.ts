/** Counts the work of code instead of timing it, so that equal work gives equal figures on any machine. */
import { Session, type Profiler } from 'node:inspector';
import { setFlagsFromString } from 'node:v8';

/** The counter. */
export interface WorkMeter {
  /** How many blocks of counted code the work passes through; each turn of a loop counts. */
  readonly measure: (work: () => void) => number;
}

/** Scripts whose blocks count: the reducers, and the collections that they keep their state in. */
const COUNTED_SCRIPTS = /\/(?:scheduling|types)\/dist\/|\/node_modules\/(?!ava\/)/;

function sumOf(scripts: readonly Profiler.ScriptCoverage[]): number {
  let sum = 0;
  for (const { url, functions } of scripts) {
    if (COUNTED_SCRIPTS.test(url) && !url.includes('/__tests__/')) {
      for (const { ranges } of functions) for (const { count } of ranges) sum += count;
    }
  }
  return sum;
}

/** Starts counting in this process, which makes all of its code slower. To be called before that code has run. */
export function startWorkMeter(): WorkMeter {
  // Optimised code counts calls of functions that it has inlined only now and then.
  setFlagsFromString('--no-opt');
  const session = new Session();
  session.connect();
  session.post('Profiler.enable');
  session.post('Profiler.startPreciseCoverage', { callCount: true, detailed: true });

  /** What was passed through since it was last taken; the inspector answers at once. */
  const take = (): number => {
    let sum: number | null = null;
    session.post('Profiler.takePreciseCoverage', (error, answer) => {
      if (error === null) sum = sumOf(answer.result);
    });
    if (sum === null) throw new Error('Expected the coverage at once, found none');
    return sum;
  };

  return {
    measure: (work) => {
      take();
      work();
      return take();
    },
  };
}
