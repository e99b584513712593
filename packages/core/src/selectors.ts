/** Values derived from the state, for the surrounding programs and for operators. */
import { millisecondsBetween, type StreamName } from '@baobabdeck/types';
import { selectBudgetUse, type BudgetUse } from './fold/budget.js';
import { isLapsed } from './membership/contact.js';
import { isRegistered, selectPeers } from './membership/index.js';
import { pickByRendezvous } from './routing/rendezvous.js';
import type { State } from './state.js';

/** Whether the load balancer may send new requests to this process, and the reason if not. */
export interface Readiness {
  readonly ready: boolean;
  readonly reason: string;
}

/** Returns the readiness of a process. */
export function selectReadiness(state: State): Readiness {
  if (state.stopping) return { ready: false, reason: 'stopping' };
  if (state.fold.fleet.configuration.version === 0) {
    return { ready: false, reason: 'no configuration is in force' };
  }
  if (!isRegistered(state)) return { ready: false, reason: 'not registered in the log yet' };
  if (isLapsed(state)) return { ready: false, reason: 'heard neither the log nor a peer lately' };
  return { ready: true, reason: 'ready' };
}

/** Summary of a peer, from its newest heartbeat. */
export interface PeerSummary {
  readonly processId: string;
  readonly role: string;
  readonly silentMilliseconds: number | null;
  readonly fleetOffset: number | null;
  readonly configurationVersion: number | null;
}

/** Summary of a process's state, as returned by its admin port. */
export interface StatusSummary {
  readonly processId: string;
  readonly incarnation: string;
  readonly role: string;
  readonly readiness: Readiness;
  readonly configurationVersion: number;
  readonly fleetOffset: number;
  readonly keysOffset: number;
  readonly keysRemembered: number;
  readonly requestsInProgress: number;
  /** Slots of the pools that this process dispatches. */
  readonly pools: readonly PoolSlots[];
  /** Use of every pool's availability budget. */
  readonly budgets: readonly (BudgetUse & { readonly pool: string })[];
  readonly peers: readonly PeerSummary[];
}

/** Slots of a pool that a process dispatches. */
export interface PoolSlots {
  readonly pool: string;
  readonly ready: boolean;
  readonly totalSlots: number;
  readonly freeSlots: number;
  readonly longBusy: number;
  readonly unsettled: number;
  readonly waiting: number;
  readonly ejected: number;
}

function summarizePools(state: State): readonly PoolSlots[] {
  return [...state.dispatch.values()].map((view) => ({
    pool: view.pool,
    ready: view.ready,
    totalSlots: view.totalSlots,
    freeSlots: view.freeSlots,
    longBusy: view.longBusySlots,
    unsettled: view.unsettledCount,
    waiting: view.waiting.size,
    ejected: view.ejectedCount,
  }));
}

function summarizePeers(state: State): readonly PeerSummary[] {
  return selectPeers(state).map(({ identity }) => {
    const peer = state.membership.peers.get(identity.processId);
    return {
      processId: identity.processId,
      role: identity.role,
      silentMilliseconds: peer === undefined ? null : millisecondsBetween(peer.lastHeardAt, state.now),
      fleetOffset: peer?.fleetOffset ?? null,
      configurationVersion: peer?.configurationVersion ?? null,
    };
  });
}

/** Returns a summary of a process's state. */
export function selectStatus(state: State): StatusSummary {
  return {
    processId: state.identity.processId,
    incarnation: state.identity.incarnation,
    role: state.identity.role,
    readiness: selectReadiness(state),
    configurationVersion: state.fold.fleet.configuration.version,
    fleetOffset: state.fold.fleet.nextOffset,
    keysOffset: state.fold.keys.nextOffset,
    keysRemembered: state.fold.keys.timedKeys.size + state.fold.keys.untimedKeys.size,
    requestsInProgress: state.requests.byId.size,
    pools: summarizePools(state),
    budgets: [...state.fold.fleet.pools.keys()].map((pool) => ({
      pool,
      ...selectBudgetUse(state.fold.fleet, pool),
    })),
    peers: summarizePeers(state),
  };
}

/** Returns whether key claims or outcomes of a gateway are not yet stored in the log. */
export function hasUnrecordedKeys(state: State): boolean {
  const { claims, ends, inFlight } = state.requests.keyBatch;
  return !claims.isEmpty() || !ends.isEmpty() || !inFlight.isEmpty();
}

/** Selects the process that writes the next snapshot of a stream; null if there is no eligible member. */
export function selectSnapshotWriter(state: State, stream: StreamName): string | null {
  const role = stream === 'fleet' ? 'controller' : 'gateway';
  const members = [...state.fold.fleet.members.values()].filter((member) => member.identity.role === role);
  return pickByRendezvous(
    `snapshot/${stream}`,
    members.map((member) => member.identity.processId),
  );
}
