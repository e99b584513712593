/** On which worker a task starts. */
import type { StepRequest, TaskKey } from '../model/job.js';
import { roomOf } from '../model/step-needs.js';
import type { ServiceStep } from '../service/effect.js';
import { mayIssueOrders } from '../service/lease.js';
import { runLogFields } from '../service/runs.js';
import type { Run, ServiceState, StepState, TaskState, WorkerState } from '../service/state.js';
import { addRun, findTask, isTaskWaiting } from '../service/tasks.js';
import { NO_PLACEMENT_CHANGES } from '../service/placement-changes.js';
import type { WaitingKey } from '../service/waiting-queue.js';
import { findWaitingStep, keyOf, orderFreshSteps, orderWaitingSteps, type WaitingStep } from './order.js';
import {
  copyPlaces,
  everyPlace,
  freeMilliCoresOn,
  hasPlace,
  hasSomePlace,
  narrowPlaces,
  placesAmong,
  takePlace,
  type Places,
} from './places.js';
import { isSuitable } from './room.js';
import { updateService } from '../service/update.js';

/** Waiting steps that one event may look at for the room that it frees. */
const STEPS_PER_EVENT = 64;

/** Steps that the look at all workers may try to place; the next look goes on behind them. */
const STEPS_PER_LOOK = 2_048;

/** Gangs that one event may try to place: each needs a look at every worker. */
const GANGS_PER_EVENT = 2;
const GANGS_PER_LOOK = 64;

function countOnWorkers({ step, request }: WaitingStep): Map<string, number> {
  const counts = new Map<string, number>();
  if (request.maximumPerWorker === null) return counts;
  for (const { runs } of step.tasks) {
    for (const { workerId } of runs) counts.set(workerId, (counts.get(workerId) ?? 0) + 1);
  }
  return counts;
}

function isNear(request: StepRequest, { listing }: WorkerState): boolean {
  return request.rackOfData === null || listing.rack === request.rackOfData;
}

/** The fullest worker that has room, near the data if it can be, and none on which the task failed. */
function compareWorkers(
  request: StepRequest,
  task: TaskState,
  places: Places,
): (left: WorkerState, right: WorkerState) => number {
  const isAvoided = ({ listing }: WorkerState): number =>
    Number(task.avoidedWorkers.includes(listing.workerId));
  return (left, right) =>
    isAvoided(left) - isAvoided(right) ||
    Number(isNear(request, right)) - Number(isNear(request, left)) ||
    freeMilliCoresOn(places, left) - freeMilliCoresOn(places, right);
}

function chooseWorker(
  waiting: WaitingStep,
  task: TaskState,
  places: Places,
  counts: ReadonlyMap<string, number>,
): WorkerState | null {
  const { request } = waiting;
  const limit = request.maximumPerWorker ?? Infinity;
  const needs = roomOf(request);
  const compare = compareWorkers(request, task, places);
  let best: WorkerState | null = null;
  for (const worker of places.workers) {
    const isAllowed =
      hasPlace(places, worker, needs) &&
      isSuitable(request, worker) &&
      (counts.get(worker.listing.workerId) ?? 0) < limit;
    if (isAllowed && (best === null || compare(worker, best) < 0)) best = worker;
  }
  return best;
}

function newRun(state: ServiceState, chosen: WorkerState, runNumber: number): Omit<Run, 'placedInVersion'> {
  const { workerId, incarnation } = chosen.listing;
  return {
    run: runNumber,
    workerId,
    incarnation,
    phase: 'recording',
    placedAt: state.now,
    acknowledgedAt: null,
    hasUnansweredStart: false,
    sentAt: null,
    startedAt: null,
    speedPercent: 0,
  };
}

/** How long a task has waited since its turn came, or since it was last away. */
function waitedMilliseconds(state: ServiceState, key: TaskKey, step: StepState): number {
  const since = findTask(state, key)?.waitingSince ?? state.now;
  return state.now - Math.max(since, step.readySince ?? since);
}

function* assign(
  state: ServiceState,
  key: TaskKey,
  chosen: WorkerState,
  runNumber: number,
  waiting: WaitingStep,
  places: Places,
): ServiceStep<ServiceState> {
  const freeMilliCores = freeMilliCoresOn(places, chosen);
  takePlace(places, chosen, roomOf(waiting.request));
  const placed = addRun(state, key, newRun(state, chosen, runNumber));
  const run = findTask(placed, key)?.runs.at(-1);
  if (run === undefined) return state;
  yield {
    kind: 'log',
    decision: 'taskPlaced',
    fields: {
      ...runLogFields(key, run),
      freeMilliCores,
      slackMilliseconds: Math.round(waiting.slackMilliseconds),
      waitedMilliseconds: Math.round(waitedMilliseconds(state, key, waiting.step)),
    },
  };
  return placed;
}

function countOne(counts: Map<string, number>, { listing }: WorkerState): void {
  counts.set(listing.workerId, (counts.get(listing.workerId) ?? 0) + 1);
}

function* placeTasks(state: ServiceState, waiting: WaitingStep, places: Places): ServiceStep<ServiceState> {
  const counts = countOnWorkers(waiting);
  let next = state;
  for (const [index, task] of waiting.step.tasks.entries()) {
    if (isTaskWaiting(task)) {
      const chosen = chooseWorker(waiting, task, places, counts);
      if (chosen === null) return next;
      countOne(counts, chosen);
      next = yield* assign(next, keyOf(waiting, index), chosen, task.lastRun + 1, waiting, places);
    }
  }
  return next;
}

