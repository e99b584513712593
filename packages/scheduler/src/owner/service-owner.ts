/** Owns one service: claims its logs, runs its scheduler and carries out what that decides. */
import type { LogFields, ProcessMeasures, WriteEvent } from '@baobabdeck/observability';
import {
  reduceService,
  restoreService,
  selectQueueFigures,
  type SchedulingParameters,
  type ServiceEffect,
  type ServiceEvent,
  type ServiceState,
  type StoredServiceRecord,
} from '@baobabdeck/scheduling';
import type { LogPartition, Store, StoredKeyedRecord, WorkerOrders } from '../ports/index.js';
import { sleepAndTellLateness } from '../measure/loop-watch.js';
import { createOwnerLoad } from '../measure/owner-load.js';
import { journalOf } from '../node/layout.js';
import type { SteadyClock } from '../node/steady-clock.js';
import { claimService, type ClaimedService } from './claim.js';
import { openJournal, type OwnedJournal } from './owned-journal.js';
import { decodeRecord, encodeDroppedRequest, encodeRecord } from './record-codec.js';
import { createReducerLoop, type ReducerLoop, type Untimed } from './reducer-loop.js';
import { performWorkerEffect } from './worker-effects.js';

const READ_WAIT_MILLISECONDS = 1_000;
const FAILURE_PAUSE_MILLISECONDS = 100;
const TICK_MILLISECONDS = 100;

/** An event without its times. */
export type ServiceEventBody = Untimed<ServiceEvent>;

/** What an owner needs. */
export interface ServiceOwnerParts {
  readonly service: string;
  /** The service's inbox. */
  readonly place: LogPartition;
  /** How others reach this process. */
  readonly member: string;
  readonly parameters: SchedulingParameters;
  readonly store: Store;
  readonly workers: WorkerOrders;
  readonly clock: SteadyClock;
  readonly writeEvent: WriteEvent;
  readonly measures: ProcessMeasures;
  /** A worker does not answer: the list of hosts tells whether its life is over. */
  readonly suspectWorker: () => void;
  /** The claim stands. */
  readonly onClaimed: () => void;
  /** The ownership is over: another process has claimed it, or this one is to claim it again. */
  readonly onGivenUp: (claimsAgain: boolean) => void;
}

/** One owned service. */
export interface ServiceOwner {
  readonly service: string;
  readonly place: LogPartition;
  /** The scheduler's state; null until the claim stands and once it is lost. */
  readonly state: () => ServiceState | null;
  readonly dispatch: (event: ServiceEventBody) => void;
  /** A value derived from the state, whose cost counts as that of an event; null where there is no state. */
  readonly select: <T>(kind: string, selector: (state: ServiceState) => T) => T | null;
  /** Reads the log up to its end as of now; false where it cannot be read. */
  readonly catchUp: () => Promise<boolean>;
  /** Stops: what is being stored is waited for, up to a limit. */
  readonly stop: () => Promise<void>;
}

