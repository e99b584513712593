/** Scene for tests of the referee: one worker that runs what the test says, and two hosts. */
import { PLAIN_STEP, type Resources, type StepRequest, type TaskKey } from '@baobabdeck/scheduling';
import type { JobPlan } from '../job-plans.js';
import type { ModelHost } from '../model-fleet.js';
import type { ModelWorker } from '../model-worker-types.js';
import type { Referee } from '../referee-types.js';
import { createReferee } from '../referee.js';
import type { RuleName } from '../sightings.js';
import type { VirtualTime } from '../virtual-time.js';

export const CAPACITY = { milliCores: 4_000, memoryMegabytes: 8_192, accelerators: 0 };

export const STEP: StepRequest = { ...PLAIN_STEP, taskCount: 2 };

export function planOf(...steps: readonly Partial<StepRequest>[]): JobPlan {
  return {
    job: {
      jobId: 'a',
      specification: 'work',
      steps: steps.map((step) => ({ ...STEP, ...step })),
      repetition: null,
    },
    service: 'service-0',
    maximumFailedRuns: 3,
    handedInAt: 100_000,
    objectiveMilliseconds: 2_000,
    taskPlan: () => ({ runMilliseconds: 1_000, failingRuns: 0 }),
    crashDelayMilliseconds: () => null,
  };
}

export interface Scene {
  readonly referee: Referee;
  readonly worker: ModelWorker;
  readonly pass: (milliseconds: number) => void;
  readonly start: (
    key: TaskKey,
    run: number,
    fields?: { readonly specification?: string; readonly isLate?: boolean },
  ) => void;
  readonly end: (key: TaskKey, run: number, end: 'done' | 'failed' | 'alone' | 'stopped') => void;
  /** Ends a run with its worker, whose next life is up at once; the run may have crashed it. */
  readonly lose: (key: TaskKey, run: number, cause: 'own-crash' | 'other') => void;
  readonly host: ModelHost;
}

export const FIRST: TaskKey = { jobId: 'a', occurrence: 0, step: 0, index: 0 };
export const SECOND: TaskKey = { ...FIRST, index: 1 };

/** A worker that runs what the test says it runs, at full speed. */
export function createScene(plan: JobPlan, guardsCapacity = true): Scene {
  let now = 100_000;
  let capacity: Resources = CAPACITY;
  const running: { task: TaskKey; run: number }[] = [];
  const worker = {
    isUp: () => true,
    listing: () => ({ workerId: 'worker-0' }),
    guardsCapacity,
    capacity: () => capacity,
    setCapacity: (changed: Resources) => {
      referee.onCapacityChange(worker);
      capacity = changed;
    },
    runs: () => running,
    percentOf: () => 100,
    mood: { isDraining: false },
  } as unknown as ModelWorker;
  const host = {
    hostId: 'host-0',
    pool: 'service-0',
    capacity: CAPACITY,
    state: 'up',
    worker,
    downFor: null,
    begunWaves: new Set(),
  } as unknown as ModelHost;
  const other = { ...host, hostId: 'host-1', state: 'upkeep', worker: null, downFor: 1 } as ModelHost;
  const time: VirtualTime = {
    now: () => now,
    after: () => undefined,
    whenSettled: () => undefined,
    runUntil: (until) => {
      now = until;
      return Promise.resolve();
    },
  };
  const referee = createReferee({
    time,
    plans: new Map([['a', plan]]),
    hosts: () => new Map([host, other].map((one) => [one.hostId, one])),
    lastTroubleAt: () => 0,
    workspaces: null,
  });
  const remove = (task: TaskKey, run: number): void => {
    const index = running.findIndex((one) => one.task === task && one.run === run);
    running.splice(index, 1);
  };
  return {
    referee,
    worker,
    host,
    pass: (milliseconds) => {
      now += milliseconds;
    },
    lose: (task, run, cause) => {
      now += 10;
      if (cause === 'own-crash') referee.onCrash(worker, task, run);
      remove(task, run);
      referee.onEnd({ worker, task, run, end: 'lapsed', checkpoint: '', isSilent: true });
      now += 10;
    },
    start: (task, run, { specification = 'work', isLate = false } = {}) => {
      running.push({ task, run });
      referee.onStart({ worker, task, run, specification, checkpoint: '', isLate });
    },
    end: (task, run, end) => {
      remove(task, run);
      referee.onEnd({ worker, task, run, end, checkpoint: '', isSilent: false });
    },
  };
}

export function rulesOf({ referee }: Scene): readonly RuleName[] {
  return referee.violations.map(({ rule }) => rule);
}
