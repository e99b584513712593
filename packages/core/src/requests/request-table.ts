/** Changes of the table of requests, with its counters. */
import type { State } from '../state.js';
import type { RequestPhase, RequestsState, RequestState } from './requests-state.js';

function waitsForSlot(phase: RequestPhase | undefined): number {
  return phase?.kind === 'waiting' || phase?.kind === 'claiming' ? 1 : 0;
}

function changeCount(requests: RequestsState, service: string, difference: number): RequestsState {
  if (difference === 0) return requests;
  const count = (requests.waitingByService.get(service) ?? 0) + difference;
  return { ...requests, waitingByService: requests.waitingByService.set(service, count) };
}

/** The state with a new or changed request. */
export function setRequest(state: State, request: RequestState): State {
  const { requestId, service } = request.description;
  const before = state.requests.byId.get(requestId);
  const difference = waitsForSlot(request.phase) - waitsForSlot(before?.phase);
  const requests = changeCount(state.requests, service, difference);
  return { ...state, requests: { ...requests, byId: requests.byId.set(requestId, request) } };
}

/** The state without a request. */
export function removeRequest(state: State, requestId: string): State {
  const before = state.requests.byId.get(requestId);
  if (before === undefined) return state;
  const requests = changeCount(state.requests, before.description.service, -waitsForSlot(before.phase));
  return { ...state, requests: { ...requests, byId: requests.byId.remove(requestId) } };
}

/** The request that an attempt or slot belongs to; undefined when it is over. */
export function selectRequestOf(state: State, slotRequestId: string): RequestState | undefined {
  return state.requests.byId.get(slotRequestId.slice(0, slotRequestId.lastIndexOf('#')));
}

/** The name of a request's deadline timer. */
export function deadlineTimer(requestId: string): string {
  return `deadline/${requestId}`;
}

/** The name of the timer that finds a silent connection. */
export function silenceTimer(attemptId: string): string {
  return `silence/${attemptId}`;
}
