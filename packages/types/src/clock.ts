/** Time, passed in as an interface so that a test can stand in for it. */

/** Source of the current time. */
export interface Clock {
  /** The current time of day. May step when the machine's clock is corrected. */
  readonly now: () => Date;
}

/** The machine's clock. */
export const systemClock: Clock = { now: () => new Date() };

/** The point in time `milliseconds` after `instant`. */
export function addMilliseconds(instant: Date, milliseconds: number): Date {
  return new Date(instant.getTime() + milliseconds);
}

/** Milliseconds from `earlier` to `later`; negative when `later` comes first. */
export function millisecondsBetween(earlier: Date, later: Date): number {
  return later.getTime() - earlier.getTime();
}
