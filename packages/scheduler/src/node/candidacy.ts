/**
 * Decides whether this process belongs in the group that services are dealt in: where enough stronger processes are in
 * it, services are better kept there. This is advice, as dealing is; claims keep owners apart.
 */
import type { WriteEvent } from '@baobabdeck/observability';
import type { PeerResponse, PeerRequest } from '../peers/messages.js';
import { formatMember, type GroupMember } from './group-member.js';
import type { SteadyClock } from './steady-clock.js';

/** Time between two looks. */
const LOOK_MILLISECONDS = 300;

/** Age of the list of members from which on a look reads it again, while stronger members answer. */
const LIST_MILLISECONDS = 2_000;

/** Age of the list up to which it counts where stronger members do not answer; bounds how often it is read. */
const DOUBTED_LIST_MILLISECONDS = 300;

/** Stronger members without whom nobody stays out: the loss of all but one is covered at once by those left. */
const LEAST_STRONGER = 3;

/** Time for which too few stronger members are waited for while one of them is there to keep every place: others may be starting. */
const SHORTAGE_MILLISECONDS = 1_500;

/** Time for which stronger members must have been enough before a member steps out, so that one that flaps moves nothing. */
const CALM_MILLISECONDS = 2_500;

/** Time after an outage of the store for which stronger processes that live are left time to join again. */
const RETURN_MILLISECONDS = 1_500;

/** Time for which a stronger process counts as known after the list last showed it. */
const REMEMBERED_MILLISECONDS = 15_000;

/** Time for which a member without places, whom the list does not show, counts after it was heard of. */
const HEARD_MILLISECONDS = 2_000;

/** Whether stronger members keep the places better than this process would. */
export function areStrongerEnough(
  milliCores: number,
  stronger: readonly GroupMember[],
  placeCount: number,
): boolean {
  const total = stronger.reduce((sum, member) => sum + member.milliCores, 0);
  return stronger.length >= LEAST_STRONGER && total >= milliCores * placeCount;
}

/** Stronger processes that the store answers: enough members to stay out, some, or none; `unknown` where the store is lost. */
type Stronger = 'enough' | 'few' | 'none' | 'unknown';

/** Whether a process lives and the store answers it. */
type Contact = 'served' | 'unserved' | 'silent';

/** What the decision needs. */
export interface CandidacyParts {
  readonly clock: SteadyClock;
  readonly writeEvent: WriteEvent;
  readonly self: GroupMember;
  /** Places that services and the fleet have. */
  readonly placeCount: () => number;
  /** Reads the list of members unless it was read within a time; false where the store does not tell. */
  readonly readMembers: (ageMilliseconds: number) => Promise<boolean>;
  /** Members that hold places, as last read. */
  readonly members: () => readonly GroupMember[];
  readonly ask: (member: GroupMember, question: PeerRequest) => Promise<PeerResponse | null>;
  /** The store does not answer this process. */
  readonly isStoreLost: () => boolean;
  /** Whether this process is in the group without a place, so that the list does not show it. */
  readonly isUnseen: () => boolean;
}

/** Whether a process belongs in the group. */
export interface Candidacy {
  readonly isCandidate: () => boolean;
  /** Another process says that it is in the group. */
  readonly noteMember: (member: GroupMember) => void;
  readonly close: () => void;
}

