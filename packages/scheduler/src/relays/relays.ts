/** Relays of one process: those that it uses as an owner, and its own offers and orders carried out for other owners. */
import type { ProcessMeasures, WriteEvent } from '@baobabdeck/observability';
import { sleepAndMeasureLateness } from '../measure/event-loop-monitor.js';
import { formatMember, parseMember, type GroupMember } from '../node/group-member.js';
import type { RelayMode } from '../node/settings.js';
import type { SteadyClock } from '../node/steady-clock.js';
import type { BackgroundWork } from '../unexpected-errors/background-work.js';
import type { PeerRequest } from '../peers/messages.js';
import type { WorkerOrders } from '../ports/index.js';
import { chooseRelays } from './choose-relays.js';
import { createLoadMeter } from './process-load.js';
import { isShort, RELAYS_OFF, updateActivation } from './relay-activation.js';
import { createRelayClient } from './relay-client.js';
import { createRelayHandler } from './relay-handler.js';
import { parseRelayMessage } from './relay-messages.js';
import { createRelayOffers, type RelayOffer } from './relay-offers.js';
import { createRelayedWorkers } from './relayed-workers.js';
import { createWorkerAssignment } from './worker-assignment.js';

const CHECK_INTERVAL_MILLISECONDS = 100;

/** Checks between two offers to owners that want relays, and to those that do not. */
const CHECKS_PER_WANTED_OFFER = 10;
const CHECKS_PER_OFFER = 20;

const CHECKS_PER_PRUNING = 100;

/** Time for which the last direct order to a worker is remembered; longer than idle connections are kept. */
const DIRECT_USE_MILLISECONDS = 120_000;

const OFFER_TIMEOUT_MILLISECONDS = 400;

/** Offers from which relays are used: a deployment with fewer processes has none to spare. */
const MINIMUM_OFFERS = 8;

/** Idle share of the processor from which a process offers itself, unless it relays already, and if it does. */
const MINIMUM_IDLE_SHARE = 0.3;
const MINIMUM_IDLE_SHARE_IN_USE = 0.1;

/** Part of its idle processor that an owner offers; the rest is kept for its own bursts. */
const OWNER_OFFER_SHARE = 0.5;

/** Processor assumed where none is known, in thousandths of a core. */
const DEFAULT_MILLI_CORES = 1_000;

/** Dependencies of the relays. */
export interface RelaysParts {
  readonly mode: RelayMode;
  readonly clock: SteadyClock;
  readonly background: BackgroundWork;
  readonly writeEvent: WriteEvent;
  readonly measures: ProcessMeasures;
  readonly self: GroupMember;
  /** The orders that this process sends itself. */
  readonly workers: WorkerOrders;
  /** Sends a request to another process; null if no response arrives in time. */
  readonly request: (member: GroupMember, content: unknown, timeoutMilliseconds: number) => Promise<unknown>;
  /** The processes that own services, as far as known. */
  readonly owners: () => readonly GroupMember[];
  /** Whether this process owns a service. */
  readonly ownsService: () => boolean;
  readonly isStopping: () => boolean;
}

/** One relay of this process, for operators. */
export interface RelayStatus {
  readonly relay: string;
  readonly workers: number;
}

/** The relays of a process. */
export interface Relays {
  /** Orders for the owners of this process. */
  readonly workers: WorkerOrders;
  /** Answers batches of orders and outcomes; null if the content is another message. */
  readonly handle: (content: unknown) => unknown;
  /** Records an offer; returns whether this process wants relays. */
  readonly takeOffer: (offer: Extract<PeerRequest, { readonly kind: 'relay-offer' }>) => boolean;
  readonly status: () => readonly RelayStatus[];
  readonly close: () => void;
}

/** Relays that are turned off: orders are sent directly, and those of others are refused. */
function withoutRelays(workers: WorkerOrders): Relays {
  return {
    workers,
    handle: (content) =>
      parseRelayMessage(content) === null ? null : { kind: 'relay-refused', reason: 'stopping' },
    takeOffer: () => false,
    status: () => [],
    close: () => undefined,
  };
}

function distinctMembers(members: readonly GroupMember[]): readonly GroupMember[] {
  return [...new Map(members.map((member) => [formatMember(member), member])).values()];
}

function areSame(left: readonly RelayOffer[], right: readonly RelayOffer[]): boolean {
  return left.length === right.length && left.every((one, index) => one === right[index]);
}

