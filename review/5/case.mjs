/** A worker crashes once under a work unit that has just started, while each other worker runs one long work unit. */
import process from 'node:process';
import { hasBeenIdle } from '../lib/judge.mjs';
import { runCase, sleep, until } from '../lib/system.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const SERVICE = 'huvo11a';
const ROUTE = 'r-recipe';
const LONG = '1111111111111111';
const JOB = '5c0e7a21d94b36f8';
const TASK = `${JOB}.0.0.0`;
const WORKERS = 8;
const LONG_MS = 45_000;
const WORK_MS = 1_400;
const CRASH_AFTER_MS = 200;
const DOWN_MS = 3_500;
const FINISH_MS = 14_000;

async function play(system, { note, events, now }) {
  for (let index = 0; index < WORKERS; index += 1) await system.addWorker({ service: SERVICE });
  if (!(await until(() => system.ownerOf(SERVICE) !== null, 10_000))) return 2;
  await sleep(3_000);
  const long = {
    spec: 'long',
    steps: [{ count: WORKERS, cpu: 1_900, memMb: 7_100, estimateMs: LONG_MS, maxPerServer: 1 }],
  };
  const first = await system.submit({ route: ROUTE, id: LONG, body: long, workMs: () => LONG_MS });
  if (first.status !== 200) return 2;
  const starts = () => events.filter(({ kind }) => kind === 'start');
  if (!(await until(() => starts().length === WORKERS, 10_000))) return 2;
  await sleep(3_000);
  const body = { spec: 'recipe', steps: [{ count: 1, cpu: 1_900, memMb: 7_100, estimateMs: WORK_MS }] };
  const answer = await system.submit({ route: ROUTE, id: JOB, body, workMs: () => WORK_MS });
  if (answer.status !== 200) return 2;
  const runner = () => system.fleet.workers().find((w) => !w.isGone() && w.runningTasks().includes(TASK));
  if (HAS_TROUBLE) {
    if (!(await until(() => runner() !== undefined, 5_000))) return 2;
    await sleep(CRASH_AFTER_MS);
    const worker = runner();
    if (worker === undefined) return 2;
    const { machine, zone } = worker;
    const rack = worker.entry().labels[1];
    note('crash', { worker: worker.id });
    worker.crash();
    await sleep(DOWN_MS);
    system.fleet.expire(worker);
    await system.addWorker({ service: SERVICE, machine, zone, rack });
  }
  await sleep(FINISH_MS);
  const state = await system.request(system.nodes[0], { method: 'GET', route: ROUTE, id: JOB });
  const isIdle = state.body?.state !== 'completed' && hasBeenIdle(events, JOB, now());
  note('result', { state: state.body?.state, isIdle });
  return isIdle ? 1 : 0;
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
