/** Claims the idempotency key of a request before its first attempt. */
import { addMilliseconds, type KeyClaim } from '@baobabdeck/types';
import type { Step } from '../effect.js';
import type { State } from '../state.js';
import { addClaim } from './keys.js';
import { setRequest } from './request-table.js';
import type { RequestState } from './requests-state.js';

/**
 * Time after which a claim that was not read back from the log is abandoned. Repeatable work then runs without
 * it; other requests are refused as not run.
 */
export const CLAIM_TIMEOUT_MILLISECONDS = 3_000;

/** Claims the key of a request. The work starts only once the claim was read back as won. */
export function* startClaim(state: State, request: RequestState): Step<State> {
  const { requestId, keyHash, fingerprint, keyMadeAt } = request.description;
  if (keyHash === null) return state;
  const latest = addMilliseconds(state.now, CLAIM_TIMEOUT_MILLISECONDS);
  const giveUpAt = latest < request.deadlineAt ? latest : request.deadlineAt;
  const claim: KeyClaim = { keyHash, fingerprint, requestId, madeAt: keyMadeAt };
  return yield* addClaim(setRequest(state, { ...request, phase: { kind: 'claiming', giveUpAt } }), claim);
}
