/** A job that is sent again after its queue was given to another service must not run a second time. */
import { setTimeout as sleep } from 'node:timers/promises';
import { BROKEN, createRequester, HELD, NOT_RUN, runCase, stateOf, WITH_TROUBLE } from '../lib-3/case.mjs';

const QUEUE = 'orders';
const SERVICES = { orders: 4, others: 4 };
const SETTLE_MS = 5_000;
const WORK_MS = 20_000;
const JOBS = 3;

/** Each version is in force before the next one is written, and before the requests that are sent again. */
const BETWEEN_VERSIONS_MS = 2_500;

const JOB = {
  spec: JSON.stringify({ ms: WORK_MS }),
  steps: [{ count: 1, cpu: 1_000, memMb: 256, estimateMs: WORK_MS }],
};

/** Returns the runs that began while another run of the same work unit was at work. */
function findTwice(entries) {
  const atWork = new Map();
  const twice = [];
  entries.forEach(({ at, what, worker, task, run }) => {
    const others = atWork.get(task) ?? [];
    if (what === 'started') {
      if (others.length > 0) twice.push({ at, task, run, worker, others });
      atWork.set(task, [...others, `${worker}/${run}`]);
    }
    if (what === 'ended' || what === 'died') {
      atWork.set(
        task,
        others.filter((one) => one !== `${worker}/${run}`),
      );
    }
  });
  return twice;
}

async function play(system, note, entries) {
  const submit = createRequester(system, QUEUE);
  const [firstNode] = system.processes;
  await sleep(SETTLE_MS);
  const jobIds = [];
  for (let job = 0; job < JOBS; job += 1) jobIds.push(await submit(JOB));
  if (jobIds.includes(null)) return NOT_RUN;

  const others = { name: 'route-others', path: 'others', service: 'others' };
  const route = { name: 'route-orders', path: QUEUE };
  if (WITH_TROUBLE) system.configure(3, [others]);
  await sleep(BETWEEN_VERSIONS_MS);
  if (WITH_TROUBLE) system.configure(7, [{ ...route, service: 'others' }, others]);
  await sleep(BETWEEN_VERSIONS_MS);

  const again = await Promise.all(
    jobIds.map((jobId) => system.call(firstNode, 'POST', `/${QUEUE}/${jobId}`, JOB)),
  );
  await sleep(WORK_MS + SETTLE_MS);
  const states = await Promise.all(jobIds.map((jobId) => stateOf(system, QUEUE, jobId, firstNode)));
  const twice = findTwice(entries);
  note('result', { again: again.map(({ status }) => status), states, twice });
  return twice.length > 0 ? BROKEN : HELD;
}

await runCase(import.meta.url, { services: SERVICES }, play);
