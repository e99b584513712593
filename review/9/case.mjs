/**
 * Restarts three processes in turn. Callers with open connections ask for the state of a job meanwhile; each question
 * that a process has read needs a whole answer.
 */
import { Agent } from 'node:http';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';
import { BROKEN, HELD, HOST_NAME, hasTrouble, openRecord, playCase } from '../lib-2/deployment.mjs';
import { call } from '../lib-2/http.mjs';

const PROCESSES = 3;
const SERVICE = 'desk';
const JOB_ID = '00000000000000a1';
const JOB = {
  spec: 'work=600 cpu=500 mem=100',
  steps: [{ count: 2, cpu: 500, memMb: 100, estimateMs: 600 }],
};
const JOB_MILLISECONDS = 1_500;

/** The default of the platform's `roll_term`: one machine at a time, a second apart. */
const GAP_MILLISECONDS = 1_000;
const RESTART_MILLISECONDS = 500;

const CALLERS_PER_PROCESS = 60;
const QUESTION_INTERVAL_MILLISECONDS = 100;
const DEADLINE_MILLISECONDS = 3_000;
const ANSWER_TIMEOUT_MILLISECONDS = 4_000;

/** Bounds of the rule. */
const LOSS_SLACK_MILLISECONDS = 200;
const PLANNED_MILLISECONDS = 7_000;

const record = openRecord(import.meta.dirname);

function askState({ node, agent }) {
  return call({
    port: node.frontend,
    method: 'GET',
    path: `/${SERVICE}/${JOB_ID}`,
    headers: { host: HOST_NAME, deadline: String(DEADLINE_MILLISECONDS) },
    agent,
    timeoutMilliseconds: ANSWER_TIMEOUT_MILLISECONDS,
  });
}

async function submitJob(node) {
  const answer = await call({
    port: node.frontend,
    method: 'POST',
    path: `/${SERVICE}/${JOB_ID}`,
    headers: { host: HOST_NAME, 'content-type': 'application/json' },
    body: JSON.stringify(JOB),
  });
  record.write(`submitted: ${JSON.stringify(answer)}`);
  if (answer.status !== 200) throw new Error('the job was not accepted');
}

/** Connects the callers. Each connection has answered once, so that it stays open and idle until its question. */
async function connectCallers(nodes) {
  const callers = nodes.flatMap((node) =>
    Array.from({ length: CALLERS_PER_PROCESS }, (_, index) => ({
      node,
      agent: new Agent({ keepAlive: true, maxSockets: 1 }),
      asksAfter: index * QUESTION_INTERVAL_MILLISECONDS,
    })),
  );
  for (const caller of callers) {
    const answer = await askState(caller);
    if (answer.status !== 200) throw new Error(`no state before the restarts: ${JSON.stringify(answer)}`);
  }
  return callers;
}

async function restart({ start }, node, position) {
  await sleep(position * GAP_MILLISECONDS);
  node.stoppedAt = performance.now();
  record.write(`${node.name}: SIGTERM`);
  node.child.kill('SIGTERM');
  const { code, signal } = await node.exited;
  record.write(`${node.name}: ended with ${code ?? signal}`);
  await sleep(RESTART_MILLISECONDS);
  start(node);
  record.write(`${node.name}: started`);
}

/** Whether a question was read and cut around the planned stop of its process. */
function isLost({ node }, sentAt, { kind, milliseconds }) {
  const isPlanned = node.stoppedAt !== undefined && sentAt < node.stoppedAt + PLANNED_MILLISECONDS;
  return kind === 'cut' && milliseconds > LOSS_SLACK_MILLISECONDS && isPlanned;
}

async function askInTime(caller, beganAt) {
  await sleep(Math.max(0, beganAt + caller.asksAfter - performance.now()));
  const sentAt = performance.now();
  const answer = await askState(caller);
  const lost = isLost(caller, sentAt, answer);
  record.write(
    `${caller.node.name}: question of ${record.secondsOf(sentAt)} ${JSON.stringify(answer)}${lost ? ' LOST' : ''}`,
  );
  return lost;
}

async function play({ system }) {
  await submitJob(system.nodes[0]);
  await sleep(JOB_MILLISECONDS);
  const callers = await connectCallers(system.nodes);
  const beganAt = performance.now();
  const restarts = hasTrouble ? system.nodes.map((node, position) => restart(system, node, position)) : [];
  const losses = await Promise.all(callers.map((caller) => askInTime(caller, beganAt)));
  await Promise.all(restarts);
  const count = losses.filter(Boolean).length;
  record.write(`${count} of ${losses.length} questions were read and cut`);
  process.stdout.write(`${count} of ${losses.length} questions were read and cut\n`);
  return count > 0 ? BROKEN : HELD;
}

await playCase({ processes: PROCESSES, services: [SERVICE], workersPerService: 4, record, play });
