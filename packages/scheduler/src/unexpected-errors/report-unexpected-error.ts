/** Reports errors that no code expects, such as an exception of a library on a value that was not foreseen. */
import type { LogFields, WriteEvent } from '@baobabdeck/observability';

/** Reports the error of one activity; the log line carries the activity and the given fields, and is counted. */
export type ReportUnexpectedError = (activity: string, error: unknown, fields?: LogFields) => void;

/** Creates a reporter that writes to the log of the process. */
export function createErrorReporter(writeEvent: WriteEvent): ReportUnexpectedError {
  return (activity, error, fields = {}) => writeEvent('unexpectedError', { ...fields, activity, err: error });
}
