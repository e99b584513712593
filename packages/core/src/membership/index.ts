/** Heartbeats between the processes, and the registration of this process as a member. */
import {
  addMilliseconds,
  millisecondsBetween,
  type PeerMessage,
  type PoolLoad,
  type RecordBody,
} from '@baobabdeck/types';
import type { Step } from '../effect.js';
import type { Member } from '../fold/fold-state.js';
import { PersistentMap } from '../persistent.js';
import { makeRecord, type State } from '../state.js';
import { isLapsed, recordContact } from './contact.js';

/** Number of heartbeats whose sending time is kept, to tell the age of an echo. */
const HEARTBEATS_REMEMBERED = 64;

/** Time after which a registration that was not read back is appended again. */
const RECORD_RETRY_MILLISECONDS = 3_000;

/** Maximum number of records pushed at once to a peer that is behind. */
const RECORDS_PER_PUSH = 100;

const NO_REPORTS = { poolLoads: [], drainingInFlight: [] } as const;

type Heartbeat = Extract<PeerMessage, { readonly kind: 'heartbeat' }>;

/** Returns the members other than this process. */
export function selectPeers(state: State): readonly Member[] {
  return [...state.fold.fleet.members.values()].filter(
    (member) => member.identity.processId !== state.identity.processId,
  );
}

/** Returns whether this incarnation of the process is a member. */
export function isRegistered(state: State): boolean {
  const member = state.fold.fleet.members.get(state.identity.processId);
  return member !== undefined && member.identity.incarnation === state.identity.incarnation;
}

function countDrainingInFlight(state: State): Heartbeat['drainingInFlight'] {
  const counts = new Map<string, number>();
  for (const slot of state.requests.heldSlots.values()) {
    const duty = state.fold.fleet.hosts.get(slot.hostId)?.duty.kind;
    if (duty !== undefined && duty !== 'in-service') {
      counts.set(slot.hostId, (counts.get(slot.hostId) ?? 0) + 1);
    }
  }
  return [...counts].map(([hostId, count]) => ({ hostId, count }));
}

function selectPoolLoads(state: State): readonly PoolLoad[] {
  return [...state.dispatch.values()].map((view) => ({
    pool: view.pool,
    busySlots: view.grants.size,
    waiting: view.waiting.size,
    totalSlots: view.totalSlots,
    offeredSlots: Math.round(view.demand.offeredSlots),
  }));
}

function* sendHeartbeats(state: State): Step<State> {
  const sequence = state.membership.heartbeatSequence + 1;
  const drainingInFlight = countDrainingInFlight(state);
  const poolLoads = selectPoolLoads(state);
  for (const { identity } of selectPeers(state)) {
    // Only controllers act on loads and drains.
    const reports = identity.role === 'controller' ? { poolLoads, drainingInFlight } : NO_REPORTS;
    const message: Heartbeat = {
      kind: 'heartbeat',
      sequence,
      echo: state.membership.peers.get(identity.processId)?.lastSequence ?? 0,
      fleetOffset: state.fold.fleet.nextOffset,
      configurationVersion: state.fold.fleet.configuration.version,
      ...reports,
    };
    yield { kind: 'send', to: identity.processId, message };
  }
  const sentAt = state.membership.sentAt.set(sequence, state.now).remove(sequence - HEARTBEATS_REMEMBERED);
  const nextHeartbeatAt = addMilliseconds(state.now, state.parameters.heartbeatIntervalMilliseconds);
  return {
    ...state,
    membership: { ...state.membership, heartbeatSequence: sequence, sentAt, nextHeartbeatAt },
  };
}

function* pushRecords(state: State, to: string, fromOffset: number): Step<void> {
  const recent = state.recentRecords.get('fleet');
  if (recent === undefined) return;
  const records = recent.filter((record) => record.offset >= fromOffset).take(RECORDS_PER_PUSH);
  if (records.isEmpty() || records.first()?.offset !== fromOffset) return;
  yield {
    kind: 'send',
    to,
    message: { kind: 'records-pushed', stream: 'fleet', records: records.toArray() },
  };
}

