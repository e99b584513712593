/** Owns the fleet: claims its logs, runs its reducer and carries out what that decides on hosts and waves. */
import type { ProcessMeasures, WriteEvent } from '@baobabdeck/observability';
import {
  mayOrder,
  reduceFleet,
  restoreFleet,
  selectWishes,
  type FleetEffect,
  type FleetEvent,
  type FleetParameters,
  type FleetState,
  type ServiceReport,
  type ServiceWishes,
  type WaveStatus,
} from '@baobabdeck/scheduling';
import { sleepAndTellLateness } from '../measure/loop-watch.js';
import { createOwnerLoad } from '../measure/owner-load.js';
import type { PoolHostList } from '../node/host-list-poller.js';
import { journalOf } from '../node/layout.js';
import type { SteadyClock } from '../node/steady-clock.js';
import { claimService, type ClaimedService } from '../owner/claim.js';
import { openJournal, type OwnedJournal } from '../owner/owned-journal.js';
import { encodeRecord } from '../owner/record-codec.js';
import { createReducerLoop, type ReducerLoop, type Untimed } from '../owner/reducer-loop.js';
import type {
  HostService,
  LogPartition,
  OperatorFeed,
  QueueConfiguration,
  Store,
  WaveRequest,
} from '../ports/index.js';
import { decodeFleetRecord, encodeFleetRecord } from './fleet-codec.js';

const READ_WAIT_MILLISECONDS = 1_000;
const FAILURE_PAUSE_MILLISECONDS = 100;

/** Time between two looks at services, and between two decisions. */
const TICK_MILLISECONDS = 125;

/** Ticks between two looks at the list of hosts. */
const TICKS_PER_LIST = 4;

const MILLISECONDS_PER_SECOND = 1_000;

/** An event without its times. */
type FleetEventBody = Untimed<FleetEvent>;

/** What an owner needs. */
export interface FleetOwnerParts {
  readonly place: LogPartition;
  readonly member: string;
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
  /** Tells a service's owner its wishes and brings its report back; null where it does not answer. */
  readonly askService: (
    service: string,
    wishes: ServiceWishes,
    epoch: number,
    sequence: number,
  ) => Promise<ServiceReport | null>;
  readonly onSuperseded: () => void;
}

/** The owned fleet. */
export interface FleetOwner {
  readonly place: LogPartition;
  /** The state of the fleet; null until the claim stands. */
  readonly state: () => FleetState | null;
  /** The hosts of a pool as last listed, and when that was asked for; null before the first list. */
  readonly hostsOf: (pool: string) => PoolHostList | null;
  /** Whether the claim stands and was proven recently enough to give orders. */
  readonly isServing: () => boolean;
  readonly stop: () => Promise<void>;
}

