/** Owner of the fleet: claims its logs, runs its reducer and performs the resulting effects on hosts and waves. */
import type { ProcessMeasures, WriteEvent } from '@baobabdeck/observability';
import {
  grantedServices,
  mayOrder,
  reduceFleet,
  restoreFleet,
  selectServiceGrants,
  selectServiceHostRequests,
  type FleetEffect,
  type FleetEvent,
  type FleetParameters,
  type FleetState,
  type ServiceGrants,
  type ServiceReport,
  type ServiceHostRequests,
  type WaveStatus,
} from '@baobabdeck/scheduling';
import { sleepAndMeasureLateness } from '../measure/event-loop-monitor.js';
import { createOwnerLoad } from '../measure/owner-load.js';
import type { PoolHostList } from '../node/host-list-poller.js';
import { journalOf } from '../node/layout.js';
import type { SteadyClock } from '../node/steady-clock.js';
import { claimService, type ClaimedService } from '../owner/claim.js';
import { decodeReadable } from '../owner/decoded-record.js';
import { openJournal, type OwnedJournal } from '../owner/owned-journal.js';
import { encodeRecord } from '../owner/record-codec.js';
import { createReducerLoop, type ReducerLoop, type EventBody } from '../owner/reducer-loop.js';
import type {
  HostService,
  LogPartition,
  OperatorFeed,
  QueueConfiguration,
  Store,
  WaveRequest,
} from '../ports/index.js';
import { createBackgroundWork } from '../unexpected-errors/background-work.js';
import { createErrorReporter } from '../unexpected-errors/report-unexpected-error.js';
import { termsOf } from '../node/workspace-terms.js';
import { decodeFleetRecord, encodeFleetRecord } from './fleet-codec.js';

const LONG_POLL_MILLISECONDS = 1_000;
const RETRY_DELAY_MILLISECONDS = 100;

/** Time between two ticks; each exchanges reports with the services and lets the reducer decide. */
const TICK_INTERVAL_MILLISECONDS = 125;

/** Ticks between two requests for the list of hosts. */
const TICKS_PER_HOST_LIST = 4;

const MILLISECONDS_PER_SECOND = 1_000;

/** Fleet event without its timestamps. */
type FleetEventBody = EventBody<FleetEvent>;

/** Dependencies and parameters of the fleet owner. */
export interface FleetOwnerParts {
  /** The fleet's inbox. */
  readonly inbox: LogPartition;
  /** Encoded member name of this process, stored in the claim; other processes find the owner by it. */
  readonly member: string;
  /** Name of this node, sent as the holder of each order to a host. */
  readonly nodeName: string;
  readonly parameters: FleetParameters;
  readonly store: Store;
  readonly hosts: HostService;
  readonly feed: OperatorFeed;
  readonly clock: SteadyClock;
  readonly writeEvent: WriteEvent;
  readonly measures: ProcessMeasures;
  readonly configuration: () => QueueConfiguration | null;
  readonly waves: () => readonly WaveRequest[];
  /** Sends a service owner what the fleet requests of it and returns its report; null if it does not answer. */
  readonly requestServiceReport: (
    service: string,
    hostRequests: ServiceHostRequests,
    grants: ServiceGrants | null,
    epoch: number,
    sequence: number,
  ) => Promise<ServiceReport | null>;
  /** Called when the ownership ends because another process has claimed the fleet. */
  readonly onSuperseded: () => void;
}

/** Handle of the fleet owner. */
export interface FleetOwner {
  readonly inbox: LogPartition;
  /** Returns the fleet's state; null before the claim succeeds. */
  readonly state: () => FleetState | null;
  /** Returns the hosts of a pool as last listed, and the time of that request; null before the first list. */
  readonly hostsInPool: (pool: string) => PoolHostList | null;
  /** Whether the claim has succeeded and was proven recently enough to order hosts. */
  readonly isServing: () => boolean;
  /** Resigns and stops the owner, once the pending appends have ended or timed out. */
  readonly stop: () => Promise<void>;
}

