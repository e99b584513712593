/** Owner of one service: claims its logs, runs its scheduler and performs the resulting effects. */
import type { LogFields, ProcessMeasures, WriteEvent } from '@baobabdeck/observability';
import {
  reduceService,
  restoreService,
  selectQueueStatistics,
  type SchedulingParameters,
  type ServiceEffect,
  type ServiceState,
  type StoredServiceRecord,
} from '@baobabdeck/scheduling';
import type {
  AppendOutcome,
  KeyedRecord,
  LogPartition,
  Store,
  StoredKeyedRecord,
  WorkerOrders,
} from '../ports/index.js';
import { createBackgroundWork } from '../unexpected-errors/background-work.js';
import { createErrorReporter } from '../unexpected-errors/report-unexpected-error.js';
import { sleepAndMeasureLateness } from '../measure/event-loop-monitor.js';
import { createOwnerLoad } from '../measure/owner-load.js';
import { journalOf } from '../node/layout.js';
import type { SteadyClock } from '../node/steady-clock.js';
import { appendUntilStored } from './append-until-stored.js';
import { claimService, type ClaimedService } from './claim.js';
import { decodeReadable, rememberDecoded } from './decoded-record.js';
import { performForwardingEffect, type OtherServices } from './forwarding-effects.js';
import { createLargeRecordReporter } from './large-records.js';
import { openJournal, type OwnedJournal } from './owned-journal.js';
import { decodeRecord, encodeRequestTombstones, encodeRecord } from './record-codec.js';
import { encodeGroups } from './record-groups.js';
import { createReducerLoop, type ReducerLoop } from './reducer-loop.js';
import type { ServiceEventBody } from './service-event.js';
import { performWorkerEffect } from './worker-effects.js';

const LONG_POLL_MILLISECONDS = 1_000;
const RETRY_DELAY_MILLISECONDS = 100;
const TICK_INTERVAL_MILLISECONDS = 100;

/** Dependencies and parameters of a service owner. */
export interface ServiceOwnerParts {
  readonly service: string;
  /** The service's inbox. */
  readonly inbox: LogPartition;
  /** Encoded member name of this process, stored in the claim; other processes find the owner by it. */
  readonly member: string;
  readonly parameters: SchedulingParameters;
  readonly store: Store;
  readonly workers: WorkerOrders;
  readonly clock: SteadyClock;
  readonly writeEvent: WriteEvent;
  readonly measures: ProcessMeasures;
  /** The services to which jobs are forwarded. */
  readonly others: OtherServices;
  /** Requests a new list of hosts, which shows whether the incarnation of a silent worker has ended. */
  readonly requestHostList: () => void;
  /** Called once the claim has succeeded and the state is restored. */
  readonly onClaimed: () => void;
  /** Called when the ownership ends; `shouldReclaim` is false if another process has claimed the service. */
  readonly onOwnershipEnded: (shouldReclaim: boolean) => void;
}

/** Handle of a service owner. */
export interface ServiceOwner {
  readonly service: string;
  readonly inbox: LogPartition;
  /** Returns the scheduler's state; null before the claim succeeds and after the ownership ends. */
  readonly state: () => ServiceState | null;
  readonly dispatch: (event: ServiceEventBody) => void;
  /** Computes a value from the state and measures it like an event named `kind`; null if there is no state. */
  readonly select: <T>(kind: string, selector: (state: ServiceState) => T) => T | null;
  /** Reads the inbox to its end without waiting for new records; resolves to false if it cannot be read. */
  readonly catchUp: () => Promise<boolean>;
  /** Stops the owner after the pending append has ended or timed out. */
  readonly stop: () => Promise<void>;
}

