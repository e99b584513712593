export * from './clock.js';
export * from './configuration.js';
export * from './identity.js';
export * from './peer-message.js';
export * from './record.js';
export * from './request.js';
export * from './run-steps.js';
