/** Access to the platform: log, host list and task leases. */
export * from './http-platform.js';
export * from './platform.js';
export * from './read-all.js';
export * from './record-schema.js';
export * from './snapshot-parts.js';
