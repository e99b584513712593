/**
 * A worker crashes once, under the small tasks of fifteen jobs that it has just started. The jobs must go on in time, since all
 * workers have room for them.
 */
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';
import { BROKEN, HELD, HOST_NAME, hasTrouble, openRecord, playCase } from '../lib-2/deployment.mjs';
import { call } from '../lib-2/http.mjs';

const PROCESSES = 2;
const SERVICE = 'desk';

/** One worker of eight crashes: a share of 0.125, below the 0.14 of the site's `srv_crash`. */
const WORKERS = 8;
const DOWN_MILLISECONDS = 1_500;
const CRASH_AFTER_MILLISECONDS = 400;

/** Jobs of four tasks with the needs and the duration of the examples in PROTOCOL.md; all tasks fit on one worker. */
const JOBS = 15;
const TASKS_PER_JOB = 4;
const TASK_MILLICORES = 500;
const TASK_MEGABYTES = 256;
const TASK_MILLISECONDS = 7_000;

/** The rule: 14 s after the last job was submitted, none may stand still for 3 s. */
const FINISH_MILLISECONDS = 14_000;
const STILL_MILLISECONDS = 3_000;
const MARGIN_MILLISECONDS = 250;

const PLAY_MILLISECONDS = 60_000;
const LOOK_MILLISECONDS = 100;

const record = openRecord(import.meta.dirname);
const jobIds = Array.from({ length: JOBS }, (_, index) => `00000000000000${(0x20 + index).toString(16)}`);

/** Tasks that have ended as done. */
const doneTasks = new Set();

function observe({ event, task, how }) {
  if (event === 'end' && how === 'done') doneTasks.add(task);
}

async function submit(node, jobId) {
  const needs = { cpu: TASK_MILLICORES, memMb: TASK_MEGABYTES };
  const answer = await call({
    port: node.frontend,
    method: 'POST',
    path: `/${SERVICE}/${jobId}`,
    headers: { host: HOST_NAME, 'content-type': 'application/json' },
    body: JSON.stringify({
      spec: `work=${TASK_MILLISECONDS} cpu=${needs.cpu} mem=${needs.memMb}`,
      steps: [{ count: TASKS_PER_JOB, ...needs, estimateMs: TASK_MILLISECONDS }],
    }),
  });
  record.write(`submitted ${jobId}: ${JSON.stringify(answer)}`);
  if (answer.status !== 200) throw new Error('a job was not accepted');
}

async function askState(node, jobId) {
  const answer = await call({
    port: node.frontend,
    method: 'GET',
    path: `/${SERVICE}/${jobId}`,
    headers: { host: HOST_NAME, deadline: '3000' },
  });
  return answer.body?.state ?? null;
}

function crashBusiest(machines) {
  const machine = machines
    .workers(SERVICE)
    .reduce((busiest, one) => (one.life.running().length > busiest.life.running().length ? one : busiest));
  record.write(`crash of ${machine.life.id} with ${machine.life.running().length} tasks`);
  machines.crash(machine, DOWN_MILLISECONDS);
}

function isDone(jobId) {
  return Array.from({ length: TASKS_PER_JOB }, (_, index) => `${jobId}.0.0.${index}`).every((task) =>
    doneTasks.has(task),
  );
}

/** Returns the jobs that are not done and of which nothing runs. */
function findStill(machines) {
  const running = new Set(
    machines.workers(SERVICE).flatMap(({ life }) => life.running().map((task) => task.split('.')[0])),
  );
  return jobIds.filter((jobId) => !isDone(jobId) && !running.has(jobId));
}

/** Watches until all jobs are done, and returns the jobs that stood still for too long after the finish time. */
async function watch(machines, submittedAt) {
  const stillSince = new Map();
  const broken = new Set();
  const from = submittedAt + FINISH_MILLISECONDS;
  while (!jobIds.every(isDone) && performance.now() < submittedAt + PLAY_MILLISECONDS) {
    const now = performance.now();
    const still = new Set(findStill(machines));
    [...stillSince.keys()].filter((jobId) => !still.has(jobId)).forEach((jobId) => stillSince.delete(jobId));
    still.forEach((jobId) => {
      const since = stillSince.get(jobId) ?? now;
      stillSince.set(jobId, since);
      const stillMilliseconds = now - Math.max(since, from);
      if (stillMilliseconds <= STILL_MILLISECONDS + MARGIN_MILLISECONDS || broken.has(jobId)) return;
      broken.add(jobId);
      record.write(`${jobId} has had nothing running since ${record.secondsOf(since)}`);
    });
    await sleep(LOOK_MILLISECONDS);
  }
  return broken;
}

async function play({ machines, system }) {
  const [node] = system.nodes;
  await Promise.all(jobIds.map((jobId) => submit(node, jobId)));
  const submittedAt = performance.now();
  if (hasTrouble) {
    await sleep(CRASH_AFTER_MILLISECONDS);
    crashBusiest(machines);
  }
  const broken = await watch(machines, submittedAt);
  const states = await Promise.all(jobIds.map((jobId) => askState(node, jobId)));
  const summary = `${broken.size} of ${JOBS} jobs stood still for over ${STILL_MILLISECONDS} ms after the finish time`;
  record.write(`${summary}; states at the end: ${[...new Set(states)].join(', ')}`);
  process.stdout.write(`${summary}\n`);
  return broken.size > 0 ? BROKEN : HELD;
}

await playCase({
  processes: PROCESSES,
  services: [SERVICE],
  workersPerService: WORKERS,
  record,
  observe,
  play,
});
