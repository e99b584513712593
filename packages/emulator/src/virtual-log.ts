/** The platform's log in virtual time, with its faults. */
import type { AppendOutcome } from '@baobabdeck/core';
import type { LogRecord, StoredRecord, StreamName } from '@baobabdeck/types';
import type { RandomSource } from './random.js';
import type { Schedule } from './schedule.js';

/** What can go wrong with the log. */
export interface LogConditions {
  down: boolean;
  /** Share of appends that are stored and whose answer is lost. */
  loseAnswers: number;
  /** One way, in milliseconds. */
  latencyMilliseconds: number;
}

/** The log. */
export interface VirtualLog {
  readonly conditions: LogConditions;
  readonly records: (stream: StreamName) => readonly StoredRecord[];
  readonly append: (stream: StreamName, record: LogRecord, settled: (outcome: AppendOutcome) => void) => void;
  /** Calls back for every append that is stored. */
  readonly onStored: (listener: (stream: StreamName) => void) => void;
  readonly appendCount: () => number;
}

/** Creates an empty log. */
export function createVirtualLog(schedule: Schedule, random: RandomSource): VirtualLog {
  const conditions: LogConditions = { down: false, loseAnswers: 0, latencyMilliseconds: 3 };
  const streams: Record<StreamName, StoredRecord[]> = { fleet: [], keys: [] };
  const listeners: ((stream: StreamName) => void)[] = [];
  let appends = 0;

  const store = (stream: StreamName, record: LogRecord, settled: (outcome: AppendOutcome) => void): void => {
    if (conditions.down) {
      schedule.after(conditions.latencyMilliseconds, () => settled('refused'));
      return;
    }
    appends += 1;
    streams[stream].push({ offset: streams[stream].length, record });
    listeners.forEach((listener) => listener(stream));
    const outcome = random.chance(conditions.loseAnswers) ? 'unknown' : 'stored';
    schedule.after(conditions.latencyMilliseconds, () => settled(outcome));
  };
  return {
    conditions,
    records: (stream) => streams[stream],
    append: (stream, record, settled) =>
      schedule.after(conditions.latencyMilliseconds, () => store(stream, record, settled)),
    onStored: (listener) => listeners.push(listener),
    appendCount: () => appends,
  };
}
