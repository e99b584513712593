/** Tracks when this process last had proof that its state is up to date. */
import { millisecondsBetween } from '@baobabdeck/types';
import type { State } from '../state.js';

/**
 * Returns whether the newest proof of being up to date was requested longer ago than the lapse timeout: the
 * process was paused or is cut off. It then starts no work and grants no slot until it has new proof.
 */
export function isLapsed(state: State): boolean {
  const { lastContactAt } = state.membership;
  if (lastContactAt === null) return true;
  return millisecondsBetween(lastContactAt, state.now) > state.parameters.lapseTimeoutMilliseconds;
}

/** Records proof of being up to date that was requested at `askedAt`; older proof is ignored. */
export function recordContact(state: State, requestedAt: Date): State {
  const { lastContactAt } = state.membership;
  if (lastContactAt !== null && lastContactAt >= requestedAt) return state;
  return { ...state, membership: { ...state.membership, lastContactAt: requestedAt } };
}
