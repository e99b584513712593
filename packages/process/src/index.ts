/** Process runtime shared by the gateway and the controller. */
export * from './bootstrap.js';
export * from './event-loop.js';
export * from './ports.js';
export * from './program.js';
export * from './runtime.js';
