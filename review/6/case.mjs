/**
 * Ends two tasks of a lasting job, one as failed and one as done. Both must be started again, however they end.
 */
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';
import { BROKEN, HELD, HOST_NAME, hasTrouble, openRecord, playCase } from '../lib-2/deployment.mjs';
import { call } from '../lib-2/http.mjs';

const PROCESSES = 2;
const SERVICE = 'desk';
const JOB_ID = '00000000000000e1';
const WORKERS = 8;

const TASKS = 4;
const TASK_MILLICORES = 1_300;
const TASK_MEGABYTES = 4_000;

const RUN_MILLISECONDS = 4_000;

/** The rule: 3 s without a run, from 6 s after the last one; here with some more. */
const PATIENCE_MILLISECONDS = 15_000;

const record = openRecord(import.meta.dirname);

/** The number of starts of each task. */
const starts = new Map();

function observe({ event, task }) {
  if (event === 'start') starts.set(task, (starts.get(task) ?? 0) + 1);
}

async function submit(node) {
  const needs = { cpu: TASK_MILLICORES, memMb: TASK_MEGABYTES };
  const answer = await call({
    port: node.frontend,
    method: 'POST',
    path: `/${SERVICE}/${JOB_ID}`,
    headers: { host: HOST_NAME, 'content-type': 'application/json' },
    body: JSON.stringify({
      spec: `lasts cpu=${needs.cpu} mem=${needs.memMb}`,
      steps: [{ count: TASKS, ...needs, estimateMs: 900, longRunning: true, maxPerServer: 1, mayMiss: 1 }],
    }),
  });
  record.write(`submitted: ${JSON.stringify(answer)}`);
  if (answer.status !== 200) throw new Error('the job was not accepted');
}

async function askState(node) {
  const answer = await call({
    port: node.frontend,
    method: 'GET',
    path: `/${SERVICE}/${JOB_ID}`,
    headers: { host: HOST_NAME, deadline: '3000' },
  });
  record.write(`state: ${JSON.stringify(answer)}`);
  return answer.body?.state ?? null;
}

function lifeOf(machines, task) {
  return machines.workers(SERVICE).find(({ life }) => life.running().includes(task))?.life ?? null;
}

/** Ends a run of a task and returns whether it is started again in time. */
async function isStartedAgain(machines, task, how) {
  const life = lifeOf(machines, task);
  if (life === null) throw new Error(`${task} does not run`);
  life.finish(task, how);
  await sleep(PATIENCE_MILLISECONDS);
  const isRunning = lifeOf(machines, task) !== null;
  record.write(
    `${task} ended as ${how}: ${isRunning ? 'runs again' : 'does not run'}, ${starts.get(task)} starts`,
  );
  return isRunning;
}

async function play({ machines, system }) {
  const [node] = system.nodes;
  await submit(node);
  await sleep(RUN_MILLISECONDS);
  const [first, second] = [...starts.keys()];
  const isSound = await isStartedAgain(machines, first, 'failed');
  if (!isSound) throw new Error('not started again after a failure');
  const isBroken = hasTrouble && !(await isStartedAgain(machines, second, 'done'));
  const state = await askState(node);
  const summary = isBroken
    ? `a lasting task that ended as done has not run for ${PATIENCE_MILLISECONDS} ms`
    : 'every lasting task runs';
  record.write(`${summary}; state ${state}`);
  process.stdout.write(`${summary}\n`);
  return isBroken ? BROKEN : HELD;
}

await playCase({
  processes: PROCESSES,
  services: [SERVICE],
  workersPerService: WORKERS,
  record,
  observe,
  play,
});
