/** What the scripts of all cases share: their outcomes, and requesters that behave as the users' pages tell. */
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath, URL } from 'node:url';
import { openRecord, startSystem } from './system.mjs';

export const HELD = 0;
export const BROKEN = 1;
export const NOT_RUN = 2;

/** Whether the disruption is played; without it, the same play must pass. */
export const WITH_TROUBLE = process.env.TROUBLE !== '0';

const START_LIMIT_MS = 20_000;
const ATTEMPTS = 5;
const RETRY_MS = 300;

/** Waits until every process reports itself as ready; false if one does not in time. */
export async function waitUntilReady(system) {
  const until = performance.now() + START_LIMIT_MS;
  while (performance.now() < until) {
    const ready = await Promise.all(system.processes.map(system.isReady));
    if (ready.every(Boolean)) return true;
    await sleep(200);
  }
  return false;
}

/** Returns a function that submits a job at one node after the other until it is accepted; null if none accepts it. */
export function createRequester(system, queue) {
  let last = 0;
  return async (job) => {
    last += 1;
    const jobId = last.toString(16).padStart(16, '0');
    system.describe(jobId, job);
    for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
      const node = system.processes[attempt % system.processes.length];
      const { status } = await system.call(node, 'POST', `/${queue}/${jobId}`, job);
      if (status >= 200 && status < 300) return jobId;
      await sleep(RETRY_MS);
    }
    return null;
  };
}

/** Asks one node for the state of a job; returns the state, another status than 200, or null if no answer came. */
export async function stateOf(system, queue, jobId, node) {
  const { status, body } = await system.call(node, 'GET', `/${queue}/${jobId}`);
  return status === 200 ? body.state : status;
}

/** Plays a case on a new system, writes its record beside its module, and ends this process with its outcome. */
export async function runCase(moduleUrl, options, play) {
  const { note, entries } = openRecord(fileURLToPath(new URL('record.txt', moduleUrl)));
  let outcome = NOT_RUN;
  const system = await startSystem({ note, ...options });
  try {
    outcome = (await waitUntilReady(system)) ? await play(system, note, entries) : NOT_RUN;
    if (outcome === NOT_RUN) system.processes.forEach(({ name, log }) => note('log', { node: name, log }));
  } catch (error) {
    note('fault', { error: String(error) });
  } finally {
    await system.close();
  }
  note('outcome', { outcome });
  process.exit(outcome);
}
