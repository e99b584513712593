/**
 * Bounds second attempts, so that retries do not multiply a failure of the targets. With 0.1 tokens a request
 * and 10 saved up, total attempts stay within 1.2 times the requests from 100 requests on.
 */
import type { State } from '../state.js';
import type { RequestState } from './requests-state.js';

/** Attempts that one request may take. */
const MAXIMUM_ATTEMPTS = 3;

function setTokens(state: State, retryTokens: number): State {
  return { ...state, requests: { ...state.requests, retryTokens } };
}

/** Adds what one request pays. */
export function depositRetryToken(state: State): State {
  const { maximumRetryTokens, retryTokensPerRequest } = state.parameters;
  return setTokens(state, Math.min(maximumRetryTokens, state.requests.retryTokens + retryTokensPerRequest));
}

/** Takes the price of one second attempt. */
export function withdrawRetryToken(state: State): State {
  return setTokens(state, state.requests.retryTokens - 1);
}

/** Whether a request may be attempted once more. */
export function mayRetry(state: State, request: RequestState): boolean {
  return (
    request.attempts < MAXIMUM_ATTEMPTS && state.requests.retryTokens >= 1 && request.deadlineAt > state.now
  );
}