/** Creates the owner of a service and begins to claim it. */
export function createServiceOwner(parts: ServiceOwnerParts): ServiceOwner {
  const { service, place, member, parameters, store, clock, writeEvent, measures } = parts;
  let loop: ReducerLoop<ServiceState, ServiceEventBody> | null = null;
  let journal: OwnedJournal | null = null;
  let claimed: ClaimedService | null = null;
  let nextOffset = 0;
  let closed = false;

  const isOpen = (): boolean => !closed;
  const stateNow = (): ServiceState | null => (closed ? null : (loop?.state() ?? null));

  const queueFigures = (): LogFields => {
    const state = stateNow();
    if (state === null) return {};
    const figures = selectQueueFigures(state);
    measures.waitingTasks(service, figures.waitingTasks);
    return { ...figures };
  };

  const load = createOwnerLoad({ clock, writeEvent, measures, logFields: { service }, queueFigures });

  const decodeAll = (records: readonly StoredKeyedRecord[]): readonly StoredServiceRecord[] =>
    records.flatMap((record) => {
      const decoded = decodeRecord(record);
      if (decoded.kind === 'unreadable') {
        writeEvent('recordUnreadable', { service, offset: decoded.offset, key: decoded.key });
      }
      return decoded.kind === 'record' ? [decoded.stored] : [];
    });

  const dispatch = (event: ServiceEventBody): void => {
    if (!closed) loop?.dispatch(event);
  };

  /** Drops from the inbox what was stored of jobs that are forgotten: a next owner would take them for new. */
  const dropRequests = async (jobIds: readonly string[]): Promise<void> => {
    const records = jobIds.flatMap(encodeDroppedRequest);
    while (isOpen()) {
      const outcome = await store.append({ partition: place, records, producer: null, expectedEnd: null });
      if (outcome.kind === 'stored') return;
      writeEvent('appendFailed', { service, outcome });
      await clock.sleep(FAILURE_PAUSE_MILLISECONDS);
    }
  };

  const storeRecords = async ({
    appendId,
    records,
  }: Extract<ServiceEffect, { kind: 'store-records' }>): Promise<void> => {
    const forgotten = records.flatMap((record) => (record.kind === 'job-forgotten' ? [record.jobId] : []));
    // A job's progress is dropped last: what is known to have ended never begins again.
    if (forgotten.length > 0) await dropRequests(forgotten);
    if (!isOpen()) return;
    journal?.append(appendId, records.flatMap(encodeRecord), (_firstOffset, askedAt) =>
      dispatch({ kind: 'records-stored', appendId, askedAt }),
    );
  };

  const perform = (effect: ServiceEffect): void => {
    switch (effect.kind) {
      case 'store-records':
        void storeRecords(effect);
        break;
      case 'log':
        writeEvent(effect.decision, { service, ...effect.fields });
        break;
      case 'list-hosts':
        parts.suspectWorker();
        break;
      case 'give-up-ownership':
        closed = true;
        parts.onGivenUp(effect.claimsAgain);
        break;
      default:
        void performWorkerEffect(effect, parts.workers, clock, dispatch, isOpen);
    }
  };

  const readOnce = async (waitMilliseconds: number): Promise<boolean> => {
    const askedAt = clock.steadyNow();
    const fromOffset = nextOffset;
    const page = await store.read(place, fromOffset, waitMilliseconds);
    if (page.kind !== 'read') {
      writeEvent('logUnreadable', { service, fromOffset, outcome: page });
      return false;
    }
    // A second read may have come first.
    const fresh = page.records.filter((record) => record.offset >= nextOffset);
    nextOffset = Math.max(nextOffset, page.nextOffset);
    dispatch({ kind: 'records-read', records: decodeAll(fresh), askedAt });
    return true;
  };

  const follow = async (): Promise<void> => {
    while (isOpen()) {
      const wasRead = await readOnce(READ_WAIT_MILLISECONDS);
      if (!wasRead) await clock.sleep(FAILURE_PAUSE_MILLISECONDS);
    }
  };

  const tick = async (): Promise<void> => {
    while (isOpen()) {
      load.noteLate(await sleepAndTellLateness(clock, TICK_MILLISECONDS));
      dispatch({ kind: 'ticked' });
    }
  };

  const begin = async (): Promise<void> => {
    const [claimRecord] = encodeRecord({ kind: 'ownership-claimed', owner: member });
    if (claimRecord === undefined) return;
    const journalPlace = journalOf(place);
    claimed = await claimService({
      store,
      clock,
      inbox: place,
      journal: journalPlace,
      claimRecord,
      isWanted: isOpen,
      writeEvent,
      logFields: { service },
    });
    if (claimed === null) {
      if (isOpen()) parts.onGivenUp(false);
      return;
    }
    nextOffset = claimed.nextOffset;
    const { state, cancelledJobIds } = restoreService({
      service,
      parameters,
      fencingEpoch: claimed.epoch,
      now: clock.steadyNow(),
      timeOfDay: clock.now(),
      claimedAt: claimed.claimedAt,
      provenAt: claimed.provenAt,
      records: decodeAll(claimed.records),
    });
    writeEvent('serviceClaimed', {
      service,
      epoch: claimed.epoch,
      jobs: state.jobs.size,
      activeJobs: state.activeJobIds.size,
      nextOffset,
      milliseconds: Math.round(claimed.milliseconds),
      bytes: claimed.bytes,
    });
    journal = openJournal({
      store,
      clock,
      place: journalPlace,
      epoch: claimed.epoch,
      isOpen,
      onFenced: () => dispatch({ kind: 'ownership-lost' }),
      writeEvent,
      load,
      logFields: { service },
    });
    loop = createReducerLoop({
      initial: state,
      reduce: (current, body: ServiceEventBody, at, timeOfDay) =>
        reduceService(current, { ...body, at, timeOfDay }),
      perform,
      clock,
      writeEvent,
      load,
      logFields: { service },
    });
    const cancels = cancelledJobIds.map((jobId) => ({
      offset: 0,
      record: { kind: 'job-cancelled' as const, jobId },
    }));
    dispatch({ kind: 'records-read', records: cancels, askedAt: claimed.provenAt });
    parts.onClaimed();
    parts.suspectWorker();
    void follow();
    void tick();
  };

  void begin();
  return {
    service,
    place,
    state: stateNow,
    dispatch,
    select: (kind, selector) => {
      const state = stateNow();
      if (state === null) return null;
      const beganAt = clock.steadyNow();
      const selected = selector(state);
      load.noteEvent(kind, beganAt, clock.steadyNow());
      return selected;
    },
    catchUp: () => (loop === null ? Promise.resolve(false) : readOnce(0)),
    stop: async () => {
      dispatch({ kind: 'stop-requested' });
      await journal?.settle();
      closed = true;
      writeEvent('serviceGivenUp', { service, epoch: claimed?.epoch ?? null });
    },
  };
}
