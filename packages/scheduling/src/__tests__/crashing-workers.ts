/** Emulates workers of one service, some of whose tasks crash the worker that starts them, in rounds of 100 ms. */
import { taskIdOf, type TaskKey } from '../model/job.js';
import type { RunningReport, WorkerListing } from '../model/worker.js';
import { CAPACITY, createServiceHarness, listingOf, type ServiceHarness } from './service-harness.js';

/** Time between two rounds, in which every worker reports once. */
export const ROUND_MILLISECONDS = 100;

const RETURN_MILLISECONDS = 3_000;

interface EmulatedRun extends RunningReport {
  readonly startedAt: number;
}

interface EmulatedWorker {
  readonly listing: WorkerListing;
  readonly runs: Map<string, EmulatedRun>;
  ends: number;
}

/** One start that a live worker carried out. */
export interface EmulatedStart {
  readonly taskId: string;
  readonly workerId: string;
  /** Ids of the other tasks that the worker ran at that time. */
  readonly beside: readonly string[];
}

/** Terms of the emulation. */
export interface CrashTerms {
  /** Racks of the workers; one worker each. */
  readonly racks: readonly string[];
  /** Returns whether a task crashes the worker that starts it. */
  readonly isDeadly: (task: TaskKey) => boolean;
  /** Returns the duration of a task that crashes no worker. */
  readonly durationOf: (task: TaskKey) => number;
  /** Number of members of the gang that the tasks form: they end only once all are at work; 1 for no gang. */
  readonly gangSize?: number;
  /** Whether the next worker of a host has the id of the former one. */
  readonly keepsIds?: boolean;
  /** Whether the answer to the order to start a deadly task is lost with the worker. */
  readonly losesAnswers?: boolean;
}

/** Emulated workers of a service. */
export interface CrashingWorkers {
  /** Returns the scheduler that owns the service now. */
  readonly harness: () => ServiceHarness;
  /** Replaces the owner by one that restores its records. */
  readonly changeOwner: () => void;
  readonly starts: readonly EmulatedStart[];
  readonly workerIds: () => readonly string[];
  /** Plays a number of rounds. */
  readonly play: (rounds: number) => void;
  /** Crashes live workers; their hosts run new workers after some seconds. */
  readonly crash: (workerIds: readonly string[]) => void;
  /** Returns the id of the worker that runs a task; null for none. */
  readonly workerOf: (taskId: string) => string | null;
  /** Returns the number of workers that crashed while they ran a task. */
  readonly countCrashes: (taskId: string) => number;
  /** Returns the number of starts of a task. */
  readonly countStarts: (taskId: string) => number;
}

