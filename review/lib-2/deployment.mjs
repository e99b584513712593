/** A small deployment on loopback: a store, workers, and processes of the deployed program. */
import { appendFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { setTimeout } from 'node:timers';
import { setTimeout as sleep } from 'node:timers/promises';
import { startStore } from './store.mjs';
import { prepareSystem } from './system.mjs';
import { startMachines } from './workers.mjs';

export const HOST_NAME = 'orders.example';

/** The capacity of the site's workers. */
const CAPACITY = { cpu: 32_000, memMb: 65_536, gpu: 0 };
const START_TIMEOUT_MILLISECONDS = 20_000;
const READY_CHECK_MILLISECONDS = 200;
/** Time after which every process takes part in the group and each service has an owner. */
const SETTLING_MILLISECONDS = 4_000;
const LONGEST_PLAY_MILLISECONDS = 110_000;
const MILLISECONDS_PER_SECOND = 1_000;

/** Exit codes of a case. */
export const HELD = 0;
export const BROKEN = 1;
export const NOT_RUN = 2;

/** Whether the case is played with its disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** Writes the record of a case, one line for each thing sent, answered or run, with seconds since its start. */
export function openRecord(folder) {
  const path = join(folder, 'record.txt');
  const beganAt = performance.now();
  writeFileSync(path, '');
  const secondsOf = (at) => ((at - beganAt) / MILLISECONDS_PER_SECOND).toFixed(3);
  return {
    write: (text, at = performance.now()) => appendFileSync(path, `${secondsOf(at)} ${text}\n`),
    secondsOf,
  };
}

function configurationOf(services) {
  return {
    version: 1,
    routes: services.map((service) => ({
      name: `r-${service}`,
      host: HOST_NAME,
      pathPrefix: `/${service}/`,
      type: 'unsafe',
      timeoutMs: 3_000,
      targetRuntimeMs: 600,
      priority: 0,
      service,
      maxAttempts: 2,
      stretch: 1.6,
    })),
    services: services.map((name) => ({
      name,
      healthPath: '/healthz',
      maxConnections: 64,
      protocol: 'h1',
      tls: false,
      enforcesCapacity: true,
      standby: false,
    })),
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 262_144, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
  };
}

async function startProcesses({ nodes, start, isReady }) {
  nodes.forEach(start);
  const until = performance.now() + START_TIMEOUT_MILLISECONDS;
  while (!(await Promise.all(nodes.map(isReady))).every(Boolean)) {
    if (performance.now() > until) throw new Error('the processes are not ready in time');
    await sleep(READY_CHECK_MILLISECONDS);
  }
  await sleep(SETTLING_MILLISECONDS);
}

/**
 * Starts a deployment, plays a case on it and ends it. The process ends with the code that `play` returns, and with
 * `NOT_RUN` if it fails.
 */
export async function playCase({
  processes,
  services,
  workersPerService,
  record,
  play,
  observe = () => undefined,
  logFolder = process.env.LOGS ?? null,
}) {
  const store = await startStore();
  const machines = await startMachines({
    store,
    services: services.map((service) => ({ service, count: workersPerService, capacity: CAPACITY })),
    seen: (event) => {
      record.write(JSON.stringify(event));
      observe(event);
    },
  });
  store.put('keyed.op', 'config', configurationOf(services));
  const system = await prepareSystem({
    count: processes,
    store: store.address,
    cloud: machines.address,
    logFolder,
  });
  const end = (code) => {
    system.end();
    machines.close();
    store.close();
    process.exit(code);
  };
  ['SIGTERM', 'SIGINT'].forEach((signal) => process.on(signal, () => end(NOT_RUN)));
  setTimeout(() => {
    record.write('not run: it takes too long');
    end(NOT_RUN);
  }, LONGEST_PLAY_MILLISECONDS).unref();
  let code = NOT_RUN;
  try {
    await startProcesses(system);
    code = await play({ store, machines, system });
  } catch (error) {
    record.write(`not run: ${error.stack}`);
  }
  end(code);
}
