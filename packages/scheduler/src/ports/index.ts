/** The interfaces between the scheduler and the platform. */
export * from './callers.js';
export * from './hosts.js';
export * from './operator.js';
export * from './peers.js';
export * from './store.js';
export * from './workers.js';
