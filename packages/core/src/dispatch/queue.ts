/** Queue of requests that wait for a slot: short before long, round-robin by caller, each caller's oldest first. */
import { millisecondsBetween, type WorkClass } from '@baobabdeck/types';
import { PersistentList, PersistentOrderedMap } from '../persistent.js';
import { needsKey } from '../routing/needs.js';
import type { PoolDispatch, QueueClass, WaitingRequest } from './dispatch-state.js';

/** Waiting time after which long work comes before short work, provided that a slot for long work is free. */
const LONG_WORK_AGING_MILLISECONDS = 15_000;

function queueClassNameOf(workClass: WorkClass, request: WaitingRequest['request']): string {
  return `${workClass === 'short' ? 'short' : 'long'}|${needsKey(request.needs)}`;
}

/** Adds a request to the end of its caller's queue. */
export function enqueue(
  dispatch: PoolDispatch,
  workClass: WorkClass,
  waitingRequest: Omit<WaitingRequest, 'queueClassName'>,
): PoolDispatch {
  const { request } = waitingRequest;
  const name = queueClassNameOf(workClass, request);
  const queueClass: QueueClass = dispatch.queueClasses.get(name) ?? {
    isLong: workClass !== 'short',
    needs: request.needs,
    callers: PersistentOrderedMap(),
  };
  const callerQueue = queueClass.callers.get(request.caller) ?? PersistentList<string>();
  const callers = queueClass.callers.set(request.caller, callerQueue.push(request.slotRequestId));
  return {
    ...dispatch,
    waiting: dispatch.waiting.set(request.slotRequestId, { ...waitingRequest, queueClassName: name }),
    queueClasses: dispatch.queueClasses.set(name, { ...queueClass, callers }),
  };
}

function setCallers(dispatch: PoolDispatch, name: string, callers: QueueClass['callers']): PoolDispatch {
  const queueClass = dispatch.queueClasses.get(name);
  if (queueClass === undefined) return dispatch;
  const queueClasses = callers.isEmpty()
    ? dispatch.queueClasses.remove(name)
    : dispatch.queueClasses.set(name, { ...queueClass, callers });
  return { ...dispatch, queueClasses };
}

/** Removes a request from the queue. */
export function removeWaiting(dispatch: PoolDispatch, slotRequestId: string): PoolDispatch {
  const entry = dispatch.waiting.get(slotRequestId);
  const queueClass = entry === undefined ? undefined : dispatch.queueClasses.get(entry.queueClassName);
  if (entry === undefined || queueClass === undefined) return dispatch;
  const { caller } = entry.request;
  const callerQueue = (queueClass.callers.get(caller) ?? PersistentList<string>()).filter(
    (id) => id !== slotRequestId,
  );
  const callers = callerQueue.isEmpty()
    ? queueClass.callers.remove(caller)
    : queueClass.callers.set(caller, callerQueue);
  return setCallers(
    { ...dispatch, waiting: dispatch.waiting.remove(slotRequestId) },
    entry.queueClassName,
    callers,
  );
}

/** Returns the next request of a queue class, or null if none waits. */
export function selectHead(dispatch: PoolDispatch, queueClassName: string): WaitingRequest | null {
  const slotRequestId = dispatch.queueClasses.get(queueClassName)?.callers.first()?.first();
  return slotRequestId === undefined ? null : (dispatch.waiting.get(slotRequestId) ?? null);
}

/** Removes the served head of a queue class and moves its caller behind the other callers. */
export function dequeueAndRotate(dispatch: PoolDispatch, entry: WaitingRequest): PoolDispatch {
  const removed = removeWaiting(dispatch, entry.request.slotRequestId);
  const queueClass = removed.queueClasses.get(entry.queueClassName);
  const callerQueue = queueClass?.callers.get(entry.request.caller);
  if (queueClass === undefined || callerQueue === undefined) return removed;
  return setCallers(
    removed,
    entry.queueClassName,
    queueClass.callers.remove(entry.request.caller).set(entry.request.caller, callerQueue),
  );
}

function isHeadAged(dispatch: PoolDispatch, name: string, now: Date): boolean {
  const head = selectHead(dispatch, name);
  return head !== null && millisecondsBetween(head.arrivedAt, now) >= LONG_WORK_AGING_MILLISECONDS;
}

/** Returns the queue classes in serving order: long work past the aging time, short work, other long work. */
export function selectQueueClassOrder(dispatch: PoolDispatch, now: Date): readonly string[] {
  const names = [...dispatch.queueClasses.keys()];
  const isLong = (name: string): boolean => dispatch.queueClasses.get(name)?.isLong ?? false;
  const short = names.filter((name) => !isLong(name));
  const long = names.filter(isLong);
  const aged = long.filter((name) => isHeadAged(dispatch, name, now));
  return [...aged, ...short, ...long.filter((name) => !aged.includes(name))];
}
