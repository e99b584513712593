/** Updates the table of requests and its counters of waiting requests. */
import type { State } from '../state.js';
import type { RequestPhase, RequestsState, RequestState } from './requests-state.js';

function waitingCount(phase: RequestPhase | undefined): number {
  return phase?.kind === 'waiting' || phase?.kind === 'claiming' ? 1 : 0;
}

function changeCount(requests: RequestsState, service: string, difference: number): RequestsState {
  if (difference === 0) return requests;
  const count = (requests.waitingByService.get(service) ?? 0) + difference;
  return { ...requests, waitingByService: requests.waitingByService.set(service, count) };
}

/** Adds or replaces a request. */
export function setRequest(state: State, request: RequestState): State {
  const { requestId, service } = request.description;
  const before = state.requests.byId.get(requestId);
  const difference = waitingCount(request.phase) - waitingCount(before?.phase);
  const requests = changeCount(state.requests, service, difference);
  return { ...state, requests: { ...requests, byId: requests.byId.set(requestId, request) } };
}

/** Removes a request. */
export function removeRequest(state: State, requestId: string): State {
  const before = state.requests.byId.get(requestId);
  if (before === undefined) return state;
  const requests = changeCount(state.requests, before.description.service, -waitingCount(before.phase));
  return { ...state, requests: { ...requests, byId: requests.byId.remove(requestId) } };
}

/** Returns the request of an attempt or slot, or undefined if the request has ended. */
export function selectRequestBySlot(state: State, slotRequestId: string): RequestState | undefined {
  return state.requests.byId.get(slotRequestId.slice(0, slotRequestId.lastIndexOf('#')));
}

/** Returns the id of a request's deadline timer. */
export function deadlineTimerId(requestId: string): string {
  return `deadline/${requestId}`;
}

/** Returns the id of the timer that detects a silent connection of an attempt. */
export function silenceTimerId(attemptId: string): string {
  return `silence/${attemptId}`;
}
