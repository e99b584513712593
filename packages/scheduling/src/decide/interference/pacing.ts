/**
 * Decides at which share of full speed the filling tasks of a worker work, from the tails of the serving tasks beside
 * them: slower by a factor while a tail is near or over its target, faster by a fixed step while all are well below it.
 */
import type { Instant } from '../../model/instant.js';
import type { WorkerPacing } from '../../state/service-state.js';

/** Full speed in percent. */
export const FULL_PACE_PERCENT = 100;

/** Tail in parts of its target from which on filling tasks are slowed down, and below which they are sped up. */
const SLOWER_FROM = 0.9;
const FASTER_BELOW = 0.75;

/** Factors by which they are slowed down while a tail is over its target, and while it is near it. */
const OVER_FACTOR = 0.5;
const NEAR_FACTOR = 0.75;

/** Step by which they are sped up, and the smallest step worth an order. */
const FASTER_STEP_PERCENT = 10;
const SMALLEST_STEP_PERCENT = 3;

/** Paces below this are 0: the tasks pause. */
const SMALLEST_PACE_PERCENT = 10;

/** Time until a tail shows a change of pace: until it is effective, and the time over which tails are measured. */
const SETTLING_MILLISECONDS = 700;

/** Time between two steps up. */
const FASTER_INTERVAL_MILLISECONDS = 1_500;

/** Time over the target after which the tasks pause at once, well within the time that a target may be missed. */
const MAXIMUM_OVER_MILLISECONDS = 1_500;

/** Time for which a pace that was too fast is not tried again. It doubles up to a limit each time that the pace fails. */
const INITIAL_CEILING_MILLISECONDS = 10_000;
const MAXIMUM_CEILING_MILLISECONDS = 80_000;

/** A pace from this share of the last one that was too fast counts as the same one. */
const SAME_CEILING_SHARE = 0.75;

/** Pacing of a worker whose tasks work at a pace that was found, full speed for one that was never slowed down. */
export function initialPacing(percent: number, now: Instant): WorkerPacing {
  return { percent, changedAt: now, overSince: null, ceiling: null };
}

function slowerPercent({ percent, overSince }: WorkerPacing, pressure: number, now: Instant): number {
  if (overSince !== null && now - overSince >= MAXIMUM_OVER_MILLISECONDS) return 0;
  const slower = Math.floor(percent * (pressure > 1 ? OVER_FACTOR : NEAR_FACTOR));
  return slower < SMALLEST_PACE_PERCENT ? 0 : slower;
}

function ceilingAfter({ percent, ceiling }: WorkerPacing, now: Instant): WorkerPacing['ceiling'] {
  const isSame = ceiling !== null && percent >= ceiling.percent * SAME_CEILING_SHARE;
  const isRecent = ceiling !== null && now - ceiling.until < ceiling.milliseconds;
  // Several steps down in a row belong to the first one.
  if (ceiling !== null && now < ceiling.until && percent < ceiling.percent) {
    return { ...ceiling, percent };
  }
  const milliseconds =
    isSame && isRecent
      ? Math.min(MAXIMUM_CEILING_MILLISECONDS, ceiling.milliseconds * 2)
      : INITIAL_CEILING_MILLISECONDS;
  return { percent, milliseconds, until: now + milliseconds };
}

function slowDown(pacing: WorkerPacing, pressure: number, now: Instant): WorkerPacing {
  const percent = slowerPercent(pacing, pressure, now);
  if (percent === pacing.percent) return pacing;
  return { ...pacing, percent, changedAt: now, ceiling: ceilingAfter(pacing, now) };
}

/** Speeds up by one step; below a pace that was too fast recently by half of the distance to it at most. */
function speedUp(pacing: WorkerPacing, now: Instant): WorkerPacing {
  const { percent, changedAt, ceiling } = pacing;
  if (now - changedAt < FASTER_INTERVAL_MILLISECONDS) return pacing;
  const distance =
    ceiling !== null && now < ceiling.until ? Math.floor((ceiling.percent - percent) / 2) : Infinity;
  const step = Math.min(FASTER_STEP_PERCENT, FULL_PACE_PERCENT - percent, distance);
  const isWorthwhile = step >= SMALLEST_STEP_PERCENT || percent + step === FULL_PACE_PERCENT;
  return step > 0 && isWorthwhile ? { ...pacing, percent: percent + step, changedAt: now } : pacing;
}

/** Returns whether tails reported now show the present pace. */
export function isPaceSettled(pacing: WorkerPacing | null, now: Instant): boolean {
  return pacing === null || now - pacing.changedAt >= SETTLING_MILLISECONDS;
}

/**
 * Returns the pacing after a report.
 *
 * @param pressure - the highest tail of the serving tasks in parts of its target; null if the report names none
 */
export function nextPacing(before: WorkerPacing, pressure: number | null, now: Instant): WorkerPacing {
  if (pressure === null) return before;
  const overSince = pressure > 1 ? (before.overSince ?? now) : null;
  const pacing = overSince === before.overSince ? before : { ...before, overSince };
  if (pressure >= SLOWER_FROM) return isPaceSettled(pacing, now) ? slowDown(pacing, pressure, now) : pacing;
  return pressure < FASTER_BELOW ? speedUp(pacing, now) : pacing;
}
