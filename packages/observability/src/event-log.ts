/** Writes numbered events as structured log lines. */
import bunyan from 'bunyan';
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
}

/** Creates the log of a process, one JSON object a line on standard output. */
export function createEventLog({ program, processId, level }: EventLogOptions): WriteEvent {
  const logger = bunyan.createLogger({ name: program, processId, level });
  return (name, fields = {}) => {
    const { number, level: eventLevel, message } = LOG_EVENTS[name];
    logger[eventLevel]({ event: number, ...fields }, message);
  };
}
