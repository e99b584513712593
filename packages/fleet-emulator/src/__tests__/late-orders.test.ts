import { PLAIN_STEP } from '@baobabdeck/scheduling';
import type { StartRunOrder, SubmittedJob } from '@baobabdeck/scheduler';
import { describe } from '@baobabdeck/test-tools';
import { createWorld, type World } from '../world.js';

const HOST_ID = 'host-0';

const JOB: SubmittedJob = {
  jobId: '0000000000000001',
  specification: 'work',
  steps: [{ ...PLAIN_STEP, estimatedMilliseconds: 300 }],
  repetition: null,
};

const LEAD_MILLISECONDS = 6_000;
const DONE_MILLISECONDS = 4_000;

/** Holds the first order to start back that the worker gets: it is neither carried out nor answered. */
function holdFirstStart(world: World): () => StartRunOrder | null {
  const worker = world.fleet.hosts.get(HOST_ID)?.worker;
  if (worker == null) throw new Error('The host runs no worker');
  const { start } = worker;
  let held: StartRunOrder | null = null;
  Object.assign(worker, {
    start: (order: StartRunOrder, isLate: boolean) => {
      if (held !== null) return start(order, isLate);
      held = order;
      return new Promise(() => {});
    },
  });
  return () => held;
}

async function handIn(world: World): Promise<void> {
  const [queue] = world.operator.configuration.queues;
  const callers = world.nodes[0]?.running()?.callers;
  if (queue === undefined || callers === undefined) throw new Error('No process takes jobs');
  const { service, maximumFailedRuns } = queue;
  const taskPlan = () => ({ runMilliseconds: 300, failingRuns: 0 });
  world.plans.set(JOB.jobId, {
    job: JOB,
    service,
    maximumFailedRuns,
    handedInAt: world.time.now(),
    objectiveMilliseconds: 1_000,
    taskPlan,
    crashDelayMilliseconds: () => null,
  });
  const answer = callers.submit(queue, JOB, 1_000, null);
  await world.time.runUntil(world.time.now() + 100);
  world.referee.onSubmitAnswered(JOB.jobId, (await answer).kind);
}

describe('an order to start that comes late', ({ it, itFails }) => {
  const playUntilDone = async (): Promise<{ readonly world: World; readonly late: StartRunOrder }> => {
    const world = createWorld(1, { services: 1, hostsPerService: 1, standbyHosts: 0, nodes: 1 });
    await world.time.runUntil(LEAD_MILLISECONDS);
    const heldStart = holdFirstStart(world);
    await handIn(world);
    await world.time.runUntil(LEAD_MILLISECONDS + DONE_MILLISECONDS);
    const late = heldStart();
    if (late === null) throw new Error('The task was not started');
    return { world, late };
  };

  it('starts nothing on the life that it was sent to', async (t) => {
    const { world, late } = await playUntilDone();
    t.is(world.referee.counts().runs, 1);
    world.fleet.hosts.get(HOST_ID)?.worker?.start(late, true);
    t.is(world.referee.counts().runs, 1);
    t.deepEqual(world.referee.violations, []);
  });

  itFails('starts nothing on the next life under the same id (KNOWN-RED.txt, 5)', async (t) => {
    const { world, late } = await playUntilDone();
    world.fleet.crash(HOST_ID, 1, true);
    await world.time.runUntil(world.time.now() + 2);
    world.fleet.hosts.get(HOST_ID)?.worker?.start(late, true);
    t.deepEqual(world.referee.violations, []);
  });
});
