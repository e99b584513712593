/** A register entry from another writer, whose address is none, appears while submissions run. */
import process from 'node:process';
import { hasBeenIdle } from '../lib/judge.mjs';
import { runCase, sleep, until } from '../lib/system.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const SERVICE = 'huvo11a';
const ROUTE = 'r-quote';
const WORKERS = 8;
const WORK_MS = 4_000;
const FINISH_MS = 14_000;
const RESTART_MS = 500;
const TRAFFIC_MS = 20_000;
const SUBMIT_EVERY_MS = 500;

/** The entry of a worker with one field of another type: its address is no address of IP version 4. */
function foreignEntry(system) {
  const [worker] = system.fleet.workers();
  return { ...worker.entry(), machine: 'm-90001', address: '10.128.0.300:8080' };
}

/** Restarts the processes that have ended, as the platform does. */
async function restartEnded(system, isOver) {
  while (!isOver()) {
    await sleep(RESTART_MS);
    system.nodes.filter(({ child }) => child === null).forEach(system.launch);
  }
}

/** The state of a submission by the first process that tells it; null if none does in time. */
async function askEveryProcess(system, id) {
  const answers = await Promise.all(
    system.nodes.map((node) => system.request(node, { method: 'GET', route: ROUTE, id })),
  );
  return answers.find(({ status }) => status === 200)?.body?.state ?? null;
}

async function play(system, { note, events, now }) {
  for (let index = 0; index < WORKERS; index += 1) await system.addWorker({ service: SERVICE });
  if (!(await until(() => system.ownerOf(SERVICE) !== null, 10_000))) return 2;
  await sleep(3_000);
  let isOver = false;
  const restarts = restartEnded(system, () => isOver);
  const body = { spec: 'quote', steps: [{ count: 2, cpu: 900, memMb: 1800, estimateMs: WORK_MS }] };
  const accepted = [];
  const since = now();
  for (let number = 0; now() - since < TRAFFIC_MS; number += 1) {
    const id = number.toString(16).padStart(16, 'a');
    const node = system.nodes[number % system.nodes.length];
    const answer = await system.submit({ node, route: ROUTE, id, body, workMs: () => WORK_MS });
    if (answer.status === 200) accepted.push(id);
    if (HAS_TROUBLE && number === 4) {
      const entry = foreignEntry(system);
      note('foreign-entry', { key: 'i-0c0ffee0', entry });
      system.store.write('keyed.servers', 'i-0c0ffee0', entry);
    }
    await sleep(SUBMIT_EVERY_MS);
  }
  if (accepted.length < 5) return 2;
  await sleep(FINISH_MS);
  const states = await Promise.all(accepted.map((id) => askEveryProcess(system, id)));
  isOver = true;
  await restarts;
  const open = accepted.filter((_, index) => states[index] !== 'completed');
  const idle = open.filter((id) => hasBeenIdle(events, id, now()));
  const unanswered = states.filter((state) => state === null).length;
  const ends = events.filter(({ kind, signal }) => kind === 'process-ended' && signal === null);
  note('result', { accepted: accepted.length, unanswered, idle: idle.length, ownEnds: ends.length });
  return unanswered + idle.length > 0 ? 1 : 0;
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
