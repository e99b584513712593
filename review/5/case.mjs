/** Single workers crash shortly after each other, each time the one that has just started a work unit that lasts. */
import process from 'node:process';
import { findAvail } from '../lib/judge.mjs';
import { runCase, sleep, until } from '../lib/system.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const SERVICE = 'huvo11a';
const ROUTE = 'r-recon';
const JOB = '5c0e7a21d94b36f8';
const UNITS = 5;
const MAY_MISS = 1;
const TASK = `${JOB}.0.0.0`;
const WORKERS = 8;
const CRASHES = 3;
const DOWN_MS = 300;
const AT_WORK_MS = 6_000;
const AFTER_MS = 10_000;

/** Crashes a worker; another life of its machine follows after `DOWN_MS`. */
async function crash(system, worker) {
  const { machine, zone } = worker;
  const rack = worker.entry().labels[1];
  worker.crash();
  await sleep(DOWN_MS);
  system.fleet.expire(worker);
  await system.addWorker({ service: SERVICE, machine, zone, rack });
}

async function play(system, { note, events, now }) {
  for (let index = 0; index < WORKERS; index += 1) await system.addWorker({ service: SERVICE });
  if (!(await until(() => system.ownerOf(SERVICE) !== null, 10_000))) return 2;
  await sleep(3_000);
  const step = {
    count: UNITS,
    cpu: 1_800,
    memMb: 8_700,
    longRunning: true,
    maxPerServer: 1,
    mayMiss: MAY_MISS,
  };
  const body = { spec: 'recon', steps: [step] };
  const answer = await system.submit({ route: ROUTE, id: JOB, body, workMs: () => Infinity });
  if (answer.status !== 200) return 2;
  const starts = () => events.filter(({ kind, task }) => kind === 'start' && task === TASK);
  if (!(await until(() => events.filter(({ kind }) => kind === 'start').length === UNITS, 10_000))) return 2;
  await sleep(AT_WORK_MS);
  const runner = () =>
    system.fleet.workers().find((worker) => !worker.isGone() && worker.runningTasks().includes(TASK));
  for (let number = 0; HAS_TROUBLE && number <= CRASHES; number += 1) {
    const worker = runner();
    if (worker === undefined) return 2;
    note('crash', { number, worker: worker.id });
    const known = starts().length;
    void crash(system, worker);
    if (number < CRASHES && !(await until(() => starts().length > known, 20_000))) return 2;
  }
  await sleep(AFTER_MS);
  const state = await system.request(system.nodes[0], { method: 'GET', route: ROUTE, id: JOB });
  const breaks = findAvail(events, { mayMiss: MAY_MISS });
  breaks.forEach(({ at, ...fields }) => note('AVAIL', { endedAt: Math.round(at), ...fields }));
  note('result', { state: state.body?.state, breaks: breaks.length, at: Math.round(now()) });
  return breaks.length > 0 ? 1 : 0;
}

await runCase({
  folder: import.meta.dirname,
  deployment: {
    processes: 3,
    services: [{ name: SERVICE }],
    routes: [
      { name: ROUTE, host: 'pule25.example', pathPrefix: '/kafi706/', service: SERVICE, maxAttempts: 2 },
    ],
  },
  play,
});
