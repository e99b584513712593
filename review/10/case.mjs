/**
 * A worker crashes under one member of a gang that saves checkpoints. The members of its next run must all be started from
 * the same checkpoint.
 */
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';
import { BROKEN, HELD, HOST_NAME, hasTrouble, openRecord, playCase } from '../lib-2/deployment.mjs';
import { call } from '../lib-2/http.mjs';

const PROCESSES = 2;
const SERVICE = 'desk';
const JOB_ID = '00000000000000d1';

/** One worker of eight crashes: a share of 0.125, below the 0.14 of the site's `srv_crash`. */
const WORKERS = 8;
const DOWN_MILLISECONDS = 1_500;
const CRASH_AFTER_MILLISECONDS = 5_500;

const MEMBERS = 4;
const MEMBER_MILLICORES = 2_000;
const MEMBER_MEGABYTES = 1_000;
const WORK_MILLISECONDS = 9_000;

const PLAY_MILLISECONDS = 30_000;
const QUESTION_INTERVAL_MILLISECONDS = 500;

const record = openRecord(import.meta.dirname);

/** The checkpoints that the members of each run were started from, by run. */
const checkpoints = new Map();

function observe({ event, run, checkpoint }) {
  if (event === 'start') checkpoints.set(run, [...(checkpoints.get(run) ?? []), checkpoint]);
}

async function submit(node) {
  const needs = { cpu: MEMBER_MILLICORES, memMb: MEMBER_MEGABYTES };
  const answer = await call({
    port: node.frontend,
    method: 'POST',
    path: `/${SERVICE}/${JOB_ID}`,
    headers: { host: HOST_NAME, 'content-type': 'application/json' },
    body: JSON.stringify({
      spec: `work=${WORK_MILLISECONDS} gang=${MEMBERS} cpu=${needs.cpu} mem=${needs.memMb}`,
      // One member a worker, so that a crash takes one of them.
      steps: [
        {
          count: MEMBERS,
          ...needs,
          estimateMs: WORK_MILLISECONDS,
          gang: true,
          checkpointing: true,
          maxPerServer: 1,
        },
      ],
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

function crashOne(machines) {
  const machine = machines.workers(SERVICE).find(({ life }) => life.running().length > 0);
  if (machine === undefined) throw new Error('no worker runs a member');
  record.write(`crash of ${machine.life.id} with ${machine.life.running().join()}`);
  machines.crash(machine, DOWN_MILLISECONDS);
}

async function play({ machines, system }) {
  const [node] = system.nodes;
  await submit(node);
  await sleep(CRASH_AFTER_MILLISECONDS);
  if (hasTrouble) crashOne(machines);
  const beganAt = performance.now();
  let state = null;
  while (!['completed', 'failed'].includes(state) && performance.now() < beganAt + PLAY_MILLISECONDS) {
    await sleep(QUESTION_INTERVAL_MILLISECONDS);
    state = await askState(node);
  }
  const mixed = [...checkpoints].filter(([, values]) => new Set(values).size > 1);
  mixed.forEach(([run, values]) => record.write(`run ${run} starts from ${JSON.stringify(values)}`));
  const summary = `${mixed.length} of ${checkpoints.size} runs of the gang are started from different checkpoints`;
  record.write(`${summary}; state ${state}`);
  process.stdout.write(`${summary}\n`);
  return mixed.length > 0 ? BROKEN : HELD;
}

await playCase({
  processes: PROCESSES,
  services: [SERVICE],
  workersPerService: WORKERS,
  record,
  observe,
  play,
});
