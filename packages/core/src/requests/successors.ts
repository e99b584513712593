/** Hands the held answers of a leaving gateway over to its successor, so that repeated requests still get them. */
import type { HandedOverAnswer } from '@baobabdeck/types';
import { selectGatewayIds } from '../dispatch/assign-dispatchers.js';
import type { Step } from '../effect.js';
import { pickByRendezvous } from '../routing/rendezvous.js';
import type { State } from '../state.js';
import type { HeldAnswerEntry, RequestsState } from './requests-state.js';

/** Maximum number of answers that a gateway holds for repeated requests. */
const MAXIMUM_HELD_ANSWERS = 1_000;

/** Maximum number of answers in one message to the successor. */
const ANSWERS_PER_MESSAGE = 50;

/** Returns the gateway that takes over the answers of a leaving gateway, or null if there is no other gateway. */
export function selectSuccessor(state: State, processId: string): string | null {
  const others = selectGatewayIds(state.fold.fleet).filter((id) => id !== processId);
  return pickByRendezvous(`answers/${processId}`, others);
}

/** Adds a held answer, and drops the oldest one above the limit. */
export function addHeldAnswer(
  requests: RequestsState,
  keyHash: string,
  entry: HeldAnswerEntry,
): RequestsState {
  const added = requests.heldAnswers.set(keyHash, entry);
  const heldAnswers = added.size > MAXIMUM_HELD_ANSWERS ? added.rest().toOrderedMap() : added;
  return { ...requests, heldAnswers };
}

/** Sends the held answers of this gateway to its successor before it leaves. */
export function* handOverAnswers(state: State): Step<void> {
  const successor = selectSuccessor(state, state.identity.processId);
  if (successor === null) return;
  const answers = [...state.requests.heldAnswers].map(([keyHash, entry]): HandedOverAnswer => ({
    keyHash,
    ...entry,
  }));
  for (let index = 0; index < answers.length; index += ANSWERS_PER_MESSAGE) {
    const part = answers.slice(index, index + ANSWERS_PER_MESSAGE);
    yield { kind: 'send', to: successor, message: { kind: 'answers-handed-over', answers: part } };
  }
}

/** Adds the answers that a leaving gateway has handed over to the held answers. */
export function takeOverAnswers(state: State, answers: readonly HandedOverAnswer[]): State {
  const requests = answers.reduce(
    (current, { keyHash, requestId, answer }) => addHeldAnswer(current, keyHash, { requestId, answer }),
    state.requests,
  );
  return { ...state, requests };
}
