/** Access of processes to the log in virtual time: appends and long polls, and cuts between a process and the log. */
import type { LogRecord, StreamName } from '@baobabdeck/types';
import type { Schedule } from './schedule.js';
import type { VirtualLog } from './virtual-log.js';
import { dateAt, type VirtualProcess } from './virtual-process.js';

const POLL_MILLISECONDS = 1_000;
const RETRY_MILLISECONDS = 250;

/** Access to the log. */
export interface LogAccess {
  readonly append: (process: VirtualProcess, stream: StreamName, record: LogRecord) => void;
  /** Reads one stream by long polls for as long as the process lives. */
  readonly follow: (process: VirtualProcess, stream: StreamName) => void;
  /** Cuts a process off the log, or ends the cut. */
  readonly setCut: (processId: string, isCut: boolean) => void;
}

/** Creates the access; every process reaches the log at first. */
export function createLogAccess(log: VirtualLog, schedule: Schedule): LogAccess {
  const cutOff = new Set<string>();
  const isReachable = (processId: string): boolean => !log.conditions.down && !cutOff.has(processId);

  const append = (process: VirtualProcess, stream: StreamName, record: LogRecord): void => {
    const { processId } = process.identity;
    if (!isReachable(processId)) {
      schedule.after(RETRY_MILLISECONDS, () =>
        process.dispatch({ kind: 'append-settled', recordId: record.id, outcome: 'refused' }),
      );
      return;
    }
    log.append(stream, record, (outcome) => {
      const pause = outcome === 'stored' ? 0 : RETRY_MILLISECONDS;
      schedule.after(pause, () => process.dispatch({ kind: 'append-settled', recordId: record.id, outcome }));
    });
  };

  const follow = (process: VirtualProcess, stream: StreamName): void => {
    const { processId } = process.identity;
    let sentAt = schedule.now();
    let round = 0;
    const finish = (mine: number): void => process.whenRunning(() => read(mine));
    const read = (mine: number): void => {
      if (mine !== round || !process.isAlive()) return;
      round += 1;
      const next = round;
      if (!isReachable(processId)) {
        process.dispatch({ kind: 'stream-unreadable', stream });
        sentAt = schedule.now() + RETRY_MILLISECONDS;
        schedule.after(RETRY_MILLISECONDS, () => finish(next));
        return;
      }
      const readStartedAt = dateAt(sentAt);
      const from = process.state().fold[stream].nextOffset;
      const records = log.records(stream).slice(from);
      sentAt = schedule.now();
      process.dispatch({ kind: 'records-read', stream, records, readStartedAt });
      schedule.after(POLL_MILLISECONDS, () => finish(next));
    };
    log.onStored((stored) => {
      if (stored !== stream || !process.isAlive()) return;
      const mine = round;
      schedule.after(log.conditions.latencyMilliseconds, () => finish(mine));
    });
    schedule.after(log.conditions.latencyMilliseconds, () => finish(0));
  };

  return {
    append,
    follow,
    setCut: (processId, isCut) => {
      if (isCut) cutOff.add(processId);
      else cutOff.delete(processId);
    },
  };
}
