/** Writes numbered events as structured log lines. */
import bunyan from 'bunyan';
import type { LogOutput } from './log-output.js';
import { LOG_EVENTS, type LogEventName } from './log-events.js';

/** Names and values that go with an event. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Writes one event. */
export type WriteEvent = (name: LogEventName, fields?: LogFields) => void;

/** Where log lines come from and how many are written. */
export interface EventLogOptions {
  readonly program: string;
  readonly processId: string;
  readonly level: 'debug' | 'info' | 'warn' | 'error';
  /** Takes the lines; standard output where it is left out, which waits for its reader. */
  readonly output?: Pick<LogOutput, 'write'>;
}

/** Creates the log of a process, one JSON object a line on standard output. */
export function createEventLog({ program, processId, level, output }: EventLogOptions): WriteEvent {
  const stream = (output ?? process.stdout) as NodeJS.WritableStream;
  const logger = bunyan.createLogger({ name: program, processId, streams: [{ level, stream }] });
  return (name, fields = {}) => {
    const { number, level: eventLevel, message } = LOG_EVENTS[name];
    logger[eventLevel]({ event: number, ...fields }, message);
  };
}
