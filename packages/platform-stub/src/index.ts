/** Stand-in for the platform. */
export { startPlatformStub, type PlatformStub } from './server.js';
