/** Sends requests to the owner of a service or of the fleet, in this process or another. */
import { parseMember, type GroupMember } from '../node/group-member.js';
import type { SteadyClock } from '../node/steady-clock.js';
import type { LogPartition } from '../ports/index.js';
import type { OwnerDirectory } from './owner-directory.js';
import { parsePeerResponse, type PeerResponse, type PeerRequest } from './messages.js';

/** Time limit of one request; owners answer from memory. */
const REQUEST_TIMEOUT_MILLISECONDS = 400;

const RETRY_PAUSE_MILLISECONDS = 60;

/** Dependencies of the client. */
export interface OwnerClientParts {
  readonly clock: SteadyClock;
  readonly directory: OwnerDirectory;
  /** Returns the inbox of a subject; null while this process does not know it. */
  readonly findInbox: (subject: string) => LogPartition | null;
  /** Whether this process owns an inbox. */
  readonly isOwnedHere: (inbox: LogPartition) => boolean;
  /** Answers a request from the state of this process. */
  readonly handleLocally: (request: PeerRequest) => Promise<PeerResponse>;
  /** Whether the store does not answer this process, which then cannot find new owners. */
  readonly isStoreLost: () => boolean;
}

/** Sends requests to owners. */
export interface OwnerClient {
  /** Returns the owner's response; null if there is no owner or it does not respond. */
  readonly requestOnce: (subject: string, request: PeerRequest) => Promise<PeerResponse | null>;
  /** Repeats a request until an owner responds, the time `until` on the steady clock is reached, or the store is lost. */
  readonly requestUntil: (
    subject: string,
    request: PeerRequest,
    until: number,
  ) => Promise<PeerResponse | null>;
  /** Sends a request to one process; null if it does not respond. */
  readonly requestFrom: (member: GroupMember, request: PeerRequest) => Promise<PeerResponse | null>;
}

/** Creates the client. */
export function createOwnerClient(parts: OwnerClientParts): OwnerClient {
  const { clock, directory } = parts;

  const requestFrom = async (member: GroupMember, request: PeerRequest): Promise<PeerResponse | null> =>
    parsePeerResponse(await directory.request(member, request, REQUEST_TIMEOUT_MILLISECONDS));

  const requestFromOwner = async (
    inbox: LogPartition,
    request: PeerRequest,
  ): Promise<PeerResponse | null> => {
    const owner = await directory.ownerOf(inbox);
    if (owner === null) return null;
    const response = await requestFrom(owner, request);
    const fleetOwner = response?.kind === 'held-by' ? parseMember(response.member) : null;
    return fleetOwner === null ? response : requestFrom(fleetOwner, request);
  };

  const requestOnce = async (subject: string, request: PeerRequest): Promise<PeerResponse | null> => {
    const inbox = parts.findInbox(subject);
    if (inbox === null) return null;
    const localResponse = parts.isOwnedHere(inbox) ? await parts.handleLocally(request) : null;
    if (localResponse !== null && localResponse.kind !== 'not-owner') return localResponse;
    const response = await requestFromOwner(inbox, request);
    if (response !== null && response.kind !== 'not-owner') return response;
    directory.invalidate();
    return null;
  };

  const requestUntil = async (
    subject: string,
    request: PeerRequest,
    until: number,
  ): Promise<PeerResponse | null> => {
    for (;;) {
      const response = await requestOnce(subject, request);
      if (response !== null || clock.steadyNow() >= until || parts.isStoreLost()) return response;
      await clock.sleep(RETRY_PAUSE_MILLISECONDS);
    }
  };

  return { requestOnce, requestUntil, requestFrom };
}
