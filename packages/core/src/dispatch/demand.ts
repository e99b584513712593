/** Measures the demand for a pool's slots as arrival rate times mean run time, independent of the queue length. */
import { millisecondsBetween } from '@baobabdeck/types';
import type { Demand, PoolDispatch } from './dispatch-state.js';

/** Weight of the newest run in the moving average of run times. */
const RUN_WEIGHT = 0.05;

/** Weight of the newest measurement in the moving average of the demand. */
const DEMAND_WEIGHT = 0.3;

function setDemand(dispatch: PoolDispatch, change: Partial<Demand>): PoolDispatch {
  return { ...dispatch, demand: { ...dispatch.demand, ...change } };
}

/** Counts the arrival of a slot request. */
export function countArrival(dispatch: PoolDispatch): PoolDispatch {
  return setDemand(dispatch, { arrivals: dispatch.demand.arrivals + 1 });
}

/** Adds the run time of a finished run to the moving average. */
export function recordRunTime(dispatch: PoolDispatch, runMilliseconds: number): PoolDispatch {
  const before = dispatch.demand.meanRunMilliseconds;
  const mean = before === 0 ? runMilliseconds : before + RUN_WEIGHT * (runMilliseconds - before);
  return setDemand(dispatch, { meanRunMilliseconds: mean });
}

/** Updates the offered load from the arrivals since the last measurement. */
export function measureDemand(dispatch: PoolDispatch, now: Date): PoolDispatch {
  const { arrivals, measuredAt, meanRunMilliseconds, offeredSlots } = dispatch.demand;
  const elapsed = measuredAt === null ? 0 : millisecondsBetween(measuredAt, now);
  if (elapsed <= 0) return setDemand(dispatch, { arrivals: 0, measuredAt: now });
  if (arrivals === 0 && offeredSlots < 1) {
    return dispatch.demand.measuredAt === null ? dispatch : setDemand(dispatch, { measuredAt: now });
  }
  const newest = (arrivals / elapsed) * meanRunMilliseconds;
  const smoothed = offeredSlots + DEMAND_WEIGHT * (newest - offeredSlots);
  return setDemand(dispatch, { arrivals: 0, measuredAt: now, offeredSlots: smoothed });
}
