/** Numbered log events. The same catalogue stands in docs/LOG-EVENTS.md. */

/** One row of the catalogue. */
export interface LogEventEntry {
  readonly number: number;
  readonly level: 'debug' | 'info' | 'warn' | 'error';
  readonly message: string;
}

/** Every log event: 1xx processes, 2xx log and peers, 3xx requests, 4xx fleet, 9xx faults. */
export const LOG_EVENTS = {
  processStarted: { number: 101, level: 'info', message: 'process started' },
  processStopping: { number: 102, level: 'info', message: 'stop requested; finishing what is in progress' },
  processStopped: { number: 103, level: 'info', message: 'process stopped' },
  startFailed: { number: 104, level: 'error', message: 'process cannot start' },
  processLapsed: {
    number: 105,
    level: 'warn',
    message: 'heard neither the log nor a peer in time; starting no work',
  },
  processRecovered: { number: 106, level: 'info', message: 'up to date again' },
  logUnreachable: { number: 201, level: 'warn', message: 'log cannot be read' },
  logReachable: { number: 202, level: 'info', message: 'log can be read again' },
  recordGap: {
    number: 203,
    level: 'error',
    message: 'records of the log are missing; nothing behind them is folded',
  },
  recordUnreadable: {
    number: 204,
    level: 'warn',
    message: 'record is of a kind that this version cannot read',
  },
  appendFailed: { number: 205, level: 'warn', message: 'append was refused or its answer was lost' },
  peerFault: { number: 206, level: 'warn', message: 'connection of a peer closed for what it sent' },
  peerLinked: { number: 207, level: 'debug', message: 'link to a peer stands' },
  snapshotWritten: { number: 208, level: 'info', message: 'snapshot written' },
  platformCallFailed: { number: 209, level: 'warn', message: 'platform call failed' },
  bootstrapped: { number: 210, level: 'info', message: 'state restored' },
  requestRefused: { number: 301, level: 'info', message: 'request refused' },
  attemptRetried: { number: 302, level: 'info', message: 'request goes to another target' },
  targetEjected: { number: 303, level: 'warn', message: 'target ejected after failures' },
  targetReturned: { number: 304, level: 'info', message: 'target answers well again' },
  dispatcherChanged: {
    number: 305,
    level: 'info',
    message: 'slots of a pool are handed out by another gateway',
  },
  malformedRequest: { number: 306, level: 'info', message: 'caller sent a malformed request' },
  configurationInForce: { number: 401, level: 'info', message: 'configuration in force' },
  commandRejected: { number: 402, level: 'info', message: 'command rejected' },
  drainPermitted: { number: 403, level: 'info', message: 'drain permitted' },
  wavePaused: { number: 404, level: 'warn', message: 'maintenance wave stops by itself' },
  invariantViolated: { number: 901, level: 'error', message: 'something that must always hold does not' },
  unexpectedError: { number: 902, level: 'error', message: 'unexpected error' },
} as const satisfies Readonly<Record<string, LogEventEntry>>;

/** The name of a log event. */
export type LogEventName = keyof typeof LOG_EVENTS;
