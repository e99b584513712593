/**
 * Decides whether callers are better served by other processes while the store does not answer this one. Where the store
 * answers nobody, callers stay: every process would send them away, and they would find none once it is back.
 */
import type { PeerResponse, PeerRequest } from '../peers/messages.js';
import type { GroupMember } from './group-member.js';
import type { SteadyClock } from './steady-clock.js';

/** Time between two looks. */
const LOOK_MILLISECONDS = 250;

/** Other processes that are asked at a time. */
const PEERS_ASKED = 3;

/** What the decision needs. */
export interface StoreReadinessParts {
  readonly clock: SteadyClock;
  readonly isStoreLost: () => boolean;
  /** Other processes that are known. */
  readonly peers: () => readonly GroupMember[];
  readonly ask: (member: GroupMember, question: PeerRequest) => Promise<PeerResponse | null>;
}

/** The standing of this process. */
export interface StoreReadiness {
  readonly isUnready: () => boolean;
  readonly close: () => void;
}

/** Begins to watch. */
export function watchStoreReadiness({ clock, isStoreLost, peers, ask }: StoreReadinessParts): StoreReadiness {
  let isBetterElsewhere = false;
  let closed = false;

  const look = async (): Promise<boolean> => {
    const asked = peers().slice(0, PEERS_ASKED);
    const answers = await Promise.all(asked.map((member) => ask(member, { kind: 'store-contact' })));
    const known = answers.flatMap((answer) => (answer?.kind === 'store-contact' ? [answer.isLost] : []));
    // Nobody answers: this process is cut off, not the store.
    return known.length === 0 || known.some((isLost) => !isLost);
  };

  const run = async (): Promise<void> => {
    while (!closed) {
      await clock.sleep(LOOK_MILLISECONDS);
      isBetterElsewhere = isStoreLost() && (await look()) && isStoreLost();
    }
  };
  void run();

  return {
    isUnready: () => isBetterElsewhere,
    close: () => {
      closed = true;
    },
  };
}
