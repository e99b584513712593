/** Asks the owner of a service, or of the fleet, wherever it is. */
import type { Layout } from '../node/layout.js';
import { parseMember, type MemberName } from '../node/member-name.js';
import type { SteadyClock } from '../node/steady-clock.js';
import type { LogPlace } from '../ports/index.js';
import type { OwnerDirectory } from './directory.js';
import { readAnswer, type PeerAnswer, type PeerQuestion } from './messages.js';

/** Time for one question; owners answer from memory. */
const QUESTION_MILLISECONDS = 400;

const RETRY_PAUSE_MILLISECONDS = 60;

/** What asking needs. */
export interface AskOwnerParts {
  readonly clock: SteadyClock;
  readonly directory: OwnerDirectory;
  readonly layout: () => Layout;
  /** Places that this process owns. */
  readonly isOwnedHere: (place: LogPlace) => boolean;
  /** Answers from this process's own state. */
  readonly answerHere: (question: PeerQuestion) => Promise<PeerAnswer>;
  /** The store does not answer this process, which then cannot learn of new owners. */
  readonly isStoreLost: () => boolean;
}

/** Questions to owners. */
export interface OwnerQuestions {
  /** The owner's answer; null where there is none, or it does not answer. */
  readonly askOnce: (subject: string, question: PeerQuestion) => Promise<PeerAnswer | null>;
  /** Asks again until an owner answers or the time is over. */
  readonly askUntil: (subject: string, question: PeerQuestion, until: number) => Promise<PeerAnswer | null>;
  /** Asks one process; null where it does not answer. */
  readonly askMember: (member: MemberName, question: PeerQuestion) => Promise<PeerAnswer | null>;
}

/** Creates the questions. */
export function createOwnerQuestions(parts: AskOwnerParts): OwnerQuestions {
  const { clock, directory } = parts;

  const askMember = async (member: MemberName, question: PeerQuestion): Promise<PeerAnswer | null> =>
    readAnswer(await directory.ask(member, question, QUESTION_MILLISECONDS));

  const askElsewhere = async (place: LogPlace, question: PeerQuestion): Promise<PeerAnswer | null> => {
    const owner = await directory.ownerOf(place);
    if (owner === null) return null;
    const answer = await askMember(owner, question);
    const holder = answer?.kind === 'held-by' ? parseMember(answer.member) : null;
    return holder === null ? answer : askMember(holder, question);
  };

  const askOnce = async (subject: string, question: PeerQuestion): Promise<PeerAnswer | null> => {
    const place = parts.layout().get(subject);
    if (place === undefined) return null;
    const own = parts.isOwnedHere(place) ? await parts.answerHere(question) : null;
    if (own !== null && own.kind !== 'not-owner') return own;
    const answer = await askElsewhere(place, question);
    if (answer !== null && answer.kind !== 'not-owner') return answer;
    directory.distrust();
    return null;
  };

  const askUntil = async (
    subject: string,
    question: PeerQuestion,
    until: number,
  ): Promise<PeerAnswer | null> => {
    for (;;) {
      const answer = await askOnce(subject, question);
      if (answer !== null || clock.steadyNow() >= until || parts.isStoreLost()) return answer;
      await clock.sleep(RETRY_PAUSE_MILLISECONDS);
    }
  };

  return { askOnce, askUntil, askMember };
}
