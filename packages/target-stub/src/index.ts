/** Stand-in for a target with slots. */
export { startTargetStub, type HostMode, type HostReport, type TargetStub } from './server.js';
