/** The members of a gang must all start again with the same checkpoint after a worker has crashed. */
import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import { BROKEN, createRequester, HELD, NOT_RUN, runCase, stateOf, WITH_TROUBLE } from '../lib-3/case.mjs';

const QUEUE = 'orders';
const MACHINES = 8;
const MEMBERS = 3;
const SETTLE_MS = 5_000;
const WORK_MS = 10_000;

/** One of eight workers crashes for 4.5 s, two checkpoints after the gang has begun to work. */
const CRASH_AFTER_MS = 5_000;
const DOWN_S = 4.5;

const PLAY_LIMIT_MS = 60_000;

const JOB = {
  spec: JSON.stringify({ ms: WORK_MS }),
  steps: [
    {
      count: MEMBERS,
      cpu: 12_000,
      memMb: 512,
      estimateMs: WORK_MS,
      gang: true,
      checkpointing: true,
      maxPerServer: 1,
    },
  ],
};

/** Returns the checkpoints that the members of each run were started with. */
function checkpointsByRun(entries) {
  const byRun = new Map();
  entries
    .filter(({ what }) => what === 'started')
    .forEach(({ task, run, checkpoint }) => byRun.set(run, { ...byRun.get(run), [task]: checkpoint }));
  return Object.fromEntries(byRun);
}

async function play(system, note, entries) {
  const submit = createRequester(system, QUEUE);
  const [firstNode] = system.processes;
  await sleep(SETTLE_MS);
  const jobId = await submit(JOB);
  if (jobId === null) return NOT_RUN;
  await sleep(CRASH_AFTER_MS);
  const machine = system.machines.find(({ worker }) => worker?.running().length > 0);
  if (machine === undefined) return NOT_RUN;
  if (WITH_TROUBLE) system.crash(machine, DOWN_S);

  const until = performance.now() + PLAY_LIMIT_MS;
  let state = 'running';
  while (performance.now() < until && state !== 'completed' && state !== 'failed') {
    await sleep(500);
    state = await stateOf(system, QUEUE, jobId, firstNode);
  }
  const runs = checkpointsByRun(entries);
  const mixed = Object.keys(runs).filter((run) => new Set(Object.values(runs[run])).size > 1);
  note('result', { jobId, state, runs, mixed });
  if (mixed.length > 0) return BROKEN;
  return state === 'completed' ? HELD : NOT_RUN;
}

await runCase(import.meta.url, { services: { [QUEUE]: MACHINES } }, play);
