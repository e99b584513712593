/** Finds the process that holds each inbox, from the store's list of owners. */
import { formatMember, parseMember, type GroupMember } from '../node/group-member.js';
import { partitionKey } from '../node/layout.js';
import { SCHEDULER_GROUP } from '../node/membership.js';
import type { SteadyClock } from '../node/steady-clock.js';
import type { LogPartition, PeerNetwork, Store } from '../ports/index.js';

/** Age above which the list of owners is read again. */
const MAXIMUM_AGE_MILLISECONDS = 1_000;

/** Shortest time between two reads when the list is invalidated repeatedly. */
const MINIMUM_READ_INTERVAL_MILLISECONDS = 100;

/** Time after the last request to a process for which its connection stays open even if it is not listed. */
const CONNECTION_IDLE_MILLISECONDS = 10_000;

/** The owners of inboxes, and requests to them. */
export interface OwnerDirectory {
  readonly ownerOf: (partition: LogPartition) => Promise<GroupMember | null>;
  /** The owner in the list as last read; null if there is none. */
  readonly lastKnownOwnerOf: (partition: LogPartition) => GroupMember | null;
  /** Reads the list if the last successful read is older than an age; false if the store does not answer. */
  readonly refreshIfOlder: (ageMilliseconds: number) => Promise<boolean>;
  /** All processes in the list, as last read. */
  readonly members: () => readonly GroupMember[];
  /** Sends a request to a member; null if no response arrives in time. */
  readonly request: (member: GroupMember, content: unknown, timeoutMilliseconds: number) => Promise<unknown>;
  /** Marks the list as out of date, so that a following lookup reads it again. */
  readonly invalidate: () => void;
}

/** Creates the directory. */
export function createOwnerDirectory(store: Store, peers: PeerNetwork, clock: SteadyClock): OwnerDirectory {
  let owners = new Map<string, GroupMember>();
  const requestedAt = new Map<string, number>();
  let readAt = -Infinity;
  let succeededAt = -Infinity;
  let reading: Promise<void> | null = null;

  /** Closes connections to processes that are not listed and had no recent request. */
  const pruneConnections = (): void => {
    const since = clock.steadyNow() - CONNECTION_IDLE_MILLISECONDS;
    [...requestedAt].filter(([, at]) => at < since).forEach(([address]) => requestedAt.delete(address));
    const listed = [...owners.values()].map((owner) => owner.peerAddress);
    peers.keepOnly(new Set([...listed, ...requestedAt.keys()]));
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
      succeededAt = sentAt;
      pruneConnections();
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
    ownerOf: async (partition) => {
      if (clock.steadyNow() - readAt > MAXIMUM_AGE_MILLISECONDS) await refresh();
      return owners.get(partitionKey(partition)) ?? null;
    },
    lastKnownOwnerOf: (partition) => owners.get(partitionKey(partition)) ?? null,
    refreshIfOlder: async (ageMilliseconds) => {
      const since = clock.steadyNow() - ageMilliseconds;
      if (succeededAt < since) await refresh();
      return succeededAt >= since;
    },
    members: () => [...new Map([...owners.values()].map((name) => [formatMember(name), name])).values()],
    request: (member, content, timeoutMilliseconds) => {
      requestedAt.set(member.peerAddress, clock.steadyNow());
      return peers.request(member.peerAddress, content, timeoutMilliseconds);
    },
    invalidate: () => {
      readAt = Math.min(
        readAt,
        clock.steadyNow() - MAXIMUM_AGE_MILLISECONDS + MINIMUM_READ_INTERVAL_MILLISECONDS,
      );
    },
  };
}
