/** A system in virtual time whose one queue changes its name and its service while callers use it. */
import { PLAIN_STEP } from '@baobabdeck/scheduling';
import type {
  CallerService,
  CancelResult,
  JobStatusResult,
  PendingCountResult,
  Queue,
  SubmitResult,
  SubmittedJob,
} from '@baobabdeck/scheduler';
import type { VirtualNode } from '../virtual-node.js';
import { createWorld, serviceName, type World } from '../world.js';

/** Time in which every process has started and owns its services. */
const LEAD_MILLISECONDS = 6_000;

/** Time in which every process uses a new configuration. */
const CONFIGURED_MILLISECONDS = 2_000;

/** Time that a caller waits for an answer. */
const PATIENCE_MILLISECONDS = 3_000;

/** Time that a task of the scene works. */
const WORK_MILLISECONDS = 20_000;

/** Versions rise in uneven steps. */
const VERSION_STEP = 3;

const SERVICES = 3;
const NODES = 4;

/** The fields of the queue that a change of the configuration may replace. */
export type QueueChange = Partial<Pick<Queue, 'name' | 'service' | 'maximumFailedRuns'>>;

/** The system, and the calls of its callers; `node` is the number of the process that is called. */
export interface QueueScene {
  readonly world: World;
  readonly node: (index: number) => VirtualNode;
  /** Publishes a version with the changed queue, or without it, and waits until it is in force. */
  readonly configure: (change: QueueChange | null) => Promise<void>;
  /** Publishes a version with the changed queue and does not wait. */
  readonly publish: (change: QueueChange | null) => void;
  readonly submit: (node: number, jobId: string) => Promise<SubmitResult['kind'] | 'no-queue'>;
  /** Submits a job whose tasks all fail. */
  readonly submitFailing: (node: number, jobId: string) => Promise<SubmitResult['kind'] | 'no-queue'>;
  readonly statusOf: (node: number, jobId: string) => Promise<string>;
  readonly cancel: (node: number, jobId: string) => Promise<CancelResult['kind'] | 'no-queue'>;
  readonly countPending: (node: number) => Promise<number | PendingCountResult['kind'] | 'no-queue'>;
  readonly runFor: (milliseconds: number) => Promise<void>;
  /** Kills every process and starts them again. */
  readonly restartAll: () => Promise<void>;
  /** The pool of each host that runs a task of a job, once for each run. */
  readonly poolsAtWork: (jobId: string) => readonly string[];
}

/** Returns an id of a job. */
export function jobIdOf(number: number): string {
  return number.toString(16).padStart(16, '0');
}

function describeStatus(answer: JobStatusResult): string {
  return answer.kind === 'known' ? answer.status : answer.kind;
}

/** Starts the system with a queue of the first service. */
export async function createQueueScene(seed = 1): Promise<QueueScene> {
  const world = createWorld(seed, { services: SERVICES, hostsPerService: 3, standbyHosts: 0, nodes: NODES });
  const { time, operator, nodes, plans, referee } = world;
  const [queue] = operator.configuration.queues;
  if (queue === undefined) throw new Error('The world has no queue');
  await time.runUntil(LEAD_MILLISECONDS);

  const node = (index: number): VirtualNode => {
    const found = nodes[index];
    if (found === undefined) throw new Error(`The world has no process ${index}`);
    return found;
  };

  const publish = (change: QueueChange | null): void => {
    const { configuration } = operator;
    const others = configuration.queues.filter(({ pathPrefix }) => pathPrefix !== queue.pathPrefix);
    const queues = change === null ? others : [{ ...queue, ...change }, ...others];
    operator.configuration = { ...configuration, version: configuration.version + VERSION_STEP, queues };
  };

  const configure = async (change: QueueChange | null): Promise<void> => {
    publish(change);
    await time.runUntil(time.now() + CONFIGURED_MILLISECONDS);
  };

  const call = async <T>(
    index: number,
    jobId: string,
    request: (callers: CallerService, found: Queue) => Promise<T>,
  ): Promise<T | 'no-queue'> => {
    const callers = node(index).running()?.callers;
    if (callers === undefined) throw new Error(`Process ${index} does not run`);
    const lookup = callers.findQueue(queue.hostName, queue.pathPrefix + jobId);
    if (lookup.kind !== 'found') return 'no-queue';
    let isAnswered = false;
    const answer = request(callers, lookup.queue).finally(() => {
      isAnswered = true;
    });
    while (!isAnswered) await time.runUntil(time.now() + 10);
    return answer;
  };

  const submitWith = async (
    index: number,
    jobId: string,
    failingRuns: number,
  ): Promise<SubmitResult['kind'] | 'no-queue'> => {
    const job: SubmittedJob = {
      jobId,
      specification: 'work',
      steps: [{ ...PLAIN_STEP, estimatedMilliseconds: WORK_MILLISECONDS }],
      repetition: null,
    };
    plans.set(jobId, {
      job,
      service: queue.service,
      maximumFailedRuns: queue.maximumFailedRuns,
      handedInAt: time.now(),
      objectiveMilliseconds: WORK_MILLISECONDS,
      taskPlan: () => ({ runMilliseconds: WORK_MILLISECONDS, failingRuns }),
      crashDelayMilliseconds: () => null,
    });
    const answer = await call(index, jobId, (callers, found) =>
      callers.submit(found, job, PATIENCE_MILLISECONDS, null),
    );
    if (answer === 'no-queue') return answer;
    referee.onSubmitAnswered(jobId, answer.kind);
    return answer.kind;
  };

  return {
    world,
    node,
    configure,
    publish,
    submit: (index, jobId) => submitWith(index, jobId, 0),
    submitFailing: (index, jobId) => submitWith(index, jobId, Infinity),
    statusOf: async (index, jobId) => {
      const answer = await call(index, jobId, (callers, found) =>
        callers.getJobStatus(found, jobId, PATIENCE_MILLISECONDS, null),
      );
      if (answer === 'no-queue') return answer;
      if (answer.kind !== 'unavailable') {
        referee.onStatusShown(jobId, answer.kind === 'known' ? answer.status : null);
      }
      return describeStatus(answer);
    },
    cancel: async (index, jobId) => {
      referee.onCancelSent(jobId);
      const answer = await call(index, jobId, (callers, found) =>
        callers.cancel(found, jobId, PATIENCE_MILLISECONDS, null),
      );
      if (answer === 'no-queue') return answer;
      if (answer.kind !== 'unavailable') referee.onCancelAcknowledged(jobId);
      return answer.kind;
    },
    countPending: async (index) => {
      const answer = await call(index, '', (callers, found) =>
        callers.countPending(found, PATIENCE_MILLISECONDS),
      );
      if (answer === 'no-queue') return answer;
      return answer.kind === 'counted' ? answer.pending : answer.kind;
    },
    runFor: (milliseconds) => time.runUntil(time.now() + milliseconds),
    restartAll: async () => {
      nodes.forEach((one) => {
        one.kill();
        one.start();
      });
      await time.runUntil(time.now() + LEAD_MILLISECONDS);
    },
    poolsAtWork: (jobId) =>
      [...world.fleet.hosts.values()].flatMap(({ pool, worker }) =>
        (worker?.runs() ?? []).flatMap(({ task }) => (task.jobId === jobId ? [pool] : [])),
      ),
  };
}

/** Name of the service to which the queue of a scene belongs at first, and of those that it may be given to. */
export const [FIRST_SERVICE, SECOND_SERVICE, THIRD_SERVICE] = [
  serviceName(0),
  serviceName(1),
  serviceName(2),
];
