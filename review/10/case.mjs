/**
 * One task of a lasting job fails soon after each of its starts. It must be started again in time, since workers have
 * room for it.
 */
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';
import { BROKEN, HELD, HOST_NAME, hasTrouble, openRecord, playCase } from '../lib-2/deployment.mjs';
import { call } from '../lib-2/http.mjs';

const PROCESSES = 2;

/** The pool and the job of the site: six workers, five tasks that last, at most one on each worker. */
const SERVICE = 'desk';
const WORKERS = 6;
const TASKS = 5;
const TASK_MILLICORES = 1_300;
const TASK_MEGABYTES = 4_000;
const JOB_ID = '00000000000000f1';

const START_MILLISECONDS = 4_000;
const RUN_MILLISECONDS = 300;
const PLAY_MILLISECONDS = 75_000;
const LOOK_MILLISECONDS = 50;

/** The rule: no run for 3 s, from 6 s after the last run. */
const LONGEST_GAP_MILLISECONDS = 9_000;
/** Gaps from which on the record tells them. */
const TOLD_GAP_MILLISECONDS = 1_000;

const record = openRecord(import.meta.dirname);

const startedTasks = new Set();

function observe({ event, task }) {
  if (event === 'start') startedTasks.add(task);
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
      steps: [{ count: TASKS, ...needs, estimateMs: 700, longRunning: true, maxPerServer: 1, mayMiss: 1 }],
    }),
  });
  record.write(`submitted: ${JSON.stringify(answer)}`);
  if (answer.status !== 200) throw new Error('the job was not accepted');
}

function lifeOf(machines, task) {
  return machines.workers(SERVICE).find(({ life }) => life.running().includes(task))?.life ?? null;
}

/** Yields the time without a run after each failure of a task, and ends its next run soon. */
async function* failAgainAndAgain(machines, task, until) {
  let endedAt = null;
  while (performance.now() < until) {
    const life = lifeOf(machines, task);
    if (life !== null) {
      if (endedAt !== null) yield performance.now() - endedAt;
      await sleep(RUN_MILLISECONDS);
      life.finish(task, 'failed');
      endedAt = performance.now();
    }
    await sleep(LOOK_MILLISECONDS);
  }
}

async function play({ machines, system }) {
  await submit(system.nodes[0]);
  await sleep(START_MILLISECONDS);
  if (startedTasks.size < TASKS) throw new Error('not all tasks have started');
  const [task] = startedTasks;
  const gaps = [];
  if (hasTrouble) {
    for await (const gap of failAgainAndAgain(machines, task, performance.now() + PLAY_MILLISECONDS)) {
      gaps.push(gap);
      if (gap > TOLD_GAP_MILLISECONDS) {
        record.write(`no run for ${Math.round(gap)} ms after ${gaps.length} failures`);
      }
    }
  } else {
    await sleep(PLAY_MILLISECONDS);
    gaps.push(lifeOf(machines, task) === null ? PLAY_MILLISECONDS : 0);
  }
  const broken = gaps.filter((gap) => gap > LONGEST_GAP_MILLISECONDS);
  const longest = Math.round(Math.max(...gaps));
  const summary = `${broken.length} times no run for over ${LONGEST_GAP_MILLISECONDS} ms, the longest ${longest} ms`;
  record.write(summary);
  process.stdout.write(`${summary}\n`);
  return broken.length > 0 ? BROKEN : HELD;
}

await playCase({
  processes: PROCESSES,
  services: [SERVICE],
  workersPerService: WORKERS,
  record,
  observe,
  play,
});
