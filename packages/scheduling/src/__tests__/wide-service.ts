/** A service that runs one wide job to its end, to measure what its width costs. It keeps nothing of what it stores. */
import { runSteps } from '@baobabdeck/types';
import type { TaskKey } from '../model/job.js';
import type { ServiceRecord } from '../model/records.js';
import type { EndedReport } from '../model/worker.js';
import { reduceService } from '../service/reduce.js';
import { restoreService } from '../service/restore.js';
import type { ServiceEvent } from '../state/event.js';
import type { ServiceState } from '../state/service-state.js';
import { effectsOf, jobOf, listingOf, type EffectOf } from './service-harness.js';

type Body = ServiceEvent extends infer E
  ? E extends ServiceEvent
    ? Omit<E, 'at' | 'timeOfDay'>
    : never
  : never;

type Start = EffectOf<'start-run'>['address'];

const WORKERS = 50;
const CORES_PER_WORKER = 16;
const CORE = { milliCores: 1_000, memoryMegabytes: 1_024, accelerators: 0 };
const CAPACITY = {
  milliCores: CORES_PER_WORKER * CORE.milliCores,
  memoryMegabytes: CORES_PER_WORKER * CORE.memoryMegabytes,
  accelerators: 0,
};
const JOB_ID = 'wide';
const RUN_MILLISECONDS = 1_000;
const CLAIMED_AT = 1_000_000;
const DAY = new Date('2026-01-01T00:00:00Z').getTime();

const PARAMETERS = {
  leaseMilliseconds: 5_000,
  ownershipProofMilliseconds: 5_000,
  reportWaitMilliseconds: 1_000,
  silenceMilliseconds: 500,
  statusRetentionMilliseconds: 120_000,
  gangTimeoutMilliseconds: 3_000,
  stopMilliseconds: 400,
  remoteFactor: 2,
  absenceNoticeMilliseconds: 4_500,
};

/** A service with one wide job. */
export interface WideService {
  /** Lets every task that runs end, and the next ones start. Returns whether the job goes on. */
  readonly step: () => boolean;
}

/** What runs on one worker, and how many runs have ended there. */
interface WorkerRuns {
  readonly started: readonly { readonly task: TaskKey; readonly run: number }[];
  readonly endCount: number;
}

const NO_RUNS: WorkerRuns = { started: [], endCount: 0 };

/** Creates the service and accepts its job; `onStored` receives each batch of records. */
export function createWideService(
  taskCount: number,
  onStored: (records: readonly ServiceRecord[]) => void,
): WideService {
  let now = CLAIMED_AT;
  let starts: readonly Start[] = [];
  const runsByWorker = new Map<string, WorkerRuns>();
  let { state }: { readonly state: ServiceState } = restoreService({
    service: 'quotes',
    parameters: PARAMETERS,
    fencingEpoch: 1,
    now,
    timeOfDay: new Date(DAY),
    claimedAt: now,
    provenAt: now,
    records: [],
  });

  const dispatch = (body: Body): void => {
    const timeOfDay = new Date(DAY + now - CLAIMED_AT);
    const result = runSteps(reduceService(state, { ...body, at: now, timeOfDay }));
    ({ state } = result);
    starts = [...starts, ...effectsOf(result.effects, 'start-run').map(({ address }) => address)];
    effectsOf(result.effects, 'store-records').forEach(({ appendId, records }) => {
      onStored(records);
      dispatch({ kind: 'records-stored', appendId, askedAt: now });
    });
  };

  const report = (workerId: string, ended: readonly EndedReport[]): void =>
    dispatch({
      kind: 'worker-reported',
      workerId,
      askedAt: now,
      report: {
        incarnation: 1,
        clockMilliseconds: 10_000 + now - CLAIMED_AT,
        running: [],
        ended,
        isComplete: true,
      },
    });

  const confirmStarts = (): void => {
    while (starts.length > 0) {
      const settled = starts;
      starts = [];
      settled.forEach((address) => {
        const { task, run, workerId } = address;
        const { started, endCount } = runsByWorker.get(workerId) ?? NO_RUNS;
        runsByWorker.set(workerId, { started: [...started, { task, run }], endCount });
        dispatch({ kind: 'start-settled', address, outcome: 'started', clockMilliseconds: null });
      });
    }
  };

  const endRuns = (workerId: string): void => {
    const { started, endCount } = runsByWorker.get(workerId) ?? NO_RUNS;
    runsByWorker.set(workerId, { started: [], endCount: endCount + started.length });
    const ended = started.map(({ task, run }, index) => ({
      number: endCount + index + 1,
      task,
      run,
      end: 'done' as const,
      checkpoint: '',
    }));
    report(workerId, ended);
  };

  const workerIds = Array.from({ length: WORKERS }, (_, index) => `worker-${index}`);
  dispatch({
    kind: 'workers-listed',
    workers: workerIds.map((workerId) => listingOf(workerId, { capacity: CAPACITY })),
  });
  workerIds.forEach((workerId) => report(workerId, []));
  const request = jobOf(JOB_ID, [{ taskCount, needs: CORE, estimatedMilliseconds: RUN_MILLISECONDS }]);
  const records = [{ offset: 1, record: { kind: 'job-accepted' as const, request } }];
  dispatch({ kind: 'records-read', records, askedAt: now });

  return {
    step: () => {
      confirmStarts();
      now += RUN_MILLISECONDS;
      dispatch({ kind: 'records-read', records: [], askedAt: now });
      workerIds.forEach(endRuns);
      return state.jobs.get(JOB_ID)?.phase === 'active';
    },
  };
}
