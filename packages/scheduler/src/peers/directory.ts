/** Knows which process owns which log. */
import { formatMember, parseMember, type MemberName } from '../node/member-name.js';
import { placeKey } from '../node/layout.js';
import { SCHEDULER_GROUP } from '../node/membership.js';
import type { SteadyClock } from '../node/steady-clock.js';
import type { LogPlace, PeerNetwork, Store } from '../ports/index.js';

/** Age of the list of owners from which on it is read again. */
const FRESH_MILLISECONDS = 1_000;

/** Pause between two reads when owners are looked for. */
const SHORTEST_PAUSE_MILLISECONDS = 100;

/** The owners, and calls to them. */
export interface OwnerDirectory {
  readonly ownerOf: (place: LogPlace) => Promise<MemberName | null>;
  /** Every process that was in the list when it was last read. */
  readonly members: () => readonly MemberName[];
  /** Asks a member; null where no answer came in time. */
  readonly ask: (member: MemberName, question: unknown, timeoutMilliseconds: number) => Promise<unknown>;
  /** The list is out of date: the next question reads it again. */
  readonly distrust: () => void;
}

/** Creates the directory. */
export function createDirectory(store: Store, peers: PeerNetwork, clock: SteadyClock): OwnerDirectory {
  let owners = new Map<string, MemberName>();
  let readAt = -Infinity;
  let reading: Promise<void> | null = null;

  const read = async (): Promise<void> => {
    const askedAt = clock.steadyNow();
    const outcome = await store.listOwners(SCHEDULER_GROUP);
    if (outcome.kind === 'read') {
      const entries = outcome.owners.flatMap(({ place, member }) => {
        const name = parseMember(member);
        return name === null ? [] : [[placeKey(place), name] as const];
      });
      owners = new Map(entries);
      peers.keepOnly(new Set([...owners.values()].map((owner) => owner.peerAddress)));
    }
    readAt = askedAt;
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
      return owners.get(placeKey(place)) ?? null;
    },
    members: () => [...new Map([...owners.values()].map((name) => [formatMember(name), name])).values()],
    ask: (member, question, timeoutMilliseconds) =>
      peers.ask(member.peerAddress, question, timeoutMilliseconds),
    distrust: () => {
      readAt = Math.min(readAt, clock.steadyNow() - FRESH_MILLISECONDS + SHORTEST_PAUSE_MILLISECONDS);
    },
  };
}
