/** Runs the whole system as plain processes on loopback. */
export * from './fault-proxy.js';
export * from './launch.js';
export * from './layout.js';
export * from './system.js';
export * from './traffic.js';
