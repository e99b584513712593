/** Ports whose calls fail unexpectedly, and a recorder of the log lines on them. */
import type { LogFields } from '@baobabdeck/observability';
import type { LogPartition, Store, WorkerOrders } from '../ports/index.js';
import { createErrorReporter, type ReportUnexpectedError } from '../unexpected-errors/index.js';
import { PUBLISHED_LIMITS } from './published-limits.js';

/** A log line: its event and its fields. */
export interface Line extends LogFields {
  readonly event: string;
}

/** Records log lines, and the errors that are reported as such. */
export interface Recorder {
  readonly lines: readonly Line[];
  readonly write: (event: string, fields?: LogFields) => void;
  readonly report: ReportUnexpectedError;
}

/** Creates a recorder without lines. */
export function createRecorder(): Recorder {
  const lines: Line[] = [];
  const write = (event: string, fields: LogFields = {}): void => {
    lines.push({ ...fields, event });
  };
  return { lines, write, report: createErrorReporter(write) };
}

/** The error of every call that fails. */
export const BROKEN = new Error('broken');

/** Throws at once, as a library does on a malformed argument. */
export function throwAtOnce(): never {
  throw BROKEN;
}

/** Rejects, as a call does whose error comes only after it has begun. */
export function rejectLater(): Promise<never> {
  return Promise.reject(BROKEN);
}

/** The inbox of the service under test. */
export const PARTITION: LogPartition = { topic: 'keyed.inbox.0', partition: 0 };

/** Creates a port to workers on which every order fails. */
export function workersFailingWith(fail: () => never | Promise<never>): WorkerOrders {
  return { renewLease: fail, startRun: fail, stopRun: fail, paceRun: fail, closeConnections: throwAtOnce };
}

/** Creates a store on which every call fails. */
export function storeFailingWith(fail: () => never | Promise<never>): Store {
  return {
    append: fail,
    read: fail,
    readNewest: fail,
    join: fail,
    leave: fail,
    listOwners: fail,
    partitionCount: 1,
    limits: PUBLISHED_LIMITS,
  };
}

/** Creates a store with empty logs in which every append succeeds. */
export function createEmptyStore(sleep: (milliseconds: number) => Promise<void>): Store {
  return {
    ...storeFailingWith(rejectLater),
    append: () => Promise.resolve({ kind: 'stored', firstOffset: 0, nextOffset: 1 }),
    readNewest: () => Promise.resolve({ kind: 'read', records: [], nextOffset: 1 }),
    read: async () => {
      await sleep(200);
      return { kind: 'read', records: [], nextOffset: 1, hasMore: false };
    },
  };
}
