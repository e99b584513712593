/** Runs several processes of the system in virtual time. */
export * from './decision-log.js';
export * from './emulator.js';
export * from './fleet-of.js';
export * from './random.js';
export * from './random-actions.js';
export * from './random-run.js';
export * from './schedule.js';
export * from './virtual-callers.js';
export * from './virtual-host.js';
export * from './virtual-process.js';
