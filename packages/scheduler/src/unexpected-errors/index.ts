export { createBackgroundWork, type BackgroundWork } from './background-work.js';
export { guardHosts } from './guarded-hosts.js';
export { guardPeers } from './guarded-peers.js';
export { guardStore } from './guarded-store.js';
export { guardWorkers } from './guarded-workers.js';
export { createErrorReporter, type ReportUnexpectedError } from './report-unexpected-error.js';
