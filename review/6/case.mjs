/**
 * Crashes one worker after the other, whatever it runs, and asks for the state of long jobs. No run ends as `failed`, so
 * that no job may be shown as failed.
 */
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';
import { BROKEN, HELD, HOST_NAME, hasTrouble, openRecord, playCase } from '../lib-2/deployment.mjs';
import { call } from '../lib-2/http.mjs';

const PROCESSES = 2;
const SERVICE = 'desk';
const WORKERS = 8;

/** Jobs that keep less than half of the workers' cores busy. */
const JOBS = 10;
const JOB_INTERVAL_MILLISECONDS = 4_000;
const TASKS_PER_JOB = 8;
const TASK_MILLISECONDS = 6_000;
const TASK_MILLICORES = 2_000;
const TASK_MEGABYTES = 4_000;

/** One of eight workers is down at a time, a share below 0.15; its machine is back before the next one crashes. */
const CRASH_INTERVAL_MILLISECONDS = 1_600;
const DOWN_MILLISECONDS = 1_500;
const CRASHES_MILLISECONDS = 45_000;
const PLAY_MILLISECONDS = 85_000;

const CRASH_SEED = 1;

/** Linear congruential generator; its products stay below the largest safe integer. */
const MULTIPLIER = 16_807;
const INCREMENT = 12_345;
const MODULUS = 2_147_483_647;

const QUESTION_INTERVAL_MILLISECONDS = 500;

const record = openRecord(import.meta.dirname);

const jobIds = Array.from({ length: JOBS }, (_, index) => `00000000000000b${index}`);

/** Returns pseudo-random numbers from 0 to 1, the same ones for the same seed. */
function* randomNumbers(seed) {
  let state = seed;
  for (;;) {
    state = (state * MULTIPLIER + INCREMENT) % MODULUS;
    yield state / MODULUS;
  }
}

async function submit(node, jobId) {
  const body = JSON.stringify({
    spec: `work=${TASK_MILLISECONDS} cpu=${TASK_MILLICORES} mem=${TASK_MEGABYTES}`,
    steps: [
      { count: TASKS_PER_JOB, cpu: TASK_MILLICORES, memMb: TASK_MEGABYTES, estimateMs: TASK_MILLISECONDS },
    ],
  });
  const answer = await call({
    port: node.frontend,
    method: 'POST',
    path: `/${SERVICE}/${jobId}`,
    headers: { host: HOST_NAME, 'content-type': 'application/json' },
    body,
  });
  record.write(`submitted ${jobId}: ${JSON.stringify(answer)}`);
  if (answer.status !== 200) throw new Error('a job was not accepted');
}

async function crashWorkers(machines, until) {
  const random = randomNumbers(CRASH_SEED);
  while (performance.now() < until) {
    const up = machines.workers(SERVICE);
    const machine = up[Math.floor(random.next().value * up.length)];
    record.write(
      `crash of ${machine.machine}, ${machine.life.id} with ${machine.life.running().length} tasks`,
    );
    machines.crash(machine, DOWN_MILLISECONDS);
    await sleep(CRASH_INTERVAL_MILLISECONDS);
  }
}

async function askState(node, jobId) {
  const answer = await call({
    port: node.frontend,
    method: 'GET',
    path: `/${SERVICE}/${jobId}`,
    headers: { host: HOST_NAME, deadline: '3000' },
  });
  record.write(`state of ${jobId}: ${JSON.stringify(answer)}`);
  return answer.body?.state ?? null;
}

async function play({ machines, system }) {
  const [node] = system.nodes;
  const beganAt = performance.now();
  if (hasTrouble) void crashWorkers(machines, beganAt + CRASHES_MILLISECONDS);
  const states = new Map();
  const isOpen = (jobId) => !['completed', 'failed'].includes(states.get(jobId));
  const submitAll = async () => {
    for (const jobId of jobIds) {
      await submit(node, jobId);
      states.set(jobId, 'queued');
      await sleep(JOB_INTERVAL_MILLISECONDS);
    }
  };
  const submitting = submitAll();
  while (jobIds.some(isOpen) && performance.now() < beganAt + PLAY_MILLISECONDS) {
    await sleep(QUESTION_INTERVAL_MILLISECONDS);
    for (const jobId of [...states.keys()].filter(isOpen)) states.set(jobId, await askState(node, jobId));
  }
  await submitting;
  const failed = jobIds.filter((jobId) => states.get(jobId) === 'failed');
  const summary = `${failed.length} of ${JOBS} jobs are shown as failed, and no run ended as failed`;
  record.write(`${summary}; states: ${[...states.values()].join(', ')}`);
  process.stdout.write(`${summary}\n`);
  return failed.length > 0 ? BROKEN : HELD;
}

await playCase({
  processes: PROCESSES,
  services: [SERVICE],
  workersPerService: WORKERS,
  record,
  play,
});
