/** A service whose workers are all full while tasks wait, to measure the cost of single events. */
import type { JobRequest } from '../model/job.js';
import { taskIdOf } from '../model/job.js';
import type { RunningReport } from '../model/worker.js';
import {
  createServiceHarness,
  effectsOf,
  jobOf,
  type EffectOf,
  type ServiceHarness,
} from './service-harness.js';
import type { ServiceEffect } from '../state/effect.js';

/** Number of workers of a crowded service. */
export const CROWDED_WORKERS = 50;
const CORES_PER_WORKER = 16;
const TASKS_PER_JOB = 8;
const CORE = { milliCores: 1_000, memoryMegabytes: 1_024, accelerators: 0 };
const WORKER_CAPACITY = {
  milliCores: CORES_PER_WORKER * CORE.milliCores,
  memoryMegabytes: CORES_PER_WORKER * CORE.memoryMegabytes,
  accelerators: 0,
};

/** Milliseconds between two events on the service. */
const EVENT_MILLISECONDS = 5;

/** The kinds of events whose cost matters most. */
export const CROWDED_EVENTS = [
  'a report with one end',
  'a tick with an empty read',
  'a start settled',
  'a job accepted',
] as const;

/** A kind of event on a crowded service. */
export type CrowdedEvent = (typeof CROWDED_EVENTS)[number];

/** A service whose workers are full. */
export interface CrowdedService {
  /** Prepares one event and returns a function that dispatches it, including the answers of the store. */
  readonly prepare: (event: CrowdedEvent) => () => void;
}

/** Returns an id of fixed length, so that hashing any id costs the same. */
function nameOf(kind: string, number: number): string {
  const DIGITS = 6;
  return `${kind}-${String(number).padStart(DIGITS, '0')}`;
}

type Start = EffectOf<'start-run'>['address'];

/** Creates a service with full workers and a number of waiting tasks, in jobs of eight tasks unless said otherwise. */
export function createCrowdedService(waitingTasks: number, tasksPerJob = TASKS_PER_JOB): CrowdedService {
  const harness: ServiceHarness = createServiceHarness();
  const running = new Map<string, Map<string, RunningReport>>();
  const endsByWorker = new Map<string, number>();
  let unconfirmed: Start[] = [];
  let jobCount = 0;
  let waitingCount = 0;
  let extraJobId: string | null = null;
  let workerCursor = 0;

  const createJob = (taskCount: number): JobRequest => {
    jobCount += 1;
    waitingCount += taskCount;
    return jobOf(nameOf('job', jobCount), [{ taskCount, needs: CORE, estimatedMilliseconds: 1_000 }], {
      targetMilliseconds: 60_000,
    });
  };

  const createJobs = (taskCount: number, width: number): readonly JobRequest[] =>
    Array.from({ length: Math.ceil(taskCount / width) }, (_, index) =>
      createJob(Math.min(width, taskCount - index * width)),
    );

  const recordStarts = (effects: readonly ServiceEffect[]): void => {
    const starts = effectsOf(effects, 'start-run').map(({ address }) => address);
    waitingCount -= starts.length;
    unconfirmed.push(...starts);
  };

  const confirmStart = (address: Start): void => {
    const { task, run, workerId } = address;
    running.get(workerId)?.set(taskIdOf(task), { task, run, checkpoint: '', percent: 100, load: null });
    recordStarts(
      harness.dispatch({ kind: 'start-settled', address, outcome: 'started', clockMilliseconds: null }),
    );
  };

  const confirmAllStarts = (): void => {
    while (unconfirmed.length > 0) {
      const settled = unconfirmed;
      unconfirmed = [];
      settled.forEach(confirmStart);
    }
  };

  const report = (workerId: string, endsOne: boolean): readonly ServiceEffect[] => {
    const runs = running.get(workerId);
    const [first] = runs?.entries() ?? [];
    if (!endsOne || first === undefined) {
      return harness.report(workerId, { running: [...(runs?.values() ?? [])] });
    }
    const [taskId, { task, run }] = first;
    const number = (endsByWorker.get(workerId) ?? 0) + 1;
    endsByWorker.set(workerId, number);
    runs?.delete(taskId);
    return harness.report(workerId, {
      running: [...(runs?.values() ?? [])],
      ended: [{ number, task, run, end: 'done', checkpoint: '' }],
    });
  };

  const workerIds = Array.from({ length: CROWDED_WORKERS }, (_, index) => nameOf('worker', index));
  workerIds.forEach((workerId) => running.set(workerId, new Map()));
  recordStarts(harness.addWorkers(workerIds, { capacity: WORKER_CAPACITY }));
  recordStarts(harness.accept(...createJobs(CROWDED_WORKERS * CORES_PER_WORKER, TASKS_PER_JOB)));
  confirmAllStarts();
  recordStarts(harness.accept(...createJobs(waitingTasks, tasksPerJob)));
  workerIds.forEach((workerId) => recordStarts(report(workerId, false)));

  /** Restores the number of waiting tasks after an event. */
  const restore = (): void => {
    harness.advance(EVENT_MILLISECONDS);
    confirmAllStarts();
    if (extraJobId !== null) {
      harness.cancel(extraJobId);
      waitingCount -= TASKS_PER_JOB;
      extraJobId = null;
    }
    if (waitingCount < waitingTasks) recordStarts(harness.accept(createJob(TASKS_PER_JOB)));
  };

  const nextWorker = (): string => {
    workerCursor += 1;
    return workerIds[workerCursor % workerIds.length] ?? '';
  };

  const prepare = (event: CrowdedEvent): (() => void) => {
    restore();
    switch (event) {
      case 'a report with one end': {
        const workerId = nextWorker();
        return () => recordStarts(report(workerId, true));
      }
      case 'a tick with an empty read':
        return () => recordStarts(harness.advance(EVENT_MILLISECONDS));
      case 'a job accepted': {
        const job = createJob(TASKS_PER_JOB);
        extraJobId = job.jobId;
        return () => recordStarts(harness.accept(job));
      }
      default: {
        recordStarts(report(nextWorker(), true));
        const address = unconfirmed.shift();
        if (address === undefined) throw new Error('Expected a start after the end of a run, found none');
        return () => confirmStart(address);
      }
    }
  };

  return { prepare };
}
