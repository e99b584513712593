/** Tasks under leases in virtual time, as the platform runs and lists them. */
import type { TaskListing } from '@baobabdeck/core';
import type { JobEnd, JobRequest } from '@baobabdeck/types';
import type { Schedule } from './schedule.js';

/** Time that a task takes to checkpoint. */
const CHECKPOINT_MILLISECONDS = 500;

/** Time after which the lease of a host that is down lapses. */
const LEASE_MILLISECONDS = 3_000;

interface VirtualTask {
  readonly leaseId: string;
  readonly hostId: string;
  readonly job: JobRequest;
  state: 'running' | JobEnd;
}

/** The platform's tasks. */
export interface VirtualTasks {
  readonly start: (hostId: string, leaseId: string, job: JobRequest) => void;
  readonly checkpoint: (leaseId: string) => void;
  readonly stop: (leaseId: string) => void;
  readonly list: () => readonly TaskListing[];
  /** When each job first started. */
  readonly firstStarts: ReadonlyMap<string, number>;
  /** How often each job started from its beginning. */
  readonly starts: ReadonlyMap<string, number>;
  /** Cores that the tasks of a host take. */
  readonly coresInUse: (hostId: string) => number;
}

/** What the tasks need to know of their surroundings. */
export interface VirtualTaskParts {
  readonly schedule: Schedule;
  readonly isUp: (hostId: string) => boolean;
  readonly runMilliseconds: (job: JobRequest) => number;
}

/** Creates a platform without tasks. */
export function createVirtualTasks({ schedule, isUp, runMilliseconds }: VirtualTaskParts): VirtualTasks {
  const tasks = new Map<string, VirtualTask>();
  const starts = new Map<string, number>();
  const firstStarts = new Map<string, number>();

  const end = (leaseId: string, state: JobEnd): void => {
    const task = tasks.get(leaseId);
    if (task?.state === 'running') task.state = state;
  };
  const watch = (task: VirtualTask): void => {
    schedule.after(LEASE_MILLISECONDS, () => {
      if (task.state !== 'running') return;
      if (isUp(task.hostId)) watch(task);
      else end(task.leaseId, 'lapsed');
    });
  };
  const wasCheckpointed = (jobId: string): boolean =>
    [...tasks.values()].some((task) => task.job.jobId === jobId && task.state === 'checkpointed');

  return {
    start: (hostId, leaseId, job) => {
      // A lease that the platform knows is not started again.
      if (tasks.has(leaseId) || !isUp(hostId)) return;
      if (!wasCheckpointed(job.jobId)) starts.set(job.jobId, (starts.get(job.jobId) ?? 0) + 1);
      if (!firstStarts.has(job.jobId)) firstStarts.set(job.jobId, schedule.now());
      const task: VirtualTask = { leaseId, hostId, job, state: 'running' };
      tasks.set(leaseId, task);
      schedule.after(runMilliseconds(job), () => end(leaseId, isUp(hostId) ? 'succeeded' : 'lapsed'));
      watch(task);
    },
    checkpoint: (leaseId) => schedule.after(CHECKPOINT_MILLISECONDS, () => end(leaseId, 'checkpointed')),
    stop: (leaseId) => end(leaseId, 'cancelled'),
    list: () => [...tasks.values()].map(({ leaseId, job, state }) => ({ leaseId, jobId: job.jobId, state })),
    firstStarts,
    starts,
    coresInUse: (hostId) =>
      [...tasks.values()]
        .filter((task) => task.hostId === hostId && task.state === 'running')
        .reduce((sum, task) => sum + task.job.cores, 0),
  };
}
