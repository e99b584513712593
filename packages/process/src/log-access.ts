/** Follows the streams of the log and appends to them, one record per stream at a time. */
import { setTimeout as sleep } from 'node:timers/promises';
import type { Metrics, WriteEvent } from '@baobabdeck/observability';
import type { AppendResult, Platform } from '@baobabdeck/platform';
import type { Clock, LogRecord, StoredRecord, StreamName } from '@baobabdeck/types';

/** Time that the log may hold a read open until a new record arrives. */
const READ_WAIT_MILLISECONDS = 1_000;

/** Pause after a failed read or append. */
const FAILURE_PAUSE_MILLISECONDS = 250;

const RECORDS_PER_READ = 1_000;

/** Callbacks for the results of reads and appends. */
export interface LogHandlers {
  readonly onRecords: (stream: StreamName, records: readonly StoredRecord[], readStartedAt: Date) => void;
  readonly onReadFailed: (stream: StreamName) => void;
  readonly onAppendSettled: (record: LogRecord, result: AppendResult) => void;
}

/** Dependencies of log access. */
export interface LogAccessParts {
  readonly platform: Platform;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly writeEvent: WriteEvent;
  readonly nextOffset: (stream: StreamName) => number;
  readonly handlers: LogHandlers;
}

/** Follows and appends to streams of the log. */
export interface LogAccess {
  readonly follow: (stream: StreamName) => void;
  readonly append: (stream: StreamName, record: LogRecord) => void;
  readonly close: () => void;
}

/** Creates access to the log. */
export function createLogAccess(parts: LogAccessParts): LogAccess {
  const { platform, clock, metrics, writeEvent, nextOffset, handlers } = parts;
  const waiting = new Map<StreamName, LogRecord[]>();
  const appending = new Set<StreamName>();
  let closed = false;

  const readOnce = async (stream: StreamName, wasReachable: boolean): Promise<boolean> => {
    const readStartedAt = clock.now();
    const page = await platform.read({
      stream,
      fromOffset: nextOffset(stream),
      waitMilliseconds: wasReachable ? READ_WAIT_MILLISECONDS : 0,
      limit: RECORDS_PER_READ,
    });
    if (closed) return wasReachable;
    if (page.ok) {
      if (!wasReachable) writeEvent('logReachable', { stream });
      handlers.onRecords(stream, page.value.records, readStartedAt);
      return true;
    }
    if (wasReachable) {
      writeEvent(page.failure.kind === 'logGap' ? 'recordGap' : 'logUnreachable', {
        stream,
        detail: page.failure.detail,
      });
    }
    handlers.onReadFailed(stream);
    await sleep(FAILURE_PAUSE_MILLISECONDS, undefined, { ref: false });
    return false;
  };

  const followStream = async (stream: StreamName): Promise<void> => {
    let reachable = true;
    while (!closed) reachable = await readOnce(stream, reachable);
  };

  const drain = async (stream: StreamName): Promise<void> => {
    if (appending.has(stream)) return;
    appending.add(stream);
    const records = waiting.get(stream) ?? [];
    for (let record = records.shift(); record !== undefined && !closed; record = records.shift()) {
      const result = await platform.append(stream, record);
      metrics.appends.inc({ stream, result: result.kind });
      if (result.kind !== 'stored') {
        writeEvent('appendFailed', { stream, id: record.id, result: result.kind, detail: result.detail });
        await sleep(FAILURE_PAUSE_MILLISECONDS, undefined, { ref: false });
      }
      handlers.onAppendSettled(record, result);
    }
    appending.delete(stream);
  };

  return {
    follow: (stream) => {
      void followStream(stream);
    },
    append: (stream, record) => {
      const records = waiting.get(stream) ?? [];
      records.push(record);
      waiting.set(stream, records);
      void drain(stream);
    },
    close: () => {
      closed = true;
    },
  };
}
