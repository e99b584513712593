/** Counts the work that the processes' code does, which a process with a bounded processor pays for. */

/** Where counted code keeps its count. */
interface CountingGlobal {
  baobabdeckWork?: number;
  baobabdeckSpread?: <T>(value: T) => T;
}

/** The expression that counts one unit of work; `count-hooks` puts it into the code that is counted. */
export const COUNT_EXPRESSION = 'globalThis.baobabdeckWork++';

/** The function through which counted code passes what it spreads. */
export const SPREAD_FUNCTION = 'globalThis.baobabdeckSpread';

const counting = globalThis as CountingGlobal;

/** Units of work done in this process so far. Throws where nothing is counted. */
export function countedWork(): number {
  const { baobabdeckWork } = counting;
  if (baobabdeckWork === undefined) {
    throw new Error('Expected count-from-now-on to be imported before the emulator, found no count');
  }
  return baobabdeckWork;
}

/** How much a spread of a value copies. Collections with iterators of their own count as these run. */
function countCopied(value: unknown): number {
  if (Array.isArray(value)) return value.length;
  if (value instanceof Map || value instanceof Set) return value.size;
  const isPlain = typeof value === 'object' && value !== null && !(Symbol.iterator in value);
  return isPlain ? Object.keys(value).length : 0;
}

/** Lets the count begin; code that counts fails before. */
export function beginCounting(): void {
  counting.baobabdeckWork ??= 0;
  counting.baobabdeckSpread ??= (value) => {
    counting.baobabdeckWork = countedWork() + countCopied(value);
    return value;
  };
}
