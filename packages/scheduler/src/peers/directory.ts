/** Knows which process owns which log. */
import { formatMember, parseMember, type GroupMember } from '../node/group-member.js';
import { partitionKey } from '../node/layout.js';
import { SCHEDULER_GROUP } from '../node/membership.js';
import type { SteadyClock } from '../node/steady-clock.js';
import type { LogPartition, PeerNetwork, Store } from '../ports/index.js';

/** Age of the list of owners from which on it is read again. */
const FRESH_MILLISECONDS = 1_000;

/** Pause between two reads when owners are looked for. */
const SHORTEST_PAUSE_MILLISECONDS = 100;

/** Time after the last question to a process for which its connection stays open, whether it is in the list or not. */
const TALK_MILLISECONDS = 10_000;

/** The owners, and calls to them. */
export interface OwnerDirectory {
  readonly ownerOf: (place: LogPartition) => Promise<GroupMember | null>;
  /** Reads the list unless it was read within a time; false where the store does not tell. */
  readonly readAgain: (ageMilliseconds: number) => Promise<boolean>;
  /** Every process that was in the list when it was last read. */
  readonly members: () => readonly GroupMember[];
  /** Asks a member; null where no answer came in time. */
  readonly ask: (member: GroupMember, question: unknown, timeoutMilliseconds: number) => Promise<unknown>;
  /** The list is out of date: the next question reads it again. */
  readonly distrust: () => void;
}

/** Creates the directory. */
export function createDirectory(store: Store, peers: PeerNetwork, clock: SteadyClock): OwnerDirectory {
  let owners = new Map<string, GroupMember>();
  const askedAt = new Map<string, number>();
  let readAt = -Infinity;
  let toldAt = -Infinity;
  let reading: Promise<void> | null = null;

  /** Whoever is in the list or was asked lately. */
  const keepConnections = (): void => {
    const since = clock.steadyNow() - TALK_MILLISECONDS;
    [...askedAt].filter(([, at]) => at < since).forEach(([address]) => askedAt.delete(address));
    const listed = [...owners.values()].map((owner) => owner.peerAddress);
    peers.keepOnly(new Set([...listed, ...askedAt.keys()]));
  };

  const read = async (): Promise<void> => {
    const sentAt = clock.steadyNow();
    const outcome = await store.listOwners(SCHEDULER_GROUP);
    if (outcome.kind === 'read') {
      const entries = outcome.owners.flatMap(({ partition, member }) => {
        const name = parseMember(member);
        return name === null ? [] : [[partitionKey(partition), name] as const];
      });
      owners = new Map(entries);
      toldAt = sentAt;
      keepConnections();
    }
    readAt = sentAt;
  };

  const refresh = async (): Promise<void> => {
    reading ??= read().finally(() => {
      reading = null;
    });
    await reading;
  };

  return {
    ownerOf: async (place) => {
      if (clock.steadyNow() - readAt > FRESH_MILLISECONDS) await refresh();
      return owners.get(partitionKey(place)) ?? null;
    },
    readAgain: async (ageMilliseconds) => {
      const since = clock.steadyNow() - ageMilliseconds;
      if (toldAt < since) await refresh();
      return toldAt >= since;
    },
    members: () => [...new Map([...owners.values()].map((name) => [formatMember(name), name])).values()],
    ask: (member, question, timeoutMilliseconds) => {
      askedAt.set(member.peerAddress, clock.steadyNow());
      return peers.request(member.peerAddress, question, timeoutMilliseconds);
    },
    distrust: () => {
      readAt = Math.min(readAt, clock.steadyNow() - FRESH_MILLISECONDS + SHORTEST_PAUSE_MILLISECONDS);
    },
  };
}
