/** Numbered log events, metrics, traces and the admin server. */
export * from './admin-server.js';
export * from './event-log.js';
export * from './log-events.js';
export * from './log-output.js';
export * from './metrics.js';
export * from './process-measures.js';
export * from './tracing.js';
