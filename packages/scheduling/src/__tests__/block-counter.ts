/** Counts executed blocks of code instead of measuring time, so that equal work gives equal counts on any machine. */
import { Session, type Profiler } from 'node:inspector';
import { setFlagsFromString } from 'node:v8';

/** Counter of executed blocks. */
export interface BlockCounter {
  /** Runs a function and returns how many blocks of counted code it executes; each iteration of a loop counts. */
  readonly measure: (work: () => void) => number;
}

/** Scripts whose blocks count: the reducers and the collections that hold their state. */
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

/** Starts counting in this process, which slows all its code down. Must be called before the counted code runs. */
export function startBlockCounter(): BlockCounter {
  // Optimised code counts calls of inlined functions only sporadically.
  setFlagsFromString('--no-opt');
  const session = new Session();
  session.connect();
  session.post('Profiler.enable');
  session.post('Profiler.startPreciseCoverage', { callCount: true, detailed: true });

  /** Returns the blocks executed since the last call; the inspector answers synchronously. */
  const takeCount = (): number => {
    let sum: number | null = null;
    session.post('Profiler.takePreciseCoverage', (error, coverage) => {
      if (error === null) sum = sumOf(coverage.result);
    });
    if (sum === null) throw new Error('Expected the coverage synchronously, found none');
    return sum;
  };

  return {
    measure: (work) => {
      takeCount();
      work();
      return takeCount();
    },
  };
}
