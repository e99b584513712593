import { PLAIN_STEP } from '@baobabdeck/scheduling';
import type { SubmittedJob } from '@baobabdeck/scheduler';
import { describe } from '@baobabdeck/test-tools';
import { STORE } from '../model-store.js';
import type { VirtualNode } from '../virtual-node.js';
import { createWorld, type World } from '../world.js';
import { jobIdOf } from './queue-scene.js';

const LEAD_MILLISECONDS = 6_000;

/** Time in which a slow store answers all reads of a claim, and leases that nobody renews end. */
const HANDOVER_MILLISECONDS = 16_000;

/** Time in which the tasks of a job start; they work for 25 s. */
const START_MILLISECONDS = 1_000;

/** Time in which a process starts and takes its share of the services. */
const JOIN_MILLISECONDS = 4_000;

/** Factor by which calls to the store take longer: about a third of a second each way. */
const STORE_SLOWNESS = 150;

const SERVICES = 4;

/** Returns the numbers of the runs that are at work, by host. */
function runsAtWork({ fleet }: World): readonly (readonly [hostId: string, runs: readonly number[]])[] {
  return [...fleet.hosts.values()].map(({ hostId, worker }) => [
    hostId,
    (worker?.runs() ?? []).map(({ run }) => run),
  ]);
}

/** Submits a job whose tasks last to each queue. */
async function submitLastingJobs(
  { time, operator, plans, referee }: World,
  node: VirtualNode,
): Promise<void> {
  const callers = node.running()?.callers;
  if (callers === undefined) throw new Error('The process does not run');
  await Promise.all([
    ...operator.configuration.queues.map(async (queue, index) => {
      const job: SubmittedJob = {
        jobId: jobIdOf(index),
        specification: 'service',
        steps: [{ ...PLAIN_STEP, taskCount: 3, isLasting: true, maximumAbsent: 1 }],
        repetition: null,
      };
      plans.set(job.jobId, {
        job,
        service: queue.service,
        maximumFailedRuns: queue.maximumFailedRuns,
        handedInAt: time.now(),
        objectiveMilliseconds: 1_000,
        taskPlan: () => ({ runMilliseconds: 1, failingRuns: 0 }),
        crashDelayMilliseconds: () => null,
      });
      referee.onSubmitAnswered(job.jobId, 'unknown');
      referee.onSubmitAnswered(job.jobId, (await callers.submit(queue, job, 1_000, null)).kind);
    }),
    time.runUntil(time.now() + START_MILLISECONDS),
  ]);
}

/** Returns the number of services that a process owns. */
function countOwned(node: VirtualNode): number {
  return Array.from({ length: SERVICES }, (_, index) =>
    node.running()?.explain('job', jobIdOf(index)),
  ).filter((job) => job != null).length;
}

interface Scene {
  readonly world: World;
  readonly first: VirtualNode;
  readonly second: VirtualNode;
}

/** Starts one of two processes and jobs whose tasks last. */
async function createScene(): Promise<Scene> {
  const world = createWorld(1, { services: SERVICES, hostsPerService: 3, standbyHosts: 0, nodes: 2 });
  const [first, second] = world.nodes;
  if (first === undefined || second === undefined) throw new Error('The world has too few processes');
  second.kill();
  await world.time.runUntil(LEAD_MILLISECONDS);
  await submitLastingJobs(world, first);
  return { world, first, second };
}

// Guards against leases that run out between two owners, so that all lasting tasks of a service are away at once.
describe('the planned handover of a service', ({ it }) => {
  it('ends no run when another process joins, although the store is slow', async (t) => {
    const { world, first, second } = await createScene();
    const { time, network } = world;
    const before = runsAtWork(world);
    network.conditions.slowness.set(STORE, STORE_SLOWNESS);
    second.start();
    await time.runUntil(time.now() + HANDOVER_MILLISECONDS);
    t.true(countOwned(first) > 0 && countOwned(second) > 0);
    t.deepEqual(runsAtWork(world), before);
  });

  it('ends no run when the owner is stopped, although the store is slow', async (t) => {
    const { world, first, second } = await createScene();
    const { time, network } = world;
    const before = runsAtWork(world);
    second.start();
    await time.runUntil(time.now() + JOIN_MILLISECONDS);
    network.conditions.slowness.set(STORE, STORE_SLOWNESS);
    first.restart(HANDOVER_MILLISECONDS);
    await time.runUntil(time.now() + HANDOVER_MILLISECONDS);
    t.is(countOwned(second), SERVICES);
    t.deepEqual(runsAtWork(world), before);
  });
});
