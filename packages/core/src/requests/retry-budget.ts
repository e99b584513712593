/**
 * Limits retries by a token budget, so that they do not multiply the load when targets fail. With 0.1 tokens
 * per request and at most 10 saved tokens, total attempts stay within 1.2 times the requests from 100 requests on.
 */
import type { State } from '../state.js';
import type { RequestState } from './requests-state.js';

/** Maximum number of attempts of one request. */
const MAXIMUM_ATTEMPTS = 3;

function setTokens(state: State, retryTokens: number): State {
  return { ...state, requests: { ...state.requests, retryTokens } };
}

/** Deposits the retry tokens that one request earns. */
export function depositRetryToken(state: State): State {
  const { maximumRetryTokens, retryTokensPerRequest } = state.parameters;
  return setTokens(state, Math.min(maximumRetryTokens, state.requests.retryTokens + retryTokensPerRequest));
}

/** Withdraws the token for one retry. */
export function withdrawRetryToken(state: State): State {
  return setTokens(state, state.requests.retryTokens - 1);
}

/** Returns whether a request may be retried: attempts, tokens and time are left. */
export function mayRetry(state: State, request: RequestState): boolean {
  return (
    request.attempts < MAXIMUM_ATTEMPTS && state.requests.retryTokens >= 1 && request.deadlineAt > state.now
  );
}