/** Creates the owner of a service and starts to claim it. */
export function createServiceOwner(parts: ServiceOwnerParts): ServiceOwner {
  const { service, inbox, member, parameters, store, clock, writeEvent, measures } = parts;
  let loop: ReducerLoop<ServiceState, ServiceEventBody> | null = null;
  let journal: OwnedJournal | null = null;
  let claimed: ClaimedService | null = null;
  let nextOffset = 0;
  let closed = false;

  const isOpen = (): boolean => !closed;
  const reportError = createErrorReporter((name, fields) => writeEvent(name, { service, ...fields }));
  const background = createBackgroundWork(clock, reportError);
  const reportLargeRecord = createLargeRecordReporter(writeEvent, { service });
  const currentState = (): ServiceState | null => (closed ? null : (loop?.state() ?? null));

  /** Gives up the service after an unexpected error; it is claimed again after a pause and restored from its logs. */
  const endOwnership = (): void => {
    closed = true;
    parts.onOwnershipEnded(false);
  };

  const queueStatistics = (): LogFields => {
    const state = currentState();
    if (state === null) return {};
    const statistics = selectQueueStatistics(state);
    measures.waitingTasks(service, statistics.waitingTasks);
    return { ...statistics };
  };

  const load = createOwnerLoad({ clock, writeEvent, measures, logFields: { service }, queueStatistics });

  const decodeAll = (records: readonly StoredKeyedRecord[]): readonly StoredServiceRecord[] =>
    decodeReadable(records, decodeRecord, writeEvent, { service });

  const dispatch = (event: ServiceEventBody): void => {
    if (!closed) loop?.dispatch(event);
  };

  const appendToInbox = async (records: readonly KeyedRecord[]): Promise<void> => {
    const request = { partition: inbox, records, producer: null, expectedEnd: null };
    const appendOnce = (): Promise<AppendOutcome> => store.append(request);
    await appendUntilStored({ clock, writeEvent, isOpen, service, appendOnce });
  };

  /** Deletes forgotten jobs from the inbox: the next owner would take their requests for new jobs. */
  const dropRequests = (jobIds: readonly string[]): Promise<void> =>
    appendToInbox(jobIds.flatMap(encodeRequestTombstones));

  const storeRecords = async ({
    appendId,
    records,
  }: Extract<ServiceEffect, { kind: 'store-records' }>): Promise<void> => {
    const forgotten = records.flatMap((record) => (record.kind === 'job-forgotten' ? [record.jobId] : []));
    // The progress of a job is deleted after its request, so that no owner finds the request alone and runs the job again.
    if (forgotten.length > 0) await dropRequests(forgotten);
    if (!isOpen()) return;
    const groups = encodeGroups(records, store.limits, reportLargeRecord);
    journal?.append(appendId, groups, (_firstOffset, askedAt) =>
      dispatch({ kind: 'records-stored', appendId, askedAt }),
    );
  };

  const perform = (effect: ServiceEffect): void => {
    switch (effect.kind) {
      case 'store-records':
        background.start('store-records', () => storeRecords(effect), endOwnership);
        break;
      case 'log':
        writeEvent(effect.decision, { service, ...effect.fields });
        break;
      case 'list-hosts':
        parts.requestHostList();
        break;
      case 'give-up-ownership':
        closed = true;
        parts.onOwnershipEnded(effect.claimsAgain);
        break;
      case 'rewrite-request':
        background.start('rewrite-request', () =>
          appendToInbox(encodeRecord({ kind: 'job-accepted', request: effect.request })),
        );
        break;
      case 'forward-job':
      case 'forward-cancellation':
      case 'find-unknown-jobs':
        background.start(effect.kind, () =>
          performForwardingEffect(effect, { others: parts.others, clock, writeEvent, dispatch, isOpen }),
        );
        break;
      default:
        background.start(effect.kind, () =>
          performWorkerEffect(effect, parts.workers, clock, dispatch, isOpen),
        );
    }
  };

  /** Reads one page of the inbox. */
  const readInbox = async (waitMilliseconds: number): Promise<'end' | 'more' | 'failed'> => {
    const askedAt = clock.steadyNow();
    const fromOffset = nextOffset;
    const page = await store.read(inbox, fromOffset, waitMilliseconds);
    if (page.kind !== 'read') {
      writeEvent('logUnreadable', { service, fromOffset, outcome: page });
      return 'failed';
    }
    // `catchUp` may have read the same records in parallel.
    const newRecords = page.records.filter((record) => record.offset >= nextOffset);
    nextOffset = Math.max(nextOffset, page.nextOffset);
    // Further records may hold the claim of a newer owner, so that a page before them proves no ownership.
    const provenAt = page.hasMore ? -Infinity : askedAt;
    dispatch({ kind: 'records-read', records: decodeAll(newRecords), askedAt: provenAt });
    return page.hasMore ? 'more' : 'end';
  };

  const catchUp = async (): Promise<boolean> => {
    let reached: 'end' | 'more' | 'failed' = 'more';
    while (reached === 'more' && isOpen()) reached = await readInbox(0);
    return reached === 'end';
  };

  const followInbox = async (): Promise<void> => {
    const reached = await readInbox(LONG_POLL_MILLISECONDS);
    if (reached === 'failed') await clock.sleep(RETRY_DELAY_MILLISECONDS);
  };

  const waitAndTick = async (): Promise<void> => {
    load.recordLateness(await sleepAndMeasureLateness(clock, TICK_INTERVAL_MILLISECONDS));
    dispatch({ kind: 'ticked' });
  };

  const claimAndStart = async (): Promise<void> => {
    const [claimRecord] = encodeRecord({ kind: 'ownership-claimed', owner: member });
    const decodeClaimed = rememberDecoded(decodeRecord);
    if (claimRecord === undefined) return;
    const journalPartition = journalOf(inbox);
    claimed = await claimService({
      store,
      clock,
      inbox,
      journal: journalPartition,
      claimRecord,
      prepare: (records) => records.forEach(decodeClaimed),
      shouldContinue: isOpen,
      writeEvent,
      logFields: { service },
    });
    if (claimed === null) {
      if (isOpen()) parts.onOwnershipEnded(false);
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
      records: decodeReadable(claimed.records, decodeClaimed, writeEvent, { service }),
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
      partition: journalPartition,
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
      reportError,
      load,
      logFields: { service },
    });
    const cancellations = cancelledJobIds.map((jobId) => ({
      offset: 0,
      record: { kind: 'job-cancelled' as const, jobId },
    }));
    dispatch({ kind: 'records-read', records: cancellations, askedAt: claimed.provenAt });
    parts.onClaimed();
    parts.requestHostList();
    background.repeat('follow-inbox', isOpen, followInbox);
    background.repeat('tick', isOpen, waitAndTick);
  };

  background.start('claim', claimAndStart, endOwnership);
  return {
    service,
    inbox,
    state: currentState,
    dispatch,
    select: (kind, selector) => {
      const state = currentState();
      if (state === null) return null;
      const beganAt = clock.steadyNow();
      const selected = selector(state);
      load.recordEvent(kind, beganAt, clock.steadyNow());
      return selected;
    },
    catchUp: () => (loop === null ? Promise.resolve(false) : catchUp()),
    stop: async () => {
      dispatch({ kind: 'stop-requested' });
      await journal?.flush();
      closed = true;
      writeEvent('serviceGivenUp', { service, epoch: claimed?.epoch ?? null });
    },
  };
}
