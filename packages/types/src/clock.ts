/** Clock interface, injected so that tests can replace it, and arithmetic on instants. */

/** Source of the current time. */
export interface Clock {
  /** Returns the current wall-clock time. May jump when the machine's clock is corrected. */
  readonly now: () => Date;
}

/** Clock of the machine. */
export const systemClock: Clock = { now: () => new Date() };

/** Returns the instant `milliseconds` after `instant`. */
export function addMilliseconds(instant: Date, milliseconds: number): Date {
  return new Date(instant.getTime() + milliseconds);
}

/** Returns the milliseconds from `earlier` to `later`; negative if `later` comes first. */
export function millisecondsBetween(earlier: Date, later: Date): number {
  return later.getTime() - earlier.getTime();
}
