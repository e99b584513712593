/** Asks the owner of a service, or of the fleet, wherever it is. */
import type { Layout } from '../node/layout.js';
import { parseMember, type GroupMember } from '../node/group-member.js';
import type { SteadyClock } from '../node/steady-clock.js';
import type { LogPartition } from '../ports/index.js';
import type { OwnerDirectory } from './directory.js';
import { parsePeerResponse, type PeerResponse, type PeerRequest } from './messages.js';

/** Time for one question; owners answer from memory. */
const QUESTION_MILLISECONDS = 400;

const RETRY_PAUSE_MILLISECONDS = 60;

/** What asking needs. */
export interface OwnerClientParts {
  readonly clock: SteadyClock;
  readonly directory: OwnerDirectory;
  readonly layout: () => Layout;
  /** Places that this process owns. */
  readonly isOwnedHere: (place: LogPartition) => boolean;
  /** Answers from this process's own state. */
  readonly answerHere: (question: PeerRequest) => Promise<PeerResponse>;
  /** The store does not answer this process, which then cannot learn of new owners. */
  readonly isStoreLost: () => boolean;
}

/** Questions to owners. */
export interface OwnerClient {
  /** The owner's answer; null where there is none, or it does not answer. */
  readonly requestOnce: (subject: string, question: PeerRequest) => Promise<PeerResponse | null>;
  /** Asks again until an owner answers or the time is over. */
  readonly requestUntil: (
    subject: string,
    question: PeerRequest,
    until: number,
  ) => Promise<PeerResponse | null>;
  /** Asks one process; null where it does not answer. */
  readonly requestFrom: (member: GroupMember, question: PeerRequest) => Promise<PeerResponse | null>;
}

/** Creates the questions. */
export function createOwnerClient(parts: OwnerClientParts): OwnerClient {
  const { clock, directory } = parts;

  const requestFrom = async (member: GroupMember, question: PeerRequest): Promise<PeerResponse | null> =>
    parsePeerResponse(await directory.ask(member, question, QUESTION_MILLISECONDS));

  const requestFromOwner = async (
    place: LogPartition,
    question: PeerRequest,
  ): Promise<PeerResponse | null> => {
    const owner = await directory.ownerOf(place);
    if (owner === null) return null;
    const answer = await requestFrom(owner, question);
    const holder = answer?.kind === 'held-by' ? parseMember(answer.member) : null;
    return holder === null ? answer : requestFrom(holder, question);
  };

  const requestOnce = async (subject: string, question: PeerRequest): Promise<PeerResponse | null> => {
    const place = parts.layout().get(subject);
    if (place === undefined) return null;
    const own = parts.isOwnedHere(place) ? await parts.answerHere(question) : null;
    if (own !== null && own.kind !== 'not-owner') return own;
    const answer = await requestFromOwner(place, question);
    if (answer !== null && answer.kind !== 'not-owner') return answer;
    directory.distrust();
    return null;
  };

  const requestUntil = async (
    subject: string,
    question: PeerRequest,
    until: number,
  ): Promise<PeerResponse | null> => {
    for (;;) {
      const answer = await requestOnce(subject, question);
      if (answer !== null || clock.steadyNow() >= until || parts.isStoreLost()) return answer;
      await clock.sleep(RETRY_PAUSE_MILLISECONDS);
    }
  };

  return { requestOnce, requestUntil, requestFrom };
}
