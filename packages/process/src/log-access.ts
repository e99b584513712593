/** Reads the log's streams as they grow and appends to them, one record of a stream at a time. */
import { setTimeout as sleep } from 'node:timers/promises';
import type { Metrics, WriteEvent } from '@baobabdeck/observability';
import type { AppendResult, Platform } from '@baobabdeck/platform';
import type { Clock, LogRecord, StoredRecord, StreamName } from '@baobabdeck/types';

/** Time that a read waits at the log for a new record. */
const READ_WAIT_MILLISECONDS = 1_000;

/** Pause after a failed read or append. */
const FAILURE_PAUSE_MILLISECONDS = 250;

const RECORDS_PER_READ = 1_000;

/** What log access tells its process. */
export interface LogHandlers {
  readonly onRecords: (stream: StreamName, records: readonly StoredRecord[], readStartedAt: Date) => void;
  readonly onReadFailed: (stream: StreamName) => void;
  readonly onAppendSettled: (record: LogRecord, result: AppendResult) => void;
}

/** What log access needs. */
export interface LogAccessParts {
  readonly platform: Platform;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly writeEvent: WriteEvent;
  readonly nextOffset: (stream: StreamName) => number;
  readonly handlers: LogHandlers;
}

/** Access to the log. */
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
