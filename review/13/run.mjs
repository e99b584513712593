/** Jobs of a queue must still be known after its route was removed and added again under the same address. */
import { setTimeout as sleep } from 'node:timers/promises';
import { BROKEN, createRequester, HELD, NOT_RUN, runCase, stateOf, WITH_TROUBLE } from '../lib-3/case.mjs';

const QUEUE = 'orders';
const SETTLE_MS = 5_000;
const WORK_MS = 25_000;
const JOBS = 3;

/** Each version is in force before the next one is written. */
const BETWEEN_VERSIONS_MS = 5_000;

const JOB = {
  spec: JSON.stringify({ ms: WORK_MS }),
  steps: [{ count: 1, cpu: 1_000, memMb: 256, estimateMs: WORK_MS }],
};

async function play(system, note) {
  const submit = createRequester(system, QUEUE);
  await sleep(SETTLE_MS);
  const jobIds = [];
  for (let job = 0; job < JOBS; job += 1) jobIds.push(await submit(JOB));
  if (jobIds.includes(null)) return NOT_RUN;
  await sleep(system.bounds.visible_ms + 1_000);

  if (WITH_TROUBLE) system.configure(3, []);
  await sleep(BETWEEN_VERSIONS_MS);
  if (WITH_TROUBLE) system.configure(7, [{ name: 'route-orders-again', path: QUEUE, service: QUEUE }]);
  await sleep(BETWEEN_VERSIONS_MS);

  const answers = await Promise.all(
    jobIds.flatMap((jobId) => system.processes.map((node) => stateOf(system, QUEUE, jobId, node))),
  );
  const pending = await system.call(system.processes[0], 'GET', `/${QUEUE}/`);
  note('result', { answers, pending, running: [...system.workers.values()].flatMap((one) => one.running()) });
  if (pending.status !== 200) return NOT_RUN;
  return answers.includes(410) ? BROKEN : HELD;
}

await runCase(import.meta.url, {}, play);
