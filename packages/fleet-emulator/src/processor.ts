/** The processor of a machine: what a process does takes its time, one thing after the other. */
import type { VirtualTime } from './virtual-time.js';
import { countedWork } from './work-counter.js';

/** What things cost. The same seed gives the same costs on any machine: work is counted, not timed. */
export interface ProcessorCosts {
  /** Milliseconds of a whole core for one call that a process makes or answers. */
  readonly callMilliseconds: number;
  /**
   * Units of work that a whole core does in a millisecond: calls of functions, turns of loops and what spreads copy, in
   * the packages scheduler, scheduling and types and in the collections. What else the runtime does by itself, such as
   * slicing an array, costs nothing. Infinite where work costs nothing.
   */
  readonly unitsPerMillisecond: number;
}

/** A processor. */
export interface Processor {
  /** Does something once all that came before is done. */
  readonly run: (action: () => void) => void;
  /** The same for something that comes in as a call. */
  readonly runCall: (action: () => void) => void;
  /** Sends a call, which leaves once what it is sent by is done. */
  readonly sendCall: (send: () => void) => void;
  /** Milliseconds for which it was busy so far. */
  readonly busyMilliseconds: () => number;
}

/** A processor that takes no time. */
export const FREE_PROCESSOR: Processor = {
  run: (action) => action(),
  runCall: (action) => action(),
  sendCall: (send) => send(),
  busyMilliseconds: () => 0,
};

/** Creates an idle processor of so many cores; more than one whole core counts as a faster one. */
export function createProcessor(time: VirtualTime, cores: number, costs: ProcessorCosts): Processor {
  const waiting: (() => void)[] = [];
  let next = 0;
  let isBusy = false;
  let calls = 0;
  let leaving: (() => void)[] = [];
  let busyMilliseconds = 0;

  /** Milliseconds of a whole core that all work so far costs. */
  const worked = (): number =>
    costs.unitsPerMillisecond === Infinity ? 0 : countedWork() / costs.unitsPerMillisecond;

  const takeNext = (): (() => void) | undefined => {
    const action = waiting[next];
    next += 1;
    if (next >= waiting.length) {
      waiting.length = 0;
      next = 0;
    }
    return action;
  };

  const finish = (): void => {
    const left = leaving;
    leaving = [];
    left.forEach((send) => send());
    doNext();
  };

  function doNext(): void {
    const action = takeNext();
    isBusy = action !== undefined;
    if (action === undefined) return;
    const before = worked();
    calls = 0;
    action();
    time.whenSettled(() => {
      const lasting = (worked() - before + calls * costs.callMilliseconds) / cores;
      busyMilliseconds += lasting;
      time.after(lasting, finish);
    });
  }

  const run = (action: () => void): void => {
    waiting.push(action);
    if (!isBusy) doNext();
  };

  const sendCall = (send: () => void): void => {
    if (!isBusy) {
      run(() => sendCall(send));
      return;
    }
    calls += 1;
    leaving.push(send);
  };

  return {
    run,
    runCall: (action) =>
      run(() => {
        calls += 1;
        action();
      }),
    sendCall,
    busyMilliseconds: () => busyMilliseconds,
  };
}
