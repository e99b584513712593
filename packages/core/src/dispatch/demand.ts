/** Measures the demand for a pool's slots: arrivals times their mean run, whatever waits. */
import { millisecondsBetween } from '@baobabdeck/types';
import type { Demand, PoolDispatch } from './dispatch-state.js';

/** Weight of the newest run in the moving mean. */
const RUN_WEIGHT = 0.05;

/** Weight of the newest measurement in the moving demand. */
const DEMAND_WEIGHT = 0.3;

function setDemand(dispatch: PoolDispatch, change: Partial<Demand>): PoolDispatch {
  return { ...dispatch, demand: { ...dispatch.demand, ...change } };
}

/** The view after one more request. */
export function countArrival(dispatch: PoolDispatch): PoolDispatch {
  return setDemand(dispatch, { arrivals: dispatch.demand.arrivals + 1 });
}

/** The view after a run of known length. */
export function countRun(dispatch: PoolDispatch, runMilliseconds: number): PoolDispatch {
  const before = dispatch.demand.meanRunMilliseconds;
  const mean = before === 0 ? runMilliseconds : before + RUN_WEIGHT * (runMilliseconds - before);
  return setDemand(dispatch, { meanRunMilliseconds: mean });
}

/** The view with the demand measured anew. */
export function measureDemand(dispatch: PoolDispatch, now: Date): PoolDispatch {
  const { arrivals, measuredAt, meanRunMilliseconds, offeredSlots } = dispatch.demand;
  const elapsed = measuredAt === null ? 0 : millisecondsBetween(measuredAt, now);
  if (elapsed <= 0) return setDemand(dispatch, { arrivals: 0, measuredAt: now });
  if (arrivals === 0 && offeredSlots < 1) {
    return dispatch.demand.measuredAt === null ? dispatch : setDemand(dispatch, { measuredAt: now });
  }
  const newest = (arrivals / elapsed) * meanRunMilliseconds;
  const moving = offeredSlots + DEMAND_WEIGHT * (newest - offeredSlots);
  return setDemand(dispatch, { arrivals: 0, measuredAt: now, offeredSlots: moving });
}