/** Adds emulated workers to a harness. */
export function createCrashingWorkers(first: ServiceHarness, terms: CrashTerms): CrashingWorkers {
  let harness = first;
  let elapsed = 0;
  const live = new Map<string, EmulatedWorker>();
  const starts: EmulatedStart[] = [];
  const crashCounts = new Map<string, number>();
  const returns: { readonly at: number; readonly listing: EmulatedWorker['listing'] }[] = [];
  let lives = 0;

  const advance = (milliseconds: number): void => {
    elapsed += milliseconds;
    harness.advance(milliseconds);
  };

  const addWorker = (hostId: string, rack: string): void => {
    lives += 1;
    const workerId = terms.keepsIds === true ? `worker-of-${hostId}` : `worker-${lives}-of-${hostId}`;
    const listing = listingOf(workerId, { incarnation: lives, hostId, rack });
    live.set(workerId, { listing, runs: new Map(), ends: 0 });
  };

  const listWorkers = (): void => {
    const workers = [...live.values()].map(({ listing }) => listing);
    harness.dispatch({ kind: 'workers-listed', workers });
  };

  const listHosts = (): void => {
    advance(1);
    const hosts = [...live.values()].map(({ listing }) => ({
      hostId: listing.hostId,
      pool: 'quotes',
      state: 'up' as const,
      dataCentre: 'west',
      rack: listing.rack,
      capacity: CAPACITY,
      workerId: listing.workerId,
    }));
    harness.dispatch({ kind: 'hosts-listed', hosts, askedAt: harness.state().now });
  };

  const crash = (workerIds: readonly string[]): void => {
    workerIds.forEach((workerId) => {
      const worker = live.get(workerId);
      if (worker === undefined) throw new Error(`Expected a live worker, found none with id ${workerId}`);
      live.delete(workerId);
      [...worker.runs.keys()].forEach((taskId) =>
        crashCounts.set(taskId, (crashCounts.get(taskId) ?? 0) + 1),
      );
      returns.push({ at: elapsed + RETURN_MILLISECONDS, listing: worker.listing });
    });
    listHosts();
  };

  const startRuns = (): readonly string[] => {
    const crashed = new Set<string>();
    harness.takeStarts().forEach(({ address }) => {
      const { task, run, workerId } = address;
      const worker = live.get(workerId);
      if (worker === undefined || crashed.has(workerId)) return;
      starts.push({ taskId: taskIdOf(task), workerId, beside: [...worker.runs.keys()] });
      const row = { task, run, checkpoint: '', percent: 100, load: null, startedAt: elapsed };
      worker.runs.set(taskIdOf(task), row);
      const isDeadly = terms.isDeadly(task);
      if (isDeadly) crashed.add(workerId);
      if (isDeadly && terms.losesAnswers === true) return;
      const clockMilliseconds = harness.state().workers.get(workerId)?.clockReading?.milliseconds ?? null;
      harness.dispatch({ kind: 'start-settled', address, outcome: 'started', clockMilliseconds });
    });
    return [...crashed];
  };

  const stopRuns = (): ReadonlySet<string> =>
    new Set(harness.takeStops().map(({ address }) => `${address.workerId}/${taskIdOf(address.task)}`));

  const countRuns = (): number => [...live.values()].reduce((sum, { runs }) => sum + runs.size, 0);

  const report = (worker: EmulatedWorker, stopped: ReadonlySet<string>, mayEnd: boolean): void => {
    const runs = [...worker.runs.values()];
    const isStopped = ({ task }: RunningReport): boolean =>
      stopped.has(`${worker.listing.workerId}/${taskIdOf(task)}`);
    const isDone = ({ task, startedAt }: EmulatedRun): boolean =>
      mayEnd && elapsed - startedAt >= terms.durationOf(task);
    const ended = runs.filter((run) => isStopped(run) || isDone(run));
    ended.forEach(({ task }) => worker.runs.delete(taskIdOf(task)));
    const running = runs
      .filter((run) => !ended.includes(run))
      .map(({ startedAt, ...row }): RunningReport => row);
    harness.report(worker.listing.workerId, {
      running,
      ended: ended.map((row) => {
        worker.ends += 1;
        const end = isStopped(row) ? ('stopped' as const) : ('done' as const);
        return { number: worker.ends, task: row.task, run: row.run, end, checkpoint: '' };
      }),
    });
  };

  const reportAll = (): void => {
    const stopped = stopRuns();
    const mayEnd = countRuns() >= (terms.gangSize ?? 1);
    [...live.values()].forEach((worker) => report(worker, stopped, mayEnd));
  };

  const changeOwner = (): void => {
    harness = createServiceHarness(harness.records());
    listWorkers();
    reportAll();
  };

  const playRound = (): void => {
    if (harness.state().isSuperseded) changeOwner();
    advance(ROUND_MILLISECONDS);
    const returned = returns.filter(({ at }) => at <= elapsed);
    returned.forEach((entry) => {
      returns.splice(returns.indexOf(entry), 1);
      addWorker(entry.listing.hostId, entry.listing.rack);
    });
    if (returned.length > 0) listWorkers();
    const crashed = startRuns();
    if (crashed.length > 0) crash(crashed);
    reportAll();
  };

  terms.racks.forEach((rack, index) => addWorker(`host-${index}`, rack));
  listWorkers();
  reportAll();
  return {
    harness: () => harness,
    changeOwner,
    starts,
    workerIds: () => [...live.keys()],
    play: (rounds) => Array.from({ length: rounds }).forEach(playRound),
    crash,
    workerOf: (taskId) => [...live.values()].find(({ runs }) => runs.has(taskId))?.listing.workerId ?? null,
    countCrashes: (taskId) => crashCounts.get(taskId) ?? 0,
    countStarts: (taskId) => starts.filter((start) => start.taskId === taskId).length,
  };
}
