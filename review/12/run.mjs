/** A job none of whose runs has failed must not be shown as failed, however often its worker crashes. */
import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import { BROKEN, createRequester, HELD, NOT_RUN, runCase, stateOf, WITH_TROUBLE } from '../lib-3/case.mjs';

const QUEUE = 'orders';
const MACHINES = 8;
const SETTLE_MS = 5_000;
const WORK_MS = 12_000;

/** Each crash takes one of eight workers (0.125 of them), for 4.5 s, 4 s after the work unit has begun. */
const CRASHES = 4;
const CRASH_AFTER_MS = 4_000;
const DOWN_S = 4.5;

const PLAY_LIMIT_MS = 90_000;

const JOB = {
  spec: JSON.stringify({ ms: WORK_MS }),
  steps: [{ count: 1, cpu: 2_000, memMb: 512, estimateMs: WORK_MS }],
};

async function play(system, note, entries) {
  const submit = createRequester(system, QUEUE);
  const [firstNode] = system.processes;
  await sleep(SETTLE_MS);
  const jobId = await submit(JOB);
  if (jobId === null) return NOT_RUN;

  const until = performance.now() + PLAY_LIMIT_MS;
  let crashes = 0;
  let state = 'queued';
  while (performance.now() < until && !['completed', 'failed', 'cancelled'].includes(state)) {
    const machine = system.machines.find(({ worker }) => worker?.running().length > 0);
    if (WITH_TROUBLE && crashes < CRASHES && machine !== undefined) {
      const { worker } = machine;
      await sleep(CRASH_AFTER_MS);
      if (worker.running().length > 0) {
        crashes += 1;
        system.crash(machine, DOWN_S);
      }
    }
    await sleep(500);
    state = await stateOf(system, QUEUE, jobId, firstNode);
  }
  const failedEnds = entries.filter(({ what, how }) => what === 'ended' && how === 'failed').length;
  note('result', { jobId, state, crashes, failedEnds });
  if (state === 'failed' && failedEnds === 0) return BROKEN;
  return state === 'completed' ? HELD : NOT_RUN;
}

await runCase(import.meta.url, { services: { [QUEUE]: MACHINES } }, play);