/** Begins to decide; a process is no candidate before its first look. */
export function watchCandidacy(parts: CandidacyParts): Candidacy {
  const { clock, self } = parts;
  const heard = new Map<string, { readonly member: GroupMember; readonly at: number }>();
  const remembered = new Map<string, { readonly member: GroupMember; readonly at: number }>();
  let lostAt = -Infinity;
  let isCandidate = false;
  let enoughSince: number | null = null;
  let fewSince: number | null = null;
  let turn = 0;
  let closed = false;

  const selectStronger = (): readonly GroupMember[] => {
    const since = clock.steadyNow() - HEARD_MILLISECONDS;
    [...heard].filter(([, { at }]) => at < since).forEach(([name]) => heard.delete(name));
    const known = [...parts.members(), ...[...heard.values()].map(({ member }) => member)];
    const distinct = new Map(known.map((member) => [formatMember(member), member]));
    return [...distinct.values()].filter(({ milliCores }) => milliCores > self.milliCores);
  };

  const areEnough = (stronger: readonly GroupMember[]): boolean =>
    areStrongerEnough(self.milliCores, stronger, parts.placeCount());

  /** Stronger members, and those that were listed a moment ago: an outage of the store may have emptied the list. */
  const selectRemembered = (stronger: readonly GroupMember[]): readonly GroupMember[] => {
    const now = clock.steadyNow();
    stronger.forEach((member) => remembered.set(formatMember(member), { member, at: now }));
    [...remembered].forEach(([name, { at }]) => {
      if (at < now - REMEMBERED_MILLISECONDS) remembered.delete(name);
    });
    return [...remembered.values()].map(({ member }) => member);
  };

  const pickOne = (members: readonly GroupMember[]): GroupMember | undefined => {
    turn += 1;
    return members[turn % members.length];
  };

  const askContact = async (member: GroupMember): Promise<Contact> => {
    const answer = await parts.ask(member, { kind: 'store-contact' });
    if (answer?.kind !== 'store-contact') return 'silent';
    return answer.isLost ? 'unserved' : 'served';
  };

  const lookClosely = async (): Promise<Stronger> => {
    await parts.readMembers(DOUBTED_LIST_MILLISECONDS);
    const stronger = selectStronger();
    const recalled = selectRemembered(stronger);
    // After an outage all come back within a moment, and this process may be the first that the store answers.
    const isReturning = clock.steadyNow() - lostAt < RETURN_MILLISECONDS;
    const contacts = await Promise.all((isReturning ? recalled : stronger).map(askContact));
    if (parts.isStoreLost()) return 'unknown';
    if (areEnough(stronger) && contacts.includes('served')) return 'enough';
    if (isReturning) return contacts.some((contact) => contact !== 'silent') ? 'unknown' : 'none';
    return contacts.includes('served') ? 'few' : 'none';
  };

  const look = async (): Promise<Stronger> => {
    if (parts.isStoreLost()) {
      lostAt = clock.steadyNow();
      return 'unknown';
    }
    await parts.readMembers(LIST_MILLISECONDS);
    const known = selectStronger();
    const one = pickOne(known);
    if (one !== undefined && areEnough(known) && (await askContact(one)) === 'served') {
      selectRemembered(known);
      return 'enough';
    }
    return lookClosely();
  };

  const become = (candidate: boolean): void => {
    if (candidate === isCandidate) return;
    isCandidate = candidate;
    const stronger = selectStronger().length;
    parts.writeEvent(candidate ? 'groupEntered' : 'groupLeft', { milliCores: self.milliCores, stronger });
  };

  const decide = (stronger: Stronger): void => {
    const now = clock.steadyNow();
    enoughSince = stronger === 'enough' ? (enoughSince ?? now) : null;
    fewSince = stronger === 'few' ? (fewSince ?? now) : null;
    if (stronger === 'none') become(true);
    if (fewSince !== null && now - fewSince >= SHORTAGE_MILLISECONDS) become(true);
    if (enoughSince !== null && now - enoughSince >= CALM_MILLISECONDS) become(false);
  };

  /** Weaker members that stay only because the list does not show this process. */
  const tellWeaker = (): void => {
    if (!parts.isUnseen()) return;
    const weaker = parts.members().filter(({ milliCores }) => milliCores < self.milliCores);
    weaker.forEach((member) => {
      void parts.ask(member, { kind: 'member-present', member: formatMember(self) });
    });
  };

  const watch = async (): Promise<void> => {
    while (!closed) {
      decide(await look());
      tellWeaker();
      await clock.sleep(LOOK_MILLISECONDS);
    }
  };
  void watch();

  return {
    isCandidate: () => isCandidate,
    noteMember: (member) => {
      heard.set(formatMember(member), { member, at: clock.steadyNow() });
    },
    close: () => {
      closed = true;
    },
  };
}