/** Records a peer's heartbeat, pushes records that the peer lacks, and takes its echo as proof of contact. */
export function* handleHeartbeat(
  state: State,
  from: string,
  incarnation: string,
  message: Heartbeat,
): Step<State> {
  const known = state.membership.peers.get(from);
  const peers = state.membership.peers.set(from, {
    incarnation,
    lastHeardAt: state.now,
    answeredSince: state.membership.sentAt.get(message.echo) ?? known?.answeredSince ?? null,
    lastSequence: Math.max(message.sequence, known?.incarnation === incarnation ? known.lastSequence : 0),
    fleetOffset: message.fleetOffset,
    configurationVersion: message.configurationVersion,
    poolLoads: message.poolLoads,
    drainingInFlight: PersistentMap(message.drainingInFlight.map((entry) => [entry.hostId, entry.count])),
  });
  const updated: State = { ...state, membership: { ...state.membership, peers } };
  const ownOffset = state.fold.fleet.nextOffset;
  if (message.fleetOffset < ownOffset) yield* pushRecords(updated, from, message.fleetOffset);
  const echoedAt = state.membership.sentAt.get(message.echo);
  // A peer that is ahead proves that this process is behind, not that it is up to date.
  return echoedAt !== undefined && message.fleetOffset <= ownOffset
    ? recordContact(updated, echoedAt)
    : updated;
}

/** Appends a record to the stream `fleet`. */
export function* appendFleetRecord(state: State, body: RecordBody): Step<State> {
  const [next, record] = makeRecord(state, body, state.fold.fleet.nextOffset);
  yield { kind: 'append', stream: 'fleet', record };
  return next;
}

function mayRegister(state: State): boolean {
  if (state.stopping || isRegistered(state)) return false;
  const pendingSince = state.membership.registrationPendingSince;
  return pendingSince === null || millisecondsBetween(pendingSince, state.now) > RECORD_RETRY_MILLISECONDS;
}

function* register(state: State): Step<State> {
  if (!mayRegister(state)) return state;
  const sent = yield* appendFleetRecord(state, { kind: 'process-registered', identity: state.identity });
  return { ...sent, membership: { ...sent.membership, registrationPendingSince: state.now } };
}

function* updateLapse(state: State): Step<State> {
  const lapsed = isLapsed(state);
  if (lapsed === state.membership.lapsed) return state;
  const fields = { contact: state.membership.lastContactAt?.toISOString() ?? null };
  yield { kind: 'log', decision: lapsed ? 'processLapsed' : 'processRecovered', fields };
  return { ...state, membership: { ...state.membership, lapsed } };
}

/** Runs the periodic work: logs a lapse or recovery, registers this process and sends heartbeats. */
export function* tickMembership(state: State): Step<State> {
  const noted = yield* updateLapse(state);
  const registered = yield* register(noted);
  const { nextHeartbeatAt } = registered.membership;
  return nextHeartbeatAt === null || nextHeartbeatAt <= state.now
    ? yield* sendHeartbeats(registered)
    : registered;
}

/** Returns when a member's last heartbeat arrived or when it was first expected, whichever is later. */
export function selectLastHeard(state: State, member: Member): Date | null {
  const peer = state.membership.peers.get(member.identity.processId);
  const expected = state.membership.expectedSince.get(member.identity.processId) ?? null;
  if (peer === undefined || peer.incarnation !== member.identity.incarnation) return expected;
  return expected === null || peer.lastHeardAt > expected ? peer.lastHeardAt : expected;
}

/** Returns whether no heartbeat of a member arrived for longer than `milliseconds`. */
export function isSilent(state: State, member: Member, milliseconds: number): boolean {
  const heard = selectLastHeard(state, member);
  return heard !== null && millisecondsBetween(heard, state.now) > milliseconds;
}

/** Updates the time from which heartbeats of each member are expected. */
export function expectMembers(state: State): State {
  const { members } = state.fold.fleet;
  const expectedSince = members.map(
    (_, processId) => state.membership.expectedSince.get(processId) ?? state.now,
  );
  return { ...state, membership: { ...state.membership, expectedSince } };
}
