/** Pace of a run: the share of full speed that its worker was ordered to let it work at. */
import type { Instant } from '../model/instant.js';
import type { Run, RunPace } from './service-state.js';

const FULL_PERCENT = 100;

/** Returns the pace of a run that was last ordered, in percent; full speed if none was. */
export function pacedPercentOf({ pace }: Run): number {
  return pace?.percent ?? FULL_PERCENT;
}

/** Returns the time that a run has lost by its pace so far, in milliseconds at full speed. */
export function lostMillisecondsOf({ pace }: Run, now: Instant): number {
  if (pace === null) return 0;
  return pace.lostMilliseconds + (1 - pace.percent / FULL_PERCENT) * Math.max(0, now - pace.since);
}

/** Returns the pace of a run once an order for it is sent. */
export function orderedPace(run: Run, percent: number, now: Instant): RunPace {
  return {
    percent,
    phase: 'sent',
    since: now,
    hasUnansweredOrder: run.pace?.hasUnansweredOrder ?? false,
    lostMilliseconds: lostMillisecondsOf(run, now),
  };
}

/** Returns the pace of a run that an earlier owner may have paced. */
export function inheritedPace(now: Instant): RunPace {
  return {
    percent: FULL_PERCENT,
    phase: 'inherited',
    since: now,
    hasUnansweredOrder: false,
    lostMilliseconds: 0,
  };
}
