/** Requests that wait for a slot: short before long, callers in turn, each caller's oldest first. */
import { millisecondsBetween, type WorkClass } from '@baobabdeck/types';
import { PersistentList, PersistentOrderedMap } from '../persistent.js';
import { needsKey } from '../routing/needs.js';
import type { Lane, PoolDispatch, WaitingRequest } from './dispatch-state.js';

/** Time after which long work that waits comes before short work, where it has room. */
const LONG_PATIENCE_MILLISECONDS = 15_000;

function laneName(workClass: WorkClass, request: WaitingRequest['request']): string {
  return `${workClass === 'short' ? 'short' : 'long'}|${needsKey(request.needs)}`;
}

/** The view with one more request at the end of its caller's line. */
export function enqueue(
  dispatch: PoolDispatch,
  workClass: WorkClass,
  arrival: Omit<WaitingRequest, 'lane'>,
): PoolDispatch {
  const { request } = arrival;
  const name = laneName(workClass, request);
  const lane: Lane = dispatch.lanes.get(name) ?? {
    isLong: workClass !== 'short',
    needs: request.needs,
    callers: PersistentOrderedMap(),
  };
  const line = lane.callers.get(request.caller) ?? PersistentList<string>();
  const callers = lane.callers.set(request.caller, line.push(request.slotRequestId));
  return {
    ...dispatch,
    waiting: dispatch.waiting.set(request.slotRequestId, { ...arrival, lane: name }),
    lanes: dispatch.lanes.set(name, { ...lane, callers }),
  };
}

function setLane(dispatch: PoolDispatch, name: string, callers: Lane['callers']): PoolDispatch {
  const lane = dispatch.lanes.get(name);
  if (lane === undefined) return dispatch;
  const lanes = callers.isEmpty()
    ? dispatch.lanes.remove(name)
    : dispatch.lanes.set(name, { ...lane, callers });
  return { ...dispatch, lanes };
}

/** The view without a request. */
export function removeWaiting(dispatch: PoolDispatch, slotRequestId: string): PoolDispatch {
  const entry = dispatch.waiting.get(slotRequestId);
  const lane = entry === undefined ? undefined : dispatch.lanes.get(entry.lane);
  if (entry === undefined || lane === undefined) return dispatch;
  const { caller } = entry.request;
  const line = (lane.callers.get(caller) ?? PersistentList<string>()).filter((id) => id !== slotRequestId);
  const callers = line.isEmpty() ? lane.callers.remove(caller) : lane.callers.set(caller, line);
  return setLane({ ...dispatch, waiting: dispatch.waiting.remove(slotRequestId) }, entry.lane, callers);
}

/** The request whose turn it is in a lane. */
export function selectHead(dispatch: PoolDispatch, laneNameToServe: string): WaitingRequest | null {
  const slotRequestId = dispatch.lanes.get(laneNameToServe)?.callers.first()?.first();
  return slotRequestId === undefined ? null : (dispatch.waiting.get(slotRequestId) ?? null);
}

/** The view after the head of a lane was served: its caller goes behind the others. */
export function rotate(dispatch: PoolDispatch, entry: WaitingRequest): PoolDispatch {
  const removed = removeWaiting(dispatch, entry.request.slotRequestId);
  const lane = removed.lanes.get(entry.lane);
  const line = lane?.callers.get(entry.request.caller);
  if (lane === undefined || line === undefined) return removed;
  return setLane(
    removed,
    entry.lane,
    lane.callers.remove(entry.request.caller).set(entry.request.caller, line),
  );
}

function hasWaitedLong(dispatch: PoolDispatch, name: string, now: Date): boolean {
  const head = selectHead(dispatch, name);
  return head !== null && millisecondsBetween(head.arrivedAt, now) >= LONG_PATIENCE_MILLISECONDS;
}

/** Lanes in the order in which they are to be served now: long work that waited for long, short work, the rest. */
export function selectLaneOrder(dispatch: PoolDispatch, now: Date): readonly string[] {
  const names = [...dispatch.lanes.keys()];
  const isLong = (name: string): boolean => dispatch.lanes.get(name)?.isLong ?? false;
  const short = names.filter((name) => !isLong(name));
  const long = names.filter(isLong);
  const aged = long.filter((name) => hasWaitedLong(dispatch, name, now));
  return [...aged, ...short, ...long.filter((name) => !aged.includes(name))];
}
