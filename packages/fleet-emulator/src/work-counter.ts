/** Counts the work that the processes' code does, which a process with a bounded processor pays for. */

/** Where counted code keeps its count. */
interface CountingGlobal {
  baobabdeckWork?: number;
}

/** The expression that counts one unit of work; `count-hooks` puts it into the code that is counted. */
export const COUNT_EXPRESSION = 'globalThis.baobabdeckWork++';

/** Units of work done in this process so far. Throws where nothing is counted. */
export function countedWork(): number {
  const work = (globalThis as CountingGlobal).baobabdeckWork;
  if (work === undefined) {
    throw new Error('Expected count-from-now-on to be imported before the emulator, found no count');
  }
  return work;
}

/** Lets the count begin; code that counts fails before. */
export function beginCounting(): void {
  (globalThis as CountingGlobal).baobabdeckWork ??= 0;
}