/** Creates the owner of the fleet and begins to claim it. */
export function createFleetOwner(parts: FleetOwnerParts): FleetOwner {
  const { place, store, clock, writeEvent, measures } = parts;
  let claimed: ClaimedService | null = null;
  let loop: ReducerLoop<FleetState, FleetEventBody> | null = null;
  let journal: OwnedJournal | null = null;
  let nextOffset = 0;
  let closed = false;
  const isOpen = (): boolean => !closed;
  const stateNow = (): FleetState | null => loop?.state() ?? null;
  const load = createOwnerLoad({
    clock,
    writeEvent,
    measures,
    logFields: { subject: 'fleet' },
    queueFigures: () => ({ hosts: stateNow()?.hosts.size ?? 0 }),
  });

  const dispatch = (body: FleetEventBody): void => {
    if (!closed) loop?.dispatch(body);
  };

  const storeRecords = ({
    appendId,
    records,
  }: Extract<FleetEffect, { kind: 'store-fleet-records' }>): void => {
    journal?.append(appendId, records.map(encodeFleetRecord), (firstOffset, askedAt) =>
      dispatch({ kind: 'fleet-records-stored', appendId, firstOffset, askedAt }),
    );
  };

  const orderHost = async (effect: Extract<FleetEffect, { kind: 'order-host' }>): Promise<void> => {
    if (effect.delayMilliseconds > 0) await clock.sleep(effect.delayMilliseconds);
    if (closed) return;
    const { hostId, what, fencingEpoch } = effect;
    // The process may have stood still since the order was decided.
    const state = stateNow();
    if (state === null || !mayOrder({ ...state, now: clock.steadyNow() })) {
      dispatch({ kind: 'host-order-settled', hostId, fencingEpoch, outcome: 'withheld' });
      return;
    }
    const head = { hostId, holder: parts.nodeName, fencingEpoch };
    const outcome =
      what.kind === 'move'
        ? await parts.hosts.move({ ...head, pool: what.pool })
        : await parts.hosts.maintain({ ...head, wave: what.wave });
    dispatch({ kind: 'host-order-settled', hostId, fencingEpoch, outcome });
  };

  const tellWaveStatus = async (wave: number, status: WaveStatus): Promise<void> => {
    const isStored = await parts.feed.writeWaveStatus(wave, status);
    dispatch({ kind: 'wave-status-told', wave, status, isStored });
  };

  function perform(effect: FleetEffect): void {
    switch (effect.kind) {
      case 'store-fleet-records':
        storeRecords(effect);
        break;
      case 'order-host':
        void orderHost(effect);
        break;
      case 'tell-wave-status':
        void tellWaveStatus(effect.wave, effect.status);
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

  /** Reads the inbox for newer claims: each read without one proves the ownership. */
  const proveOwnership = async (): Promise<void> => {
    while (isOpen() && claimed !== null) {
      const askedAt = clock.steadyNow();
      const page = await store.read(place, nextOffset, READ_WAIT_MILLISECONDS);
      if (page.kind === 'read') {
        const { epoch } = claimed;
        nextOffset = page.nextOffset;
        // The inbox of the fleet holds claims only.
        const isSuperseded = page.records.some((record) => record.offset >= epoch);
        dispatch(isSuperseded ? { kind: 'ownership-lost' } : { kind: 'ownership-proven', askedAt });
      } else {
        await clock.sleep(FAILURE_PAUSE_MILLISECONDS);
      }
    }
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

  const asked = new Set<string>();
  let questionSequence = 0;
  const askService = async (service: string): Promise<void> => {
    const state = stateNow();
    if (state === null || claimed === null || asked.has(service)) return;
    asked.add(service);
    questionSequence += 1;
    const wishes = selectWishes(state, service);
    const report = await parts.askService(service, wishes, claimed.epoch, questionSequence);
    asked.delete(service);
    if (report !== null) dispatch({ kind: 'service-reported', report });
  };

  const tick = (count: number): void => {
    const services = parts.configuration()?.services ?? [];
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
    if (count % TICKS_PER_LIST === 0) void listHosts();
    services
      .filter((service) => !service.isStandby)
      .forEach(({ name }) => {
        void askService(name);
      });
    dispatch({ kind: 'ticked' });
  };

  const run = async (): Promise<void> => {
    for (let count = 0; isOpen(); count += 1) {
      tick(count);
      load.noteLate(await sleepAndTellLateness(clock, TICK_MILLISECONDS));
    }
  };

  const begin = async (): Promise<void> => {
    const [claimRecord] = encodeRecord({ kind: 'ownership-claimed', owner: parts.member });
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
      records: claimed.records.flatMap((record) => decodeFleetRecord(record) ?? []),
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
      logFields: { subject: 'fleet' },
    });
    loop = createReducerLoop({
      initial,
      reduce: (current, body: FleetEventBody, at, timeOfDay) =>
        reduceFleet(current, { ...body, at, timeOfDay }),
      perform,
      clock,
      writeEvent,
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
    void proveOwnership();
    void run();
  };

  void begin();
  return {
    place,
    state: stateNow,
    hostsOf: (pool) => {
      const state = stateNow();
      if (state === null || state.listedAt === null) return null;
      const ofPool = state.hosts.filter((host) => host.listing.pool === pool);
      return { hosts: [...ofPool.values()].map((host) => host.listing), askedAt: state.listedAt };
    },
    isServing: () => {
      const provenAt = stateNow()?.provenAt ?? -Infinity;
      return !closed && clock.steadyNow() - provenAt < parts.parameters.ownershipProofMilliseconds;
    },
    stop: async () => {
      // What is being stored comes first; the resignation follows it.
      await journal?.settle();
      dispatch({ kind: 'resign-requested' });
      await journal?.settle();
      closed = true;
      writeEvent('serviceGivenUp', { service: null, subject: 'fleet', epoch: claimed?.epoch ?? null });
    },
  };
}
