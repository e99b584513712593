/** Writes numbered events as structured log lines. */
import bunyan from 'bunyan';
import type { LogOutput } from './log-output.js';
import { LOG_EVENTS, type LogEventName } from './log-events.js';

/** Additional fields of a log line, by name. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Writes one event of the catalogue with its fields. */
export type WriteEvent = (name: LogEventName, fields?: LogFields) => void;

/** Source, minimum level and output of log lines. */
export interface EventLogOptions {
  readonly program: string;
  readonly processId: string;
  readonly level: 'debug' | 'info' | 'warn' | 'error';
  /** Destination of the lines. Default: standard output, whose writes may block until its reader takes them. */
  readonly output?: Pick<LogOutput, 'write'>;
}

/** Creates the event log of a process, which writes one JSON object per line. */
export function createEventLog({ program, processId, level, output }: EventLogOptions): WriteEvent {
  const stream = (output ?? process.stdout) as NodeJS.WritableStream;
  const logger = bunyan.createLogger({ name: program, processId, streams: [{ level, stream }] });
  return (name, fields = {}) => {
    const { number, level: eventLevel, message } = LOG_EVENTS[name];
    logger[eventLevel]({ event: number, ...fields }, message);
  };
}
