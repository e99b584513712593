/**
 * Which relay serves which worker. A worker keeps its relay while orders to it are in progress there. Relays that failed,
 * and workers that a relay could not reach, are bypassed for a while: the owner calls the workers itself.
 */
import { formatMember, type GroupMember } from '../node/group-member.js';
import { pickRelay } from './choose-relays.js';
import type { RelayOffer } from './relay-offers.js';

/** Time for which a failed relay, or a worker that its relay did not reach, is bypassed. */
const BYPASS_MILLISECONDS = 5_000;

/** Time after which a worker that got no order is forgotten. */
const FORGET_MILLISECONDS = 60_000;

interface Assigned {
  readonly relay: GroupMember;
  readonly name: string;
  /** Generation of the relays by which it was assigned. */
  readonly generation: number;
  usedAt: number;
}

/** The relays of the workers. */
export interface WorkerAssignment {
  /** Replaces the relays; none turns relaying off. */
  readonly setRelays: (relays: readonly RelayOffer[]) => void;
  readonly relays: () => readonly RelayOffer[];
  /** The relay of a worker; null to call it directly. `isBusy` tells whether orders to it are in progress. */
  readonly relayOf: (
    workerId: string,
    now: number,
    isBusy: (workerId: string) => boolean,
  ) => GroupMember | null;
  /** Returns whether the relay was in use until now. */
  readonly bypassRelay: (name: string, now: number) => boolean;
  readonly bypassWorker: (workerId: string, now: number) => void;
  /** Number of workers by the node name of their relay. */
  readonly counts: () => ReadonlyMap<string, number>;
  /** Forgets workers that got no order for a minute, and bypasses that are over. */
  readonly prune: (now: number) => void;
}

function dropExpired(bypassedUntil: Map<string, number>, now: number): void {
  [...bypassedUntil].forEach(([key, until]) => {
    if (until <= now) bypassedUntil.delete(key);
  });
}

/** Creates the assignment, at first without relays. */
export function createWorkerAssignment(): WorkerAssignment {
  const assigned = new Map<string, Assigned>();
  const bypassedRelays = new Map<string, number>();
  const bypassedWorkers = new Map<string, number>();
  let relays: readonly RelayOffer[] = [];
  let names: ReadonlySet<string> = new Set();
  let generation = 0;

  const assign = (workerId: string, now: number): Assigned | null => {
    const picked = pickRelay(workerId, relays);
    if (picked === null) return null;
    const entry = { relay: picked.member, name: formatMember(picked.member), generation, usedAt: now };
    assigned.set(workerId, entry);
    return entry;
  };

  const mustReassign = (entry: Assigned, isBusy: boolean): boolean =>
    !names.has(entry.name) || (entry.generation !== generation && !isBusy);

  return {
    setRelays: (changed) => {
      relays = changed;
      names = new Set(changed.map(({ member }) => formatMember(member)));
      generation += 1;
    },
    relays: () => relays,
    relayOf: (workerId, now, isBusy) => {
      if (relays.length === 0 || (bypassedWorkers.get(workerId) ?? 0) > now) return null;
      const known = assigned.get(workerId);
      const keeps = known !== undefined && !mustReassign(known, isBusy(workerId));
      const entry = keeps ? known : assign(workerId, now);
      if (entry === null || (bypassedRelays.get(entry.name) ?? 0) > now) return null;
      entry.usedAt = now;
      return entry.relay;
    },
    bypassRelay: (name, now) => {
      const wasInUse = (bypassedRelays.get(name) ?? 0) <= now;
      bypassedRelays.set(name, now + BYPASS_MILLISECONDS);
      return wasInUse;
    },
    bypassWorker: (workerId, now) => {
      bypassedWorkers.set(workerId, now + BYPASS_MILLISECONDS);
    },
    counts: () => {
      const counts = new Map(relays.map(({ member }) => [member.nodeName, 0]));
      [...assigned.values()].forEach(({ name, relay }) => {
        if (names.has(name)) counts.set(relay.nodeName, (counts.get(relay.nodeName) ?? 0) + 1);
      });
      return counts;
    },
    prune: (now) => {
      dropExpired(bypassedRelays, now);
      dropExpired(bypassedWorkers, now);
      [...assigned].forEach(([workerId, { usedAt }]) => {
        if (now - usedAt > FORGET_MILLISECONDS) assigned.delete(workerId);
      });
    },
  };
}
