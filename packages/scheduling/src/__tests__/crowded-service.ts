/** A service whose workers are all full while tasks wait, and single events on it. */
import type { JobRequest } from '../model/job.js';
import { taskIdOf } from '../model/job.js';
import type { RunningReport } from '../model/worker.js';
import { createPlay, effectsOf, jobOf, type EffectOf, type ServicePlay } from './service-play.js';
import type { ServiceEffect } from '../service/effect.js';

/** Workers of a crowded service. */
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

/** One of them. */
export type CrowdedEvent = (typeof CROWDED_EVENTS)[number];

/** A service whose workers are full. */
export interface CrowdedService {
  /** Gets one event ready and returns what brings it about, the answers of the store included. */
  readonly prepare: (event: CrowdedEvent) => () => void;
}

/** Ids of one length, so that hashing them costs the same. */
function nameOf(kind: string, number: number): string {
  const DIGITS = 6;
  return `${kind}-${String(number).padStart(DIGITS, '0')}`;
}

type Start = EffectOf<'start-run'>['address'];

/** Creates a service on whose full workers so many tasks of jobs of eight wait. */
export function createCrowdedService(waitingTasks: number): CrowdedService {
  const play: ServicePlay = createPlay();
  const running = new Map<string, Map<string, RunningReport>>();
  const ends = new Map<string, number>();
  let unsettled: Start[] = [];
  let jobs = 0;
  let waiting = 0;
  let turn = 0;

  const newJob = (taskCount: number): JobRequest => {
    jobs += 1;
    waiting += taskCount;
    return jobOf(nameOf('job', jobs), [{ taskCount, needs: CORE, estimatedMilliseconds: 1_000 }], {
      targetMilliseconds: 60_000,
    });
  };

  const jobsFor = (taskCount: number): readonly JobRequest[] =>
    Array.from({ length: Math.ceil(taskCount / TASKS_PER_JOB) }, (_, index) =>
      newJob(Math.min(TASKS_PER_JOB, taskCount - index * TASKS_PER_JOB)),
    );

  const note = (effects: readonly ServiceEffect[]): void => {
    const starts = effectsOf(effects, 'start-run').map(({ address }) => address);
    waiting -= starts.length;
    unsettled.push(...starts);
  };

  const settle = (address: Start): void => {
    const { task, run, workerId } = address;
    running.get(workerId)?.set(taskIdOf(task), { task, run, checkpoint: '', percent: 100, load: null });
    note(play.dispatch({ kind: 'start-settled', address, outcome: 'started', clockMilliseconds: null }));
  };

  const settleAll = (): void => {
    while (unsettled.length > 0) {
      const settled = unsettled;
      unsettled = [];
      settled.forEach(settle);
    }
  };

  const report = (workerId: string, endsOne: boolean): readonly ServiceEffect[] => {
    const runs = running.get(workerId);
    const [first] = runs?.entries() ?? [];
    if (!endsOne || first === undefined) {
      return play.report(workerId, { running: [...(runs?.values() ?? [])] });
    }
    const [taskId, { task, run }] = first;
    const number = (ends.get(workerId) ?? 0) + 1;
    ends.set(workerId, number);
    runs?.delete(taskId);
    return play.report(workerId, {
      running: [...(runs?.values() ?? [])],
      ended: [{ number, task, run, end: 'done', checkpoint: '' }],
    });
  };

  const workerIds = Array.from({ length: CROWDED_WORKERS }, (_, index) => nameOf('worker', index));
  workerIds.forEach((workerId) => running.set(workerId, new Map()));
  note(play.addWorkers(workerIds, { capacity: WORKER_CAPACITY }));
  note(play.accept(...jobsFor(CROWDED_WORKERS * CORES_PER_WORKER)));
  settleAll();
  note(play.accept(...jobsFor(waitingTasks)));
  workerIds.forEach((workerId) => note(report(workerId, false)));

  const nextWorker = (): string => {
    turn += 1;
    return workerIds[turn % workerIds.length] ?? '';
  };

  const prepare = (event: CrowdedEvent): (() => void) => {
    play.pass(EVENT_MILLISECONDS);
    settleAll();
    if (waiting < waitingTasks) note(play.accept(newJob(TASKS_PER_JOB)));
    switch (event) {
      case 'a report with one end': {
        const workerId = nextWorker();
        return () => note(report(workerId, true));
      }
      case 'a tick with an empty read':
        return () => note(play.pass(EVENT_MILLISECONDS));
      case 'a job accepted': {
        const job = newJob(TASKS_PER_JOB);
        return () => note(play.accept(job));
      }
      default: {
        note(report(nextWorker(), true));
        const address = unsettled.shift();
        if (address === undefined) throw new Error('Expected a start where a run ended, found none');
        return () => settle(address);
      }
    }
  };

  return { prepare };
}
