/** Single workers crash one after the other, each time the one that runs a long work unit. */
import process from 'node:process';
import { runCase, sleep, until } from '../lib/system.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const SERVICE = 'huvo11a';
const ROUTE = 'r-recipe';
const JOB = '5c0e7a21d94b36f8';
const TASK = `${JOB}.0.0.0`;
const WORKERS = 8;
const WORK_MS = 8_000;
const CRASHES = 4;
const RUNS_FOR_MS = 2_000;
const DOWN_MS = 3_500;
const LIMIT_MS = 90_000;

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
  const body = { spec: 'recipe', steps: [{ count: 1, cpu: 1900, memMb: 7100, estimateMs: WORK_MS }] };
  const answer = await system.submit({ route: ROUTE, id: JOB, body, workMs: () => WORK_MS });
  if (answer.status !== 200) return 2;
  const runner = () =>
    system.fleet.workers().find((worker) => !worker.isGone() && worker.runningTasks().includes(TASK));
  let state = null;
  const ask = async () => {
    const status = await system.request(system.nodes[0], { method: 'GET', route: ROUTE, id: JOB });
    state = status.body?.state ?? null;
    return state === 'completed' || state === 'failed';
  };
  for (let number = 1; HAS_TROUBLE && number <= CRASHES; number += 1) {
    if (!(await until(() => runner() !== undefined, 20_000))) break;
    await sleep(RUNS_FOR_MS);
    const worker = runner();
    note('crash', { number, worker: worker.id });
    void crash(system, worker);
    await sleep(DOWN_MS);
  }
  await until(async () => {
    await sleep(500);
    return ask();
  }, LIMIT_MS - now());
  const failedEnds = events.filter(
    ({ kind, task, how }) => kind === 'end' && task === TASK && how === 'failed',
  );
  const isBroken = state === 'failed' && failedEnds.length < 3;
  note('result', { state, failedEnds: failedEnds.length, isBroken });
  return isBroken ? 1 : 0;
}

await runCase({
  folder: import.meta.dirname,
  deployment: {
    processes: 3,
    services: [{ name: SERVICE }],
    routes: [
      { name: ROUTE, host: 'pule25.example', pathPrefix: '/kafi706/', service: SERVICE, maxAttempts: 3 },
    ],
  },
  play,
});
