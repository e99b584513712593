/** A wide submission is accepted among small ones; the record of its progress exceeds the record limit of the store. */
import process from 'node:process';
import { hasBeenIdle } from '../lib/judge.mjs';
import { runCase, sleep, until } from '../lib/system.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const SERVICE = 'huvo11a';
const ROUTE = 'r-quote';
const WORKERS = 8;
const WORK_MS = 900;
const WIDE = 'b'.repeat(16);
const WIDE_UNITS = 9_000;
const WIDE_AFTER = 4;
const SUBMISSIONS = 20;
const SUBMIT_EVERY_MS = 1_000;
const FINISH_MS = 14_000;

async function play(system, { note, events, now }) {
  for (let index = 0; index < WORKERS; index += 1) {
    await system.addWorker({ service: SERVICE, capacity: { cpu: 64_000, memMb: 262_144, gpu: 0 } });
  }
  if (!(await until(() => system.ownerOf(SERVICE) !== null, 10_000))) return 2;
  await sleep(3_000);
  const submit = (id, count, needs) =>
    system.submit({
      route: ROUTE,
      id,
      body: { spec: 'quote', steps: [{ count, ...needs, estimateMs: WORK_MS }] },
      workMs: () => WORK_MS,
    });
  const accepted = [];
  for (let number = 1; number <= SUBMISSIONS; number += 1) {
    const id = number.toString(16).padStart(16, '0');
    const answer = await submit(id, 4, { cpu: 900, memMb: 1800 });
    if (answer.status === 200) accepted.push(id);
    if (HAS_TROUBLE && number === WIDE_AFTER) {
      const wide = await submit(WIDE, WIDE_UNITS, { cpu: 50, memMb: 20 });
      if (wide.status !== 200) return 2;
    }
    await sleep(SUBMIT_EVERY_MS);
  }
  if (accepted.length <= WIDE_AFTER) return 2;
  await sleep(FINISH_MS);
  const states = await Promise.all(
    accepted.map((id) => system.request(system.nodes[0], { method: 'GET', route: ROUTE, id })),
  );
  const open = accepted.filter((_, index) => states[index].body?.state !== 'completed');
  const idle = open.filter((id) => hasBeenIdle(events, id, now()));
  const refused = events.filter(({ kind }) => kind === 'store-refused').length;
  note('result', {
    accepted: accepted.length,
    open: open.length,
    idle: idle.length,
    refusedAppends: refused,
  });
  return idle.length > 0 ? 1 : 0;
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
