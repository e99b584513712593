/** Numbered log events. The same catalogue stands in docs/LOG-EVENTS.md. */

/** One row of the catalogue. */
export interface LogEventEntry {
  readonly number: number;
  readonly level: 'debug' | 'info' | 'warn' | 'error';
  readonly message: string;
}

/** Every log event: 1xx processes, 2xx log and peers, 3xx requests, 4xx fleet, 5xx the scheduler, 9xx faults. */
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
  jobAccepted: { number: 501, level: 'info', message: 'job is stored and accepted' },
  jobRefused: { number: 502, level: 'info', message: 'job is refused and never runs' },
  jobUnknown: { number: 503, level: 'warn', message: 'the store did not say whether a job was stored' },
  cancelTaken: { number: 504, level: 'info', message: 'cancelling of a job was stored, or not' },
  statusUnavailable: { number: 505, level: 'warn', message: 'no owner told the status of a job in time' },
  jobQueued: {
    number: 511,
    level: 'info',
    message: 'job was read from the log and waits for its tasks to start',
  },
  jobEnded: { number: 512, level: 'info', message: 'job is over' },
  jobForgotten: { number: 513, level: 'info', message: 'status of an ended job is kept no longer' },
  taskPlaced: {
    number: 521,
    level: 'info',
    message: 'task is given to a worker; it starts once that is stored',
  },
  taskEnded: { number: 522, level: 'info', message: 'run of a task is over' },
  taskStartRefused: { number: 523, level: 'warn', message: 'worker refused to start a task' },
  taskStopOrdered: { number: 524, level: 'info', message: 'run of a task is stopped' },
  strayRunStopped: {
    number: 525,
    level: 'warn',
    message: 'worker runs what is not recorded for it; it is stopped',
  },
  workerFound: { number: 531, level: 'info', message: 'worker is in the register and is asked for its runs' },
  workerLost: { number: 532, level: 'warn', message: 'life of a worker is over; its tasks wait again' },
  workerSilent: { number: 533, level: 'warn', message: 'worker does not answer' },
  workerBack: { number: 534, level: 'info', message: 'worker answers again' },
  workerEjected: { number: 535, level: 'warn', message: 'worker gets no tasks after failures' },
  leaseLapsed: {
    number: 536,
    level: 'warn',
    message: 'lease of a worker out of reach is over; its tasks wait again',
  },
  hostReleased: { number: 537, level: 'info', message: 'host is free of tasks for good' },
  serviceClaimed: { number: 541, level: 'info', message: 'this process owns a service now' },
  serviceGivenUp: { number: 542, level: 'info', message: 'this process no longer owns a service' },
  ownershipSuperseded: { number: 543, level: 'warn', message: 'another process has claimed a service' },
  placesDealt: { number: 544, level: 'info', message: 'the store dealt logs to this process' },
  claimRenewed: {
    number: 545,
    level: 'warn',
    message: 'this process claims a service again, so that late orders miss a new worker',
  },
  ownerLoad: { number: 546, level: 'info', message: 'what an owner has worked in since its last such line' },
  loopLate: { number: 547, level: 'warn', message: 'this process is late with what it has to do' },
  loopInTime: { number: 548, level: 'info', message: 'this process is in time again' },
  groupEntered: {
    number: 549,
    level: 'info',
    message: 'this process is to be dealt services; no stronger ones suffice',
  },
  groupLeft: { number: 550, level: 'info', message: 'this process leaves services to stronger ones' },
  claimDelayed: {
    number: 555,
    level: 'warn',
    message: 'claim of a service does not come on: the store gives no answer to it',
  },
  storeUnreachable: { number: 551, level: 'warn', message: 'the store cannot be read' },
  storeReachable: { number: 552, level: 'info', message: 'the store can be read again' },
  logUnreadable: { number: 553, level: 'warn', message: 'log of a service cannot be read' },
  hostListFailed: { number: 554, level: 'warn', message: 'the list of hosts cannot be read' },
  callerConnectionFailed: { number: 506, level: 'info', message: 'connection of a caller broke' },
  waveAsked: { number: 561, level: 'info', message: 'the operator asks for a maintenance wave' },
  releaseBegun: { number: 571, level: 'info', message: 'host is wanted; its worker gets no new tasks' },
  releaseWithdrawn: {
    number: 572,
    level: 'info',
    message: 'host is not wanted any more; its worker gets tasks again',
  },
  hostWanted: { number: 573, level: 'info', message: 'host is to move or to be maintained' },
  hostOrdered: { number: 574, level: 'info', message: 'order on a host is given' },
  hostOrderSettled: { number: 575, level: 'info', message: 'order on a host is answered' },
  hostBack: { number: 576, level: 'info', message: 'order on a host is over; the host is up' },
  waveBegun: { number: 577, level: 'info', message: 'maintenance wave is known and begins' },
  waveEnded: {
    number: 578,
    level: 'info',
    message: 'every host of a maintenance wave has begun its maintenance',
  },
  invariantViolated: { number: 901, level: 'error', message: 'something that must always hold does not' },
  unexpectedError: { number: 902, level: 'error', message: 'unexpected error' },
} as const satisfies Readonly<Record<string, LogEventEntry>>;

/** The name of a log event. */
export type LogEventName = keyof typeof LOG_EVENTS;
