/** Lets the workers of a service harness act over time: runs start up, stop after a delay and end after their duration. */
import type { TaskKey } from '../model/job.js';
import type { EndedReport, RunningReport } from '../model/worker.js';
import type { ServiceEffect } from '../state/effect.js';
import type { Run } from '../state/service-state.js';
import { findTask } from '../state/tasks.js';
import { effectsOf, type EffectOf, type ServiceHarness } from './service-harness.js';

/** How long runs take, in milliseconds. */
export interface WorkerTimes {
  /** Time from the placement of a run until it runs at full speed. */
  readonly startupMilliseconds: number;
  /** Time from an order to stop until the run has ended. */
  readonly stopMilliseconds: number;
  /** Time from the placement of a run of a job until it ends; Infinity if it does not end by itself. */
  readonly runMilliseconds: (jobId: string) => number;
  /** How runs of a job end that end by themselves. */
  readonly endOf: (jobId: string) => 'done' | 'failed';
}

/** Times of workers that start and stop at once and whose runs do not end by themselves. */
export const INSTANT_TIMES: WorkerTimes = {
  startupMilliseconds: 0,
  stopMilliseconds: 0,
  runMilliseconds: () => Infinity,
  endOf: () => 'done',
};

/** Workers that act over time. */
export interface ActingWorkers {
  /** Lets time pass while the same hosts are requested for maintenance; returns all effects. */
  readonly pass: (milliseconds: number, requestedWorkers?: readonly string[]) => readonly ServiceEffect[];
  /** Requests hosts for maintenance once. */
  readonly requestHosts: (workerIds: readonly string[]) => readonly ServiceEffect[];
  /** Ids of the jobs with a run on a worker, in alphabetical order. */
  readonly jobIdsOn: (workerId: string) => readonly string[];
}

/** Time between two reports of each worker. */
const STEP_MILLISECONDS = 100;

interface WorkerRun {
  readonly task: TaskKey;
  readonly run: Run;
}

function runsOn(harness: ServiceHarness, workerId: string): readonly WorkerRun[] {
  const tasks = [...(harness.state().workers.get(workerId)?.tasks.values() ?? [])];
  return tasks.flatMap((task) =>
    (findTask(harness.state(), task)?.runs ?? [])
      .filter((run) => run.workerId === workerId && run.phase !== 'recording')
      .map((run) => ({ task, run })),
  );
}

/** Returns the effects on stopped runs among others, by job id. */
export function stoppedJobIds(effects: readonly ServiceEffect[]): readonly string[] {
  return effectsOf(effects, 'stop-run').map(({ address }: EffectOf<'stop-run'>) => address.task.jobId);
}

/** Lets the workers of a harness act. */
export function createActingWorkers(harness: ServiceHarness, times: WorkerTimes): ActingWorkers {
  let sequence = 0;

  const endOf = ({ task, run }: WorkerRun): EndedReport['end'] | null => {
    const { now } = harness.state();
    if (run.phase === 'stopping') {
      return now - (run.sentAt ?? run.placedAt) >= times.stopMilliseconds ? 'stopped' : null;
    }
    return now - run.placedAt >= times.runMilliseconds(task.jobId) ? times.endOf(task.jobId) : null;
  };

  const rowOf = ({ task, run }: WorkerRun): RunningReport => {
    const isStarted = harness.state().now - run.placedAt >= times.startupMilliseconds;
    return { task, run: run.run, checkpoint: '', percent: isStarted ? 100 : 0, load: null };
  };

  const reportWorker = (workerId: string): readonly ServiceEffect[] => {
    const runs = runsOn(harness, workerId);
    const processed = harness.state().workers.get(workerId)?.processedEnd ?? 0;
    const ended = runs.flatMap((one) => {
      const end = endOf(one);
      return end === null ? [] : [{ task: one.task, run: one.run.run, end, checkpoint: '' }];
    });
    return harness.report(workerId, {
      running: runs.filter((one) => endOf(one) === null).map(rowOf),
      ended: ended.map((one, index) => ({ number: processed + index + 1, ...one })),
    });
  };

  const requestHosts: ActingWorkers['requestHosts'] = (workerIds) => {
    sequence += 1;
    const releases = workerIds.map((workerId) => ({
      hostId: `host-of-${workerId}`,
      purpose: 'maintenance' as const,
    }));
    return harness.dispatch({ kind: 'host-requests-received', releases, returns: [], epoch: 1, sequence });
  };

  const pass: ActingWorkers['pass'] = (milliseconds, requestedWorkers = []) => {
    const effects: ServiceEffect[] = [];
    for (let passed = 0; passed < milliseconds; passed += STEP_MILLISECONDS) {
      effects.push(...harness.advance(STEP_MILLISECONDS));
      if (requestedWorkers.length > 0) effects.push(...requestHosts(requestedWorkers));
      harness.confirmStarts();
      [...harness.state().workers.keys()].forEach((workerId) => effects.push(...reportWorker(workerId)));
    }
    return effects;
  };

  return {
    pass,
    requestHosts,
    jobIdsOn: (workerId) =>
      runsOn(harness, workerId)
        .map(({ task }) => task.jobId)
        .sort(),
  };
}
