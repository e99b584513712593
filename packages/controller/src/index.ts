/** Controller process: manages pools, host moves, maintenance waves and job placement. */
export { buildController } from './container.js';
