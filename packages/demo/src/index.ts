/** Runs the whole system on loopback and prints a summary. */
export { describeFindings, findBroken, type DemoFindings } from './summary.js';
