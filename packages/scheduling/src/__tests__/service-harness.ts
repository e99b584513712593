/** Test harness that dispatches events to the scheduler of one service and answers its calls of the store. */
import { runSteps } from '@baobabdeck/types';
import { PLAIN_STEP, type JobRequest, type StepRequest, type TaskKey } from '../model/job.js';
import type { QueueReference } from '../model/queue.js';
import type { ServiceRecord, StoredServiceRecord } from '../model/records.js';
import type { WorkerListing, WorkerReport } from '../model/worker.js';
import type { ServiceEffect } from '../state/effect.js';
import type { ServiceEvent } from '../state/event.js';
import { reduceService } from '../service/reduce.js';
import { restoreService } from '../service/restore.js';
import type { ServiceState } from '../state/service-state.js';

type Body = ServiceEvent extends infer E
  ? E extends ServiceEvent
    ? Omit<E, 'at' | 'timeOfDay'>
    : never
  : never;

export type EffectOf<K extends ServiceEffect['kind']> = Extract<ServiceEffect, { readonly kind: K }>;

/** Default capacity of the workers of a harness. */
export const CAPACITY = { milliCores: 4_000, memoryMegabytes: 8_192, accelerators: 0 };

/** The queue of the jobs of a harness. */
export const QUOTES: QueueReference = { name: 'quotes', address: 'example/quotes/' };

const DAY = new Date('2026-01-01T00:00:00Z').getTime();

export function jobOf(
  jobId: string,
  steps: readonly Partial<StepRequest>[],
  terms: Partial<JobRequest> = {},
): JobRequest {
  return {
    jobId,
    service: 'quotes',
    queue: QUOTES.name,
    queueAddress: QUOTES.address,
    workspace: null,
    specification: 'work',
    steps: steps.map((step) => ({ ...PLAIN_STEP, ...step })),
    repetition: null,
    priority: 0,
    maximumFailedRuns: 3,
    stretch: 2,
    targetMilliseconds: 500,
    advice: null,
    ageMilliseconds: 0,
    acceptedAt: new Date(DAY),
    ...terms,
  };
}

export function keyOf(jobId: string, index = 0, step = 0): TaskKey {
  return { jobId, occurrence: 0, step, index };
}

/** Returns the entry of a worker in the register. */
export function listingOf(name: string, fields: Partial<WorkerListing> = {}): WorkerListing {
  return {
    workerId: name,
    incarnation: 1,
    hostId: `host-of-${name}`,
    pool: 'quotes',
    address: name,
    dataCentre: 'west',
    isDraining: false,
    capacity: CAPACITY,
    labels: [],
    rack: `rack-of-${name}`,
    clockMilliseconds: 10_000,
    ...fields,
  };
}

/** Scheduler of one service under test, with a manual clock. */
export interface ServiceHarness {
  readonly state: () => ServiceState;
  /** Dispatches an event and returns its effects, including the effects of answered appends. */
  readonly dispatch: (body: Body) => readonly ServiceEffect[];
  /** Advances the clock, then dispatches an empty read and a tick. */
  readonly advance: (milliseconds: number) => readonly ServiceEffect[];
  /** Lists additional workers, all of which report that they run nothing. */
  readonly addWorkers: (
    names: readonly string[],
    fields?: Partial<WorkerListing>,
  ) => readonly ServiceEffect[];
  readonly accept: (...requests: readonly JobRequest[]) => readonly ServiceEffect[];
  readonly cancel: (jobId: string) => readonly ServiceEffect[];
  /** Dispatches a report of a worker as of now; lists that are left out are empty. */
  readonly report: (workerId: string, lists: Partial<WorkerReport>) => readonly ServiceEffect[];
  /** Returns the start orders that are not yet settled, and leaves their settlement to the caller. */
  readonly takeStarts: () => readonly EffectOf<'start-run'>[];
  /** Returns the stop orders since the last call. */
  readonly takeStops: () => readonly EffectOf<'stop-run'>[];
  /** Returns the violations of invariants so far. */
  readonly violations: () => readonly EffectOf<'log'>[];
  /** Returns every record that was read or stored, oldest first, as a next owner reads them. */
  readonly records: () => readonly StoredServiceRecord[];
  /** Lets workers confirm every start order that is not yet settled. */
  readonly confirmStarts: () => void;
}

export function effectsOf<K extends ServiceEffect['kind']>(
  effects: readonly ServiceEffect[],
  kind: K,
): readonly EffectOf<K>[] {
  return effects.filter((effect): effect is EffectOf<K> => effect.kind === kind);
}

