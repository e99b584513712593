/** The store is down for 4.5 s, in which more than 500 work units of one worker end. */
import process from 'node:process';
import { findTwice } from '../lib/judge.mjs';
import { runCase, sleep, until } from '../lib/system.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const UNITS = 640;
const WORK_MS = 6_000;
const OUTAGE_MS = 4_500;
const JOB = '5c0e7a21d94b36f8';
const SERVICE = 'huvo11a';
const ROUTE = 'r-quote';
const LIMIT_MS = 90_000;

async function play(system, { note, events, now }) {
  const count = (wanted) => events.filter(({ kind }) => kind === wanted).length;
  for (let index = 0; index < 2; index += 1) {
    await system.addWorker({ service: SERVICE, capacity: { cpu: 64_000, memMb: 262_144, gpu: 0 } });
  }
  if (!(await until(() => system.ownerOf(SERVICE) !== null, 10_000))) return 2;
  await sleep(3_000);
  const body = { spec: 'quote', steps: [{ count: UNITS, cpu: 100, memMb: 64, estimateMs: WORK_MS }] };
  const answer = await system.submit({ route: ROUTE, id: JOB, body, workMs: () => WORK_MS });
  if (answer.status !== 200) return 2;
  if (!(await until(() => count('start') >= UNITS, 20_000))) return 2;
  if (HAS_TROUBLE) {
    const first = events.find(({ kind }) => kind === 'start');
    await until(() => now() > first.at + WORK_MS - 300, 10_000);
    if (count('noted') > 0) return 2;
    note('store-down');
    system.store.setDown(true);
    await sleep(OUTAGE_MS);
    system.store.setDown(false);
    note('store-up');
  }
  const isCompleted = async () => {
    const state = await system.request(system.nodes[0], { method: 'GET', route: ROUTE, id: JOB });
    if (state.body?.state === 'completed') return true;
    await sleep(500);
    return false;
  };
  const completed = await until(isCompleted, LIMIT_MS - now());
  note('result', { completed, starts: count('start'), units: UNITS });
  const breaks = findTwice(events);
  breaks.forEach(({ at, ...fields }) => note('TWICE', { startedAt: Math.round(at), ...fields }));
  note('breaks', { number: breaks.length });
  return breaks.length > 0 ? 1 : 0;
}

await runCase({
  folder: import.meta.dirname,
  deployment: {
    processes: 3,
    services: [{ name: SERVICE }],
    routes: [
      { name: ROUTE, host: 'pule25.example', pathPrefix: '/puxa400/', service: SERVICE, maxAttempts: 3 },
    ],
  },
  play,
});
