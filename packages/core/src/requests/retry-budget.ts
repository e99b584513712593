/** Bounds second attempts, so that retries do not multiply a failure of the targets. */
import type { State } from '../state.js';
import type { RequestState } from './requests-state.js';

/** Second attempts that each request pays for. */
const TOKENS_PER_REQUEST = 0.1;

/** Second attempts that a new gateway may make. From 100 requests on, total attempts stay within 1.2 times the requests. */
export const FIRST_TOKENS = 10;

/** Tokens kept for a quiet time. */
const MAXIMUM_TOKENS = 10;

/** Attempts that one request may take. */
const MAXIMUM_ATTEMPTS = 3;

function setTokens(state: State, retryTokens: number): State {
  return { ...state, requests: { ...state.requests, retryTokens } };
}

/** Adds what one request pays. */
export function depositRetryToken(state: State): State {
  return setTokens(state, Math.min(MAXIMUM_TOKENS, state.requests.retryTokens + TOKENS_PER_REQUEST));
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
