/** Simple policies on the same trace: groups of slots, each with a queue of its own, short work first. */
import { createSchedule, type RandomSource } from '@baobabdeck/emulator';
import type { Arrival } from './trace.js';

/** Slots with one queue. */
export interface SlotGroup {
  readonly slots: number;
  /** Slots that long work may take. */
  readonly longSlots: number;
}

/** How arrivals find their group. */
export type ChooseGroup = (arrival: Arrival, free: readonly number[], random: RandomSource) => number;

interface GroupState {
  free: number;
  runningLongTasks: number;
  readonly short: Arrival[];
  readonly long: Arrival[];
}

/** Waits of a run, and slots that stood idle while work waited elsewhere. */
export interface ModelResult {
  readonly shortWaits: readonly number[];
  readonly longWaits: readonly number[];
}

/** Runs a trace through groups of slots; each start costs `overheadMilliseconds` on the way. */
export function runQueueModel(
  trace: readonly Arrival[],
  groups: readonly SlotGroup[],
  choose: ChooseGroup,
  random: RandomSource,
  overheadMilliseconds: number,
): ModelResult {
  const schedule = createSchedule();
  const states = groups.map(({ slots }): GroupState => ({
    free: slots,
    runningLongTasks: 0,
    short: [],
    long: [],
  }));
  const shortWaits: number[] = [];
  const longWaits: number[] = [];

  const startNext = (index: number): void => {
    const state = states[index] as GroupState;
    const { longSlots } = groups[index] as SlotGroup;
    while (state.free > 0) {
      const next =
        state.short.shift() ?? (state.runningLongTasks < longSlots ? state.long.shift() : undefined);
      if (next === undefined) return;
      state.free -= 1;
      state.runningLongTasks += next.isLong ? 1 : 0;
      const waits = next.isLong ? longWaits : shortWaits;
      waits.push(schedule.now() - next.atMilliseconds + overheadMilliseconds);
      schedule.after(next.runMilliseconds + overheadMilliseconds, () => {
        state.free += 1;
        state.runningLongTasks -= next.isLong ? 1 : 0;
        startNext(index);
      });
    }
  };
  trace.forEach((arrival) => {
    schedule.after(arrival.atMilliseconds, () => {
      const index = choose(
        arrival,
        states.map((state) => state.free - state.short.length),
        random,
      );
      const state = states[index] as GroupState;
      (arrival.isLong ? state.long : state.short).push(arrival);
      startNext(index);
    });
  });
  const HOUR_MILLISECONDS = 3_600_000;
  schedule.runUntil(HOUR_MILLISECONDS);
  return { shortWaits, longWaits };
}
