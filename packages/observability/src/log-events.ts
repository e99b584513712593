/** Catalogue of numbered log events. docs/LOG-EVENTS.md lists the same entries; a test compares the two. */

/** Number, level and message of one log event. */
export interface LogEventEntry {
  readonly number: number;
  readonly level: 'debug' | 'info' | 'warn' | 'error';
  readonly message: string;
}

/** Every log event: 1xx processes, 2xx log and peers, 3xx requests, 4xx fleet, 5xx scheduler, 9xx faults. */
export const LOG_EVENTS = {
  processStarted: { number: 101, level: 'info', message: 'process started' },
  processStopping: { number: 102, level: 'info', message: 'stop requested; finishing work in progress' },
  processStopped: { number: 103, level: 'info', message: 'process stopped' },
  startFailed: { number: 104, level: 'error', message: 'process failed to start' },
  processLapsed: {
    number: 105,
    level: 'warn',
    message: 'no contact with the log or a peer within the timeout; no new work is started',
  },
  processRecovered: { number: 106, level: 'info', message: 'contact with the log or a peer restored' },
  settingsRead: {
    number: 107,
    level: 'info',
    message: 'settings file read again; changes take effect at the next start',
  },
  settingsRejected: {
    number: 108,
    level: 'warn',
    message: 'changed settings file is not valid; the settings in force are kept',
  },
  logUnreachable: { number: 201, level: 'warn', message: 'log cannot be read' },
  logReachable: { number: 202, level: 'info', message: 'log can be read again' },
  recordGap: {
    number: 203,
    level: 'error',
    message: 'records are missing from the log; later records are not folded',
  },
  recordUnreadable: {
    number: 204,
    level: 'warn',
    message: 'record has a kind that this version cannot read',
  },
  appendFailed: { number: 205, level: 'warn', message: 'append refused, or its answer was lost' },
  peerFault: { number: 206, level: 'warn', message: 'peer connection closed because of invalid input' },
  peerLinked: { number: 207, level: 'debug', message: 'peer connected' },
  snapshotWritten: { number: 208, level: 'info', message: 'snapshot written' },
  platformCallFailed: { number: 209, level: 'warn', message: 'platform call failed' },
  bootstrapped: { number: 210, level: 'info', message: 'state restored' },
  recordTooLarge: {
    number: 211,
    level: 'error',
    message: 'record exceeds the limit of the store; the outcome field says what is stored of it',
  },
  requestRefused: { number: 301, level: 'info', message: 'request refused' },
  attemptRetried: { number: 302, level: 'info', message: 'request retried on another target' },
  targetEjected: { number: 303, level: 'warn', message: 'target ejected after failures' },
  targetReturned: { number: 304, level: 'info', message: 'ejected target is healthy again' },
  dispatcherChanged: {
    number: 305,
    level: 'info',
    message: 'another gateway is now the dispatcher of a pool',
  },
  malformedRequest: { number: 306, level: 'info', message: 'malformed request from a caller' },
  configurationInForce: { number: 401, level: 'info', message: 'configuration in force' },
  commandRejected: { number: 402, level: 'info', message: 'command rejected' },
  drainPermitted: { number: 403, level: 'info', message: 'drain permitted' },
  wavePaused: { number: 404, level: 'warn', message: 'maintenance wave paused automatically' },
  jobAccepted: { number: 501, level: 'info', message: 'job stored and accepted' },
  jobRefused: { number: 502, level: 'info', message: 'job refused; it will never run' },
  jobUnknown: {
    number: 503,
    level: 'warn',
    message: 'job submission outcome unknown: store did not confirm the append',
  },
  cancelTaken: {
    number: 504,
    level: 'info',
    message: 'append of a job cancellation ended; the outcome field gives the result',
  },
  statusUnavailable: {
    number: 505,
    level: 'warn',
    message: 'job status unavailable: no owner answered in time',
  },
  callsUnauthenticated: {
    number: 507,
    level: 'info',
    message: 'calls refused with 401 because of their key, by queue and reason',
  },
  queueHomeRecorded: {
    number: 508,
    level: 'info',
    message: 'service recorded whose inbox takes all jobs of the queue',
  },
  jobQueued: {
    number: 511,
    level: 'info',
    message: 'job read from the log; its tasks are waiting to start',
  },
  jobEnded: { number: 512, level: 'info', message: 'job ended' },
  jobForgotten: { number: 513, level: 'info', message: 'status of an ended job deleted' },
  jobFailed: {
    number: 514,
    level: 'warn',
    message: 'job failed; the fields give the evidence and the limits in force',
  },
  jobForwarded: { number: 515, level: 'info', message: 'job passed to the service that schedules it' },
  taskPlaced: {
    number: 521,
    level: 'info',
    message: 'task assigned to a worker; it starts after the assignment is stored',
  },
  taskEnded: { number: 522, level: 'info', message: 'run of a task ended' },
  taskStartRefused: { number: 523, level: 'warn', message: 'worker refused to start a task' },
  taskStopOrdered: { number: 524, level: 'info', message: 'stopping a run of a task' },
  strayRunStopped: {
    number: 525,
    level: 'warn',
    message: 'worker reported a run that is not recorded for it; stopping the run',
  },
  lastingTaskWaits: {
    number: 526,
    level: 'warn',
    message: 'lasting tasks wait; the counts are workers that have capacity for one of them',
  },
  taskQuarantined: {
    number: 527,
    level: 'warn',
    message: 'worker crashed under a task; the task runs alone until it has shown to be sound',
  },
  workerFound: { number: 531, level: 'info', message: 'worker found in the register; requesting its runs' },
  workerLost: {
    number: 532,
    level: 'warn',
    message: 'incarnation of a worker ended; its tasks wait for another worker',
  },
  workerSilent: { number: 533, level: 'warn', message: 'worker does not answer' },
  workerBack: { number: 534, level: 'info', message: 'worker answers again' },
  workerEjected: { number: 535, level: 'warn', message: 'worker ejected after failures; it gets no tasks' },
  leaseLapsed: {
    number: 536,
    level: 'warn',
    message: 'lease of an unreachable worker expired; its tasks wait for another worker',
  },
  hostReleased: {
    number: 537,
    level: 'info',
    message: 'host released: it runs no tasks and gets no new ones',
  },
  serviceClaimed: { number: 541, level: 'info', message: 'this process now owns a service' },
  serviceGivenUp: { number: 542, level: 'info', message: 'this process no longer owns a service' },
  ownershipSuperseded: {
    number: 543,
    level: 'info',
    message: 'ownership superseded by the claim of another process',
  },
  partitionsAssigned: {
    number: 544,
    level: 'info',
    message: 'store assigned log partitions to this process',
  },
  claimRenewed: {
    number: 545,
    level: 'warn',
    message: 'service claimed again to fence delayed orders to a restarted worker',
  },
  ownerLoad: {
    number: 546,
    level: 'info',
    message: 'load of an owner since its previous load report',
  },
  warmedUp: { number: 556, level: 'info', message: 'warm-up of the scheduler code is complete' },
  loopLate: { number: 547, level: 'warn', message: 'event loop is late: timers fire behind schedule' },
  loopInTime: { number: 548, level: 'info', message: 'event loop is on schedule again' },
  groupEntered: {
    number: 549,
    level: 'info',
    message: 'this process is now a candidate for services: stronger processes do not suffice',
  },
  groupLeft: {
    number: 550,
    level: 'info',
    message: 'this process is no longer a candidate for services: stronger processes suffice',
  },
  claimDelayed: {
    number: 555,
    level: 'warn',
    message: 'claim delayed: store did not respond',
  },
  storeUnreachable: { number: 551, level: 'warn', message: 'store cannot be read' },
  storeReachable: { number: 552, level: 'info', message: 'store can be read again' },
  logUnreadable: { number: 553, level: 'warn', message: 'log of a service cannot be read' },
  hostListFailed: { number: 554, level: 'warn', message: 'host list cannot be read' },
  callerConnectionFailed: { number: 506, level: 'info', message: 'connection of a caller failed' },
  relaysOn: { number: 557, level: 'info', message: 'processor is short: orders may go through relays' },
  relaysOff: { number: 558, level: 'info', message: 'processor suffices again: orders are sent directly' },
  relaysChosen: { number: 559, level: 'info', message: 'processes that relay orders to workers changed' },
  relayFailed: {
    number: 560,
    level: 'warn',
    message: 'relay failed or refused orders; its workers are called directly for a while',
  },
  waveAsked: { number: 561, level: 'info', message: 'operator requested a maintenance wave' },
  ownershipUnproven: {
    number: 562,
    level: 'warn',
    message: 'store has not confirmed the ownership for too long: no orders to workers',
  },
  ownershipProven: {
    number: 563,
    level: 'info',
    message: 'ownership confirmed again: orders to workers resume',
  },
  workersReached: {
    number: 564,
    level: 'info',
    message: 'all workers have answered the new owner, or 5 s have passed since its claim',
  },
  releaseBegun: { number: 571, level: 'info', message: 'host release started; its worker gets no new tasks' },
  releaseWithdrawn: {
    number: 572,
    level: 'info',
    message: 'host release cancelled; its worker gets tasks again',
  },
  hostWanted: { number: 573, level: 'info', message: 'host selected for a move or maintenance' },
  hostOrdered: { number: 574, level: 'info', message: 'order for a host sent' },
  hostOrderSettled: { number: 575, level: 'info', message: 'order for a host answered' },
  hostBack: { number: 576, level: 'info', message: 'order for a host completed; host is up' },
  waveBegun: { number: 577, level: 'info', message: 'maintenance wave started' },
  waveEnded: {
    number: 578,
    level: 'info',
    message: 'every host of a maintenance wave has started its maintenance',
  },
  interferenceFound: {
    number: 591,
    level: 'info',
    message: 'tasks of one image slow down tasks of another; they are kept apart',
  },
  interferenceDropped: {
    number: 592,
    level: 'info',
    message: 'tasks of two images are no longer known to interfere',
  },
  workerPaceChanged: {
    number: 593,
    level: 'info',
    message: 'pace of the filling tasks on a worker changed',
  },
  paceUnanswered: { number: 594, level: 'info', message: 'pace order was not answered; it is sent again' },
  invariantViolated: { number: 901, level: 'error', message: 'invariant violated' },
  unexpectedError: { number: 902, level: 'error', message: 'unexpected error' },
} as const satisfies Readonly<Record<string, LogEventEntry>>;

/** Name of a log event, as callers of `WriteEvent` give it. */
export type LogEventName = keyof typeof LOG_EVENTS;