/** Returns the ids of the workers on which runs are started, in order. */
export function startsOf(effects: readonly ServiceEffect[]): readonly string[] {
  return effectsOf(effects, 'start-run').map(({ address }) => address.workerId);
}

const CLAIMED_AT = 1_000_000;

/** Creates a harness of a new owner that restores the given records. */
export function createServiceHarness(restored: readonly StoredServiceRecord[] = []): ServiceHarness {
  let now = CLAIMED_AT;
  let offset = restored.length;
  let stored = restored;
  let listed: readonly WorkerListing[] = [];
  let started: readonly EffectOf<'start-run'>[] = [];
  let stopped: readonly EffectOf<'stop-run'>[] = [];
  let violations: readonly EffectOf<'log'>[] = [];
  let { state } = restoreService({
    service: 'quotes',
    parameters: {
      leaseMilliseconds: 5_000,
      ownershipProofMilliseconds: 5_000,
      reportWaitMilliseconds: 1_000,
      silenceMilliseconds: 500,
      statusRetentionMilliseconds: 120_000,
      gangTimeoutMilliseconds: 3_000,
      stopMilliseconds: 400,
      remoteFactor: 2,
      absenceNoticeMilliseconds: 4_500,
    },
    fencingEpoch: 1,
    now,
    timeOfDay: new Date(DAY),
    claimedAt: now,
    provenAt: now,
    records: restored,
  });

  const step = (body: Body): readonly ServiceEffect[] => {
    const timeOfDay = new Date(DAY + now - CLAIMED_AT);
    const result = runSteps(reduceService(state, { ...body, at: now, timeOfDay }));
    ({ state } = result);
    return result.effects;
  };

  const keepRecords = (records: readonly ServiceRecord[]): readonly StoredServiceRecord[] => {
    const added = records.map((record, index) => ({ offset: offset + index + 1, record }));
    offset += added.length;
    stored = [...stored, ...added];
    return added;
  };

  const dispatch = (body: Body): readonly ServiceEffect[] => {
    const effects = [...step(body)];
    // A stored batch may cause further appends; each is answered in turn.
    for (let index = 0; index < effects.length; index += 1) {
      const effect = effects[index];
      if (effect?.kind === 'store-records') {
        keepRecords(effect.records);
        effects.push(...step({ kind: 'records-stored', appendId: effect.appendId, askedAt: now }));
      }
    }
    started = [...started, ...effectsOf(effects, 'start-run')];
    stopped = [...stopped, ...effectsOf(effects, 'stop-run')];
    const violated = effectsOf(effects, 'log').filter(({ decision }) => decision === 'invariantViolated');
    if (violated.length > 0) violations = [...violations, ...violated];
    return effects;
  };

  const readRecords = (records: readonly ServiceRecord[]): readonly ServiceEffect[] =>
    dispatch({ kind: 'records-read', records: keepRecords(records), askedAt: now });

  const takeStarts = (): readonly EffectOf<'start-run'>[] => {
    const taken = started;
    started = [];
    return taken;
  };

  const report: ServiceHarness['report'] = (workerId, lists) =>
    dispatch({
      kind: 'worker-reported',
      workerId,
      askedAt: now,
      report: {
        incarnation: state.workers.get(workerId)?.listing.incarnation ?? 1,
        clockMilliseconds: 10_000 + now - CLAIMED_AT,
        running: [],
        ended: [],
        isComplete: true,
        ...lists,
      },
    });

  return {
    state: () => state,
    dispatch,
    advance: (milliseconds) => {
      now += milliseconds;
      dispatch({ kind: 'records-read', records: [], askedAt: now });
      return dispatch({ kind: 'ticked' });
    },
    addWorkers: (names, fields = {}) => {
      listed = [...listed, ...names.map((name) => listingOf(name, fields))];
      const found = dispatch({ kind: 'workers-listed', workers: listed });
      return [...found, ...names.flatMap((name) => report(name, {}))];
    },
    accept: (...requests) =>
      readRecords(requests.map((request) => ({ kind: 'job-accepted' as const, request }))),
    cancel: (jobId) => readRecords([{ kind: 'job-cancelled', jobId }]),
    report,
    takeStarts,
    takeStops: () => {
      const taken = stopped;
      stopped = [];
      return taken;
    },
    violations: () => violations,
    records: () => stored,
    confirmStarts: () => {
      takeStarts().forEach(({ address }) =>
        dispatch({
          kind: 'start-settled',
          address,
          outcome: 'started',
          clockMilliseconds: 10_000 + now - CLAIMED_AT,
        }),
      );
    },
  };
}
