/** Whether this process may still act on its own word. */
import { millisecondsBetween } from '@baobabdeck/types';
import type { State } from '../state.js';

/**
 * True when the newest proof of being up to date was asked for too long ago: the process was paused or is
 * cut off. It then starts no work and grants no slot until it has proof again.
 */
export function isLapsed(state: State): boolean {
  const { lastContactAt } = state.membership;
  if (lastContactAt === null) return true;
  return millisecondsBetween(lastContactAt, state.now) > state.parameters.lapseTimeoutMilliseconds;
}

/** The state with proof of being up to date that was asked for at `askedAt`. */
export function noteContact(state: State, askedAt: Date): State {
  const { lastContactAt } = state.membership;
  if (lastContactAt !== null && lastContactAt >= askedAt) return state;
  return { ...state, membership: { ...state.membership, lastContactAt: askedAt } };
}
