/** Answers of a gateway that leaves are held on by its heir, so that repeats still get them. */
import type { HandedOverAnswer } from '@baobabdeck/types';
import { selectGatewayIds } from '../dispatch/assign-dispatchers.js';
import type { Step } from '../effect.js';
import { pickByRendezvous } from '../routing/rendezvous.js';
import type { State } from '../state.js';
import type { HeldAnswerEntry, RequestsState } from './requests-state.js';

/** Answers that are held for repeats. */
const ANSWERS_HELD = 1_000;

/** Answers in one message to the heir. */
const ANSWERS_PER_MESSAGE = 50;

/** The gateway that holds the answers of one that left; null where there is none. */
export function selectHeir(state: State, processId: string): string | null {
  const others = selectGatewayIds(state.fold.fleet).filter((id) => id !== processId);
  return pickByRendezvous(`answers/${processId}`, others);
}

/** The requests with one more held answer; the oldest gives way. */
export function addHeldAnswer(
  requests: RequestsState,
  keyHash: string,
  entry: HeldAnswerEntry,
): RequestsState {
  const added = requests.heldAnswers.set(keyHash, entry);
  const heldAnswers = added.size > ANSWERS_HELD ? added.rest().toOrderedMap() : added;
  return { ...requests, heldAnswers };
}

/** Sends the answers of this gateway, which leaves, to its heir. */
export function* handOverAnswers(state: State): Step<void> {
  const heir = selectHeir(state, state.identity.processId);
  if (heir === null) return;
  const answers = [...state.requests.heldAnswers].map(([keyHash, entry]): HandedOverAnswer => ({
    keyHash,
    ...entry,
  }));
  for (let index = 0; index < answers.length; index += ANSWERS_PER_MESSAGE) {
    const part = answers.slice(index, index + ANSWERS_PER_MESSAGE);
    yield { kind: 'send', to: heir, message: { kind: 'answers-handed-over', answers: part } };
  }
}

/** Holds the answers of a gateway that leaves. */
export function takeOverAnswers(state: State, answers: readonly HandedOverAnswer[]): State {
  const requests = answers.reduce(
    (held, { keyHash, requestId, answer }) => addHeldAnswer(held, keyHash, { requestId, answer }),
    state.requests,
  );
  return { ...state, requests };
}
