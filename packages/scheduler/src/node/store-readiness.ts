/**
 * Decides whether this process should report itself as not ready while the store does not answer it. If the store answers
 * no process, it stays ready: otherwise every process would turn callers away, and none would be ready once the store is back.
 */
import type { PeerResponse, PeerRequest } from '../peers/messages.js';
import type { GroupMember } from './group-member.js';
import type { SteadyClock } from './steady-clock.js';
import type { BackgroundWork } from '../unexpected-errors/background-work.js';

/** Time between two checks. */
const CHECK_INTERVAL_MILLISECONDS = 250;

/** The number of other processes that are asked in one check. */
const MAXIMUM_PEERS_PER_CHECK = 3;

/** Dependencies of the store readiness. */
export interface StoreReadinessParts {
  readonly clock: SteadyClock;
  readonly background: BackgroundWork;
  readonly isStoreLost: () => boolean;
  /** The other processes that are known. */
  readonly peers: () => readonly GroupMember[];
  readonly request: (member: GroupMember, request: PeerRequest) => Promise<PeerResponse | null>;
}

/** Readiness of this process as far as it depends on the store. */
export interface StoreReadiness {
  /** Whether callers should use other processes, since the store does not answer this one. */
  readonly isUnready: () => boolean;
  readonly close: () => void;
}

/** Starts the checks. */
export function watchStoreReadiness({
  clock,
  background,
  isStoreLost,
  peers,
  request,
}: StoreReadinessParts): StoreReadiness {
  let isUnready = false;
  let closed = false;

  const arePeersPreferable = async (): Promise<boolean> => {
    const queried = peers().slice(0, MAXIMUM_PEERS_PER_CHECK);
    const replies = await Promise.all(queried.map((member) => request(member, { kind: 'store-contact' })));
    const losses = replies.flatMap((reply) => (reply?.kind === 'store-contact' ? [reply.isLost] : []));
    // If no peer answers, this process itself is assumed to be disconnected, not the store.
    return losses.length === 0 || losses.some((isLost) => !isLost);
  };

  const waitAndCheck = async (): Promise<void> => {
    await clock.sleep(CHECK_INTERVAL_MILLISECONDS);
    isUnready = isStoreLost() && (await arePeersPreferable()) && isStoreLost();
  };
  background.repeat('check-store-readiness', () => !closed, waitAndCheck);

  return {
    isUnready: () => isUnready,
    close: () => {
      closed = true;
    },
  };
}