/** A worker for each member of a gang; null where not all find one. */
function chooseForGang(waiting: WaitingStep, places: Places): readonly WorkerState[] | null {
  const trial = copyPlaces(places);
  const counts = new Map<string, number>();
  const chosenWorkers: WorkerState[] = [];
  for (const task of waiting.step.tasks) {
    const chosen = chooseWorker(waiting, task, trial, counts);
    if (chosen === null) return null;
    countOne(counts, chosen);
    takePlace(trial, chosen, roomOf(waiting.request));
    chosenWorkers.push(chosen);
  }
  return chosenWorkers;
}

/** The members of a gang start together or not at all, and only once no member runs any more. */
function* placeGang(state: ServiceState, waiting: WaitingStep, places: Places): ServiceStep<ServiceState> {
  const { tasks } = waiting.step;
  if (tasks.some((task) => task.runs.length > 0)) return state;
  const chosenWorkers = chooseForGang(waiting, places) ?? [];
  const runNumber = Math.max(...tasks.map((task) => task.lastRun)) + 1;
  let next = state;
  for (const [index, chosen] of chosenWorkers.entries()) {
    next = yield* assign(next, keyOf(waiting, index), chosen, runNumber, waiting, places);
  }
  return next;
}

function* placeStep(state: ServiceState, waiting: WaitingStep, places: Places): ServiceStep<ServiceState> {
  return waiting.request.isGang
    ? yield* placeGang(state, waiting, places)
    : yield* placeTasks(state, waiting, places);
}

/** What is left of the steps and gangs that one event may try. */
interface Budget {
  steps: number;
  gangs: number;
}

function isSpent({ steps, gangs }: Budget): boolean {
  return steps === 0 || gangs === 0;
}

/** Gives room to the first steps that fit: to those that are fresh anywhere, to the others where room was freed. */
function* placeInOrder(
  state: ServiceState,
  freedWorkerIds: ReadonlySet<string>,
  fresh: ReadonlySet<WaitingKey>,
): ServiceStep<ServiceState> {
  const all = fresh.size === 0 ? null : everyPlace(state);
  let freed = all === null ? placesAmong(state, freedWorkerIds) : narrowPlaces(all, freedWorkerIds);
  const budget: Budget = { steps: STEPS_PER_EVENT, gangs: GANGS_PER_EVENT };
  let next = state;
  for (const [key, { needs }] of orderWaitingSteps(state)) {
    if (budget.steps === 0 || !hasSomePlace(all ?? freed, state.waiting.minimumNeeds)) return next;
    budget.steps -= 1;
    const places = all !== null && fresh.has(key) ? all : freed;
    const waiting = hasSomePlace(places, needs) ? findWaitingStep(next, key) : null;
    if (waiting?.request.isGang === true && budget.gangs > 0) {
      budget.gangs -= 1;
      // The other members of a gang may have their places on any worker.
      next = yield* placeGang(next, waiting, all ?? everyPlace(next));
      if (all === null) freed = placesAmong(next, freedWorkerIds);
    }
    if (waiting?.request.isGang === false) next = yield* placeTasks(next, waiting, places);
  }
  return next;
}

/**
 * Holds many waiting steps against every worker, in their order. Where more stand at the head than one look may try, the
 * next look begins behind them, so that none waits beside free room for good.
 */
function* lookAtAll(state: ServiceState): ServiceStep<ServiceState> {
  const places = everyPlace(state);
  const budget: Budget = { steps: STEPS_PER_LOOK, gangs: GANGS_PER_LOOK };
  let position = 0;
  let next = updateService(state, { scannedSteps: 0 });
  for (const [key, { needs }] of orderWaitingSteps(state)) {
    if (!hasSomePlace(places, state.waiting.minimumNeeds)) return next;
    if (isSpent(budget)) return updateService(next, { scannedSteps: position });
    position += 1;
    const isBehind = position > state.scannedSteps;
    const waiting = isBehind && hasSomePlace(places, needs) ? findWaitingStep(next, key) : null;
    if (waiting !== null) {
      budget.steps -= 1;
      budget.gangs -= Number(waiting.request.isGang);
      next = yield* placeStep(next, waiting, places);
    }
  }
  return next;
}

/** Looks for places for what began to wait, among all workers. */
function* placeFresh(state: ServiceState, fresh: readonly WaitingKey[]): ServiceStep<ServiceState> {
  const places = everyPlace(state);
  let next = state;
  for (const key of fresh) {
    const waiting = findWaitingStep(next, key);
    if (waiting !== null && hasSomePlace(places, roomOf(waiting.request))) {
      next = yield* placeStep(next, waiting, places);
    }
  }
  return next;
}

/**
 * Places what waits, as far as what has changed since the last time makes it possible: what has waited for a while fits
 * at most on the workers that have more room than before, what began to wait may fit anywhere.
 */
export function* placeWaitingTasks(state: ServiceState): ServiceStep<ServiceState> {
  const { freedWorkerIds, newlyWaitingSteps } = state.placementChanges;
  if ((freedWorkerIds.isEmpty() && newlyWaitingSteps.isEmpty()) || !mayIssueOrders(state)) return state;
  const begun: ServiceState = updateService(state, { placementChanges: NO_PLACEMENT_CHANGES });
  if (state.waiting.steps.isEmpty) return begun;
  if (freedWorkerIds.size >= state.workers.size) return yield* lookAtAll(begun);
  const fresh = orderFreshSteps(state);
  if (freedWorkerIds.isEmpty()) return yield* placeFresh(begun, fresh);
  const filled = yield* placeInOrder(begun, new Set(freedWorkerIds), new Set(fresh));
  // Fresh steps behind those that were looked at.
  return fresh.length === 0 ? filled : yield* placeFresh(filled, fresh);
}