/** Starts the relays of a process. */
export function startRelays(parts: RelaysParts): Relays {
  const { mode, clock, background, writeEvent, measures, workers, request } = parts;
  if (mode === 'off') return withoutRelays(workers);
  const self = formatMember(parts.self);
  const ownMilliCores = parts.self.milliCores > 0 ? parts.self.milliCores : DEFAULT_MILLI_CORES;
  const offers = createRelayOffers();
  const assignment = createWorkerAssignment();
  const measureLoad = createLoadMeter(measures.busyMilliseconds);
  const directAt = new Map<string, number>();
  const wantedBy = new Set<string>();
  let activation = mode === 'always' ? { ...RELAYS_OFF, isOn: true } : RELAYS_OFF;
  let load = { busyShare: 0, lateMilliseconds: 0 };
  let checks = 0;
  let closed = false;

  const client = createRelayClient({
    clock,
    background,
    self,
    request,
    onFailure: (relay, reason) => {
      // Every batch that was on its way fails with the relay; one line tells it.
      if (!assignment.bypassRelay(relay, clock.steadyNow())) return;
      writeEvent('relayFailed', { relay: parseMember(relay)?.nodeName ?? relay, reason });
    },
    onSettled: measures.relayedOrders,
  });
  const handler = createRelayHandler({
    clock,
    background,
    self,
    workers,
    request,
    isStopping: () => closed || parts.isStopping(),
    isUsedSince: (address, since) => (directAt.get(address) ?? -Infinity) >= since,
  });

  const isWanted = (): boolean => activation.isOn && parts.ownsService();

  const updateRelays = (now: number): void => {
    const current = isWanted() ? offers.current(now) : [];
    const suffice = mode === 'always' || current.length >= MINIMUM_OFFERS;
    const before = assignment.relays();
    const relays = suffice ? chooseRelays(self, ownMilliCores, before, current) : [];
    if (areSame(before, relays)) return;
    assignment.setRelays(relays);
    writeEvent('relaysChosen', { relays: relays.map(({ member }) => member.nodeName) });
  };

  const updateLoad = (now: number, lateMilliseconds: number): void => {
    load = measureLoad(now, lateMilliseconds);
    if (mode === 'always') return;
    const before = activation.isOn;
    activation = updateActivation(activation, load, now);
    if (activation.isOn === before || !parts.ownsService()) return;
    writeEvent(activation.isOn ? 'relaysOn' : 'relaysOff', {
      busyShare: Math.round(load.busyShare * 100) / 100,
      lateMilliseconds: Math.round(load.lateMilliseconds),
    });
  };

  const sendOffer = async (owner: GroupMember, idleShare: number): Promise<void> => {
    const name = formatMember(owner);
    const content = {
      kind: 'relay-offer',
      member: self,
      milliCores: ownMilliCores,
      idleShare,
      linkMegabits: null,
    };
    const response = await request(owner, content, OFFER_TIMEOUT_MILLISECONDS);
    const isAccepted =
      typeof response === 'object' &&
      response !== null &&
      'wantsRelays' in response &&
      response.wantsRelays === true;
    if (isAccepted) wantedBy.add(name);
    else wantedBy.delete(name);
  };

  const sendOffers = (): void => {
    const idleShare = 1 - load.busyShare;
    const minimum = handler.isInUse() ? MINIMUM_IDLE_SHARE_IN_USE : MINIMUM_IDLE_SHARE;
    const isShortHere = isShort(load) || (mode === 'on' && isWanted());
    if (isShortHere || idleShare < minimum || parts.isStopping()) return;
    const offered = parts.ownsService() ? idleShare * OWNER_OFFER_SHARE : idleShare;
    distinctMembers(parts.owners())
      .filter((owner) => formatMember(owner) !== self)
      .filter((owner) => checks % CHECKS_PER_OFFER === 0 || wantedBy.has(formatMember(owner)))
      .forEach((owner) => background.start('send-relay-offer', () => sendOffer(owner, offered)));
  };

  const prune = (now: number): void => {
    handler.closeIdleConnections();
    assignment.prune(now);
    [...directAt].forEach(([address, at]) => {
      if (now - at > DIRECT_USE_MILLISECONDS) directAt.delete(address);
    });
  };

  const waitAndCheck = async (): Promise<void> => {
    const lateMilliseconds = await sleepAndMeasureLateness(clock, CHECK_INTERVAL_MILLISECONDS);
    const now = clock.steadyNow();
    checks += 1;
    updateLoad(now, lateMilliseconds);
    client.expire();
    updateRelays(now);
    if (checks % CHECKS_PER_WANTED_OFFER === 0) sendOffers();
    if (checks % CHECKS_PER_PRUNING === 0) prune(now);
  };
  background.repeat('check-relays', () => !closed, waitAndCheck);

  return {
    workers: createRelayedWorkers({
      direct: workers,
      client,
      relayOf: (workerId) => assignment.relayOf(workerId, clock.steadyNow(), client.hasOrders),
      onUnreached: (workerId) => assignment.bypassWorker(workerId, clock.steadyNow()),
      onDirect: (address) => directAt.set(address, clock.steadyNow()),
    }),
    handle: (content) => {
      const message = parseRelayMessage(content);
      if (message === null) return null;
      if (message.kind === 'relay-orders') return handler.takeOrders(message);
      client.takeOutcomes(message);
      return { kind: 'relay-outcomes-taken' };
    },
    takeOffer: ({ member, milliCores, idleShare, linkMegabits }) => {
      if (parts.ownsService()) offers.record(member, milliCores * idleShare, linkMegabits, clock.steadyNow());
      return isWanted();
    },
    status: () => [...assignment.counts()].map(([relay, count]) => ({ relay, workers: count })),
    close: () => {
      closed = true;
    },
  };
}
