/** Workers of a fictitious service, which answer the orders of a warm-up play in virtual time. */
import {
  taskIdOf,
  type EndedReport,
  type RunAddress,
  type RunningReport,
  type WorkerListing,
  type WorkerReport,
} from '@baobabdeck/scheduling';

const CAPACITY = { milliCores: 16_000, memoryMegabytes: 65_536, accelerators: 0 };

const INCARNATION = 1;

/** Time that a run takes. */
const RUN_MILLISECONDS = 150;

interface ActiveRun {
  readonly address: RunAddress;
  readonly endsAt: number;
}

/** The workers of a warm-up play. Times are milliseconds since the play began. */
export interface ModelWorkers {
  readonly listings: readonly WorkerListing[];
  readonly start: (address: RunAddress, now: number) => void;
  readonly stop: (address: RunAddress, now: number) => void;
  /** Whether a worker has run ends above `acknowledgedEnd`. */
  readonly hasEnds: (workerId: string, acknowledgedEnd: number, now: number) => boolean;
  readonly report: (workerId: string, acknowledgedEnd: number, now: number) => WorkerReport;
}

function listingOf(workerId: string): WorkerListing {
  return {
    workerId,
    incarnation: INCARNATION,
    hostId: `host-of-${workerId}`,
    pool: 'warm-up',
    address: workerId,
    dataCentre: 'warm-up',
    isDraining: false,
    capacity: CAPACITY,
    labels: ['warm-up'],
    rack: 'rack-1',
    clockMilliseconds: 0,
  };
}

function runningReportOf({ address }: ActiveRun): RunningReport {
  return { task: address.task, run: address.run, checkpoint: '', percent: 100, load: null };
}

/** Creates workers that run nothing. */
export function createModelWorkers(count: number): ModelWorkers {
  const listings = Array.from({ length: count }, (_, index) => listingOf(`worker-${index}`));
  const runs = new Map(listings.map(({ workerId }) => [workerId, new Map<string, ActiveRun>()]));
  const ends = new Map<string, readonly EndedReport[]>();
  const endCounts = new Map<string, number>();

  const addEnd = ({ workerId, task, run }: RunAddress, end: EndedReport['end']): void => {
    const number = (endCounts.get(workerId) ?? 0) + 1;
    endCounts.set(workerId, number);
    ends.set(workerId, [...(ends.get(workerId) ?? []), { number, task, run, end, checkpoint: '' }]);
    runs.get(workerId)?.delete(taskIdOf(task));
  };

  const endDueRuns = (workerId: string, now: number): void => {
    const due = [...(runs.get(workerId)?.values() ?? [])].filter(({ endsAt }) => endsAt <= now);
    due.forEach(({ address }) => addEnd(address, 'done'));
  };

  const unacknowledgedEnds = (workerId: string, acknowledgedEnd: number): readonly EndedReport[] =>
    (ends.get(workerId) ?? []).filter(({ number }) => number > acknowledgedEnd);

  return {
    listings,
    start: (address, now) => {
      runs.get(address.workerId)?.set(taskIdOf(address.task), { address, endsAt: now + RUN_MILLISECONDS });
    },
    stop: (address, now) => {
      endDueRuns(address.workerId, now);
      const isRunning = runs.get(address.workerId)?.has(taskIdOf(address.task)) === true;
      if (isRunning) addEnd(address, 'stopped');
    },
    hasEnds: (workerId, acknowledgedEnd, now) => {
      endDueRuns(workerId, now);
      return unacknowledgedEnds(workerId, acknowledgedEnd).length > 0;
    },
    report: (workerId, acknowledgedEnd, now) => {
      endDueRuns(workerId, now);
      const ended = unacknowledgedEnds(workerId, acknowledgedEnd);
      ends.set(workerId, ended);
      const running = [...(runs.get(workerId)?.values() ?? [])].map(runningReportOf);
      return { incarnation: INCARNATION, clockMilliseconds: now, running, ended, isComplete: true };
    },
  };
}