/** Creates the owner of the fleet and starts to claim it. */
export function createFleetOwner(parts: FleetOwnerParts): FleetOwner {
  const { inbox, store, clock, writeEvent, measures } = parts;
  let claimed: ClaimedService | null = null;
  let loop: ReducerLoop<FleetState, FleetEventBody> | null = null;
  let journal: OwnedJournal | null = null;
  let nextOffset = 0;
  let closed = false;
  const isOpen = (): boolean => !closed;
  const reportError = createErrorReporter((name, fields) =>
    writeEvent(name, { subject: 'fleet', ...fields }),
  );
  const background = createBackgroundWork(clock, reportError);
  const currentState = (): FleetState | null => loop?.state() ?? null;
  const load = createOwnerLoad({
    clock,
    writeEvent,
    measures,
    logFields: { subject: 'fleet' },
    queueStatistics: () => ({ hosts: currentState()?.hosts.size ?? 0 }),
  });

  const dispatch = (body: FleetEventBody): void => {
    if (!closed) loop?.dispatch(body);
  };

  const storeRecords = ({
    appendId,
    records,
  }: Extract<FleetEffect, { kind: 'store-fleet-records' }>): void => {
    const groups = records.map((record) => [encodeFleetRecord(record)]);
    journal?.append(appendId, groups, (firstOffset, askedAt) =>
      dispatch({ kind: 'fleet-records-stored', appendId, firstOffset, askedAt }),
    );
  };

  const orderHost = async (effect: Extract<FleetEffect, { kind: 'order-host' }>): Promise<void> => {
    if (effect.delayMilliseconds > 0) await clock.sleep(effect.delayMilliseconds);
    if (closed) return;
    const { hostId, what, fencingEpoch } = effect;
    // The process may have been paused since the order was decided, so its proof of ownership may be too old.
    const state = currentState();
    if (state === null || !mayOrder({ ...state, now: clock.steadyNow() })) {
      dispatch({ kind: 'host-order-settled', hostId, fencingEpoch, outcome: 'withheld' });
      return;
    }
    const orderHead = { hostId, holder: parts.nodeName, fencingEpoch };
    const outcome =
      what.kind === 'move'
        ? await parts.hosts.move({ ...orderHead, pool: what.pool })
        : await parts.hosts.maintain({ ...orderHead, wave: what.wave });
    dispatch({ kind: 'host-order-settled', hostId, fencingEpoch, outcome });
  };

  const publishWaveStatus = async (wave: number, status: WaveStatus): Promise<void> => {
    const isStored = await parts.feed.writeWaveStatus(wave, status);
    dispatch({ kind: 'wave-status-told', wave, status, isStored });
  };

  function perform(effect: FleetEffect): void {
    switch (effect.kind) {
      case 'store-fleet-records':
        storeRecords(effect);
        break;
      case 'order-host':
        background.start(effect.kind, () => orderHost(effect));
        break;
      case 'tell-wave-status':
        background.start(effect.kind, () => publishWaveStatus(effect.wave, effect.status));
        break;
      case 'give-up-ownership':
        closed = true;
        writeEvent('ownershipSuperseded', { subject: 'fleet', reason: effect.reason });
        parts.onSuperseded();
        break;
      default:
        writeEvent(effect.decision, effect.fields);
    }
  }

  /** Reads the inbox for newer claims; each read that finds none proves the ownership. */
  const proveOwnership = async (): Promise<void> => {
    const askedAt = clock.steadyNow();
    const page = await store.read(inbox, nextOffset, LONG_POLL_MILLISECONDS);
    if (page.kind !== 'read' || claimed === null) {
      await clock.sleep(RETRY_DELAY_MILLISECONDS);
      return;
    }
    const { epoch } = claimed;
    nextOffset = page.nextOffset;
    // The fleet's inbox holds only claims, so any later record is a newer claim.
    const isSuperseded = page.records.some((record) => record.offset >= epoch);
    if (isSuperseded) dispatch({ kind: 'ownership-lost' });
    else if (!page.hasMore) dispatch({ kind: 'ownership-proven', askedAt });
  };

  const listHosts = async (): Promise<void> => {
    const askedAt = clock.steadyNow();
    const outcome = await parts.hosts.list();
    if (outcome.kind === 'listed') {
      dispatch({ kind: 'hosts-listed', hosts: outcome.hosts, askedAt });
    } else {
      writeEvent('hostListFailed', { detail: outcome.detail });
    }
  };

  const pendingServices = new Set<string>();
  let requestSequence = 0;
  const updateService = async (service: string, sequence: number): Promise<void> => {
    const state = currentState();
    if (state === null || claimed === null) return;
    pendingServices.add(service);
    const hostRequests = selectServiceHostRequests(state, service);
    // The next fleet owner raises no limit until the proof of this one has expired.
    const isProven = mayOrder({ ...state, now: clock.steadyNow() });
    const grants = isProven ? selectServiceGrants(state, service) : null;
    const report = await parts.requestServiceReport(service, hostRequests, grants, claimed.epoch, sequence);
    pendingServices.delete(service);
    if (report !== null) dispatch({ kind: 'service-reported', report });
  };

  /** Exchanges host requests and grants for a report with each service that has answered the last request. */
  const updateServices = (services: readonly string[]): void => {
    const messages = services
      .filter((service) => !pendingServices.has(service))
      .map((service, index) => ({ service, sequence: requestSequence + index + 1 }));
    requestSequence += messages.length;
    dispatch({ kind: 'grants-due', messages });
    messages.forEach(({ service, sequence }) => {
      background.start(
        'update-service',
        () => updateService(service, sequence),
        () => pendingServices.delete(service),
      );
    });
  };

  const tick = (index: number): void => {
    const configuration = parts.configuration();
    const services = configuration?.services ?? [];
    if (configuration !== null) {
      const { version, workspaces } = configuration;
      dispatch({ kind: 'workspaces-configured', version, workspaces: workspaces.map(termsOf) });
    }
    dispatch({
      kind: 'pools-known',
      pools: services.map(({ name, isStandby }) => ({ pool: name, isStandby })),
    });
    parts.waves().forEach(({ wave, hostIds, durationSeconds, maximumDown }) =>
      dispatch({
        kind: 'wave-asked',
        wave,
        hostIds,
        durationMilliseconds: durationSeconds * MILLISECONDS_PER_SECOND,
        maximumDown,
      }),
    );
    if (index % TICKS_PER_HOST_LIST === 0) background.start('list-hosts', listHosts);
    const state = currentState();
    if (state !== null) updateServices(grantedServices(state));
    dispatch({ kind: 'ticked' });
  };

  let tickCount = 0;
  const tickAndWait = async (): Promise<void> => {
    tick(tickCount);
    tickCount += 1;
    load.recordLateness(await sleepAndMeasureLateness(clock, TICK_INTERVAL_MILLISECONDS));
  };

  const claimAndStart = async (): Promise<void> => {
    const [claimRecord] = encodeRecord({ kind: 'ownership-claimed', owner: parts.member });
    if (claimRecord === undefined) return;
    const journalPartition = journalOf(inbox);
    claimed = await claimService({
      store,
      clock,
      inbox,
      journal: journalPartition,
      claimRecord,
      prepare: () => undefined,
      shouldContinue: isOpen,
      writeEvent,
      logFields: { subject: 'fleet' },
    });
    if (claimed === null) {
      if (isOpen()) parts.onSuperseded();
      return;
    }
    nextOffset = claimed.nextOffset;
    const initial = restoreFleet({
      parameters: parts.parameters,
      now: clock.steadyNow(),
      timeOfDay: clock.now(),
      claimedAt: claimed.claimedAt,
      provenAt: claimed.provenAt,
      fencingEpoch: claimed.epoch,
      records: decodeReadable(claimed.records, decodeFleetRecord, writeEvent, { subject: 'fleet' }),
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
      logFields: { subject: 'fleet' },
    });
    loop = createReducerLoop({
      initial,
      reduce: (current, body: FleetEventBody, at, timeOfDay) =>
        reduceFleet(current, { ...body, at, timeOfDay }),
      perform,
      clock,
      reportError,
      load,
      logFields: { subject: 'fleet' },
    });
    writeEvent('serviceClaimed', {
      service: null,
      subject: 'fleet',
      epoch: claimed.epoch,
      nextOffset,
      milliseconds: Math.round(claimed.milliseconds),
      bytes: claimed.bytes,
    });
    background.repeat('prove-ownership', isOpen, proveOwnership);
    background.repeat('tick', isOpen, tickAndWait);
  };

  background.start('claim', claimAndStart, () => {
    closed = true;
    parts.onSuperseded();
  });
  return {
    inbox,
    state: currentState,
    hostsInPool: (pool) => {
      const state = currentState();
      if (state === null || state.listedAt === null) return null;
      const poolHosts = state.hosts.filter((host) => host.listing.pool === pool);
      return { hosts: [...poolHosts.values()].map((host) => host.listing), askedAt: state.listedAt };
    },
    isServing: () => {
      const provenAt = currentState()?.provenAt ?? -Infinity;
      return !closed && clock.steadyNow() - provenAt < parts.parameters.ownershipProofMilliseconds;
    },
    stop: async () => {
      // The journal takes one append at a time: the resignation is appended after the pending batch.
      await journal?.flush();
      dispatch({ kind: 'resign-requested' });
      await journal?.flush();
      closed = true;
      writeEvent('serviceGivenUp', { service: null, subject: 'fleet', epoch: claimed?.epoch ?? null });
    },
  };
}
