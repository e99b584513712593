/** On which worker a task starts. */
import type { StepRequest, TaskKey } from '../model/job.js';
import { fits, subtractResources, type Resources } from '../model/resources.js';
import { roomOf } from '../model/step-needs.js';
import type { ServiceStep } from '../service/effect.js';
import { mayAct } from '../service/lease.js';
import { runFields } from '../service/runs.js';
import type { Run, ServiceState, StepState, TaskState } from '../service/state.js';
import { addRun, findTask, isTaskWaiting } from '../service/tasks.js';
import { NOTHING_TO_PLACE } from '../service/placement-need.js';
import type { WaitingKey } from '../service/waiting-queue.js';
import { findWaitingStep, keyOf, orderFreshSteps, orderWaitingSteps, type WaitingStep } from './order.js';
import { candidateOf, candidatesOf, isSuitable, isUsable, type Candidate } from './room.js';
import { updateService } from '../service/update.js';

/** Candidates of one pass; their room shrinks as tasks are placed. */
type Candidates = Map<string, Candidate>;

/** Waiting steps that one event may look at for the room that it frees; the look at all workers goes further. */
const STEPS_PER_EVENT = 64;
const STEPS_PER_LOOK = 512;

/** Gangs that one event may try to place: each needs a look at every worker. */
const GANGS_PER_EVENT = 8;

function countOnWorkers({ step, request }: WaitingStep): Map<string, number> {
  const counts = new Map<string, number>();
  if (request.maximumPerWorker === null) return counts;
  for (const { runs } of step.tasks) {
    for (const { workerId } of runs) counts.set(workerId, (counts.get(workerId) ?? 0) + 1);
  }
  return counts;
}

function isNear(request: StepRequest, candidate: Candidate): boolean {
  return request.rackOfData === null || candidate.worker.listing.rack === request.rackOfData;
}

/** The fullest worker that has room, near the data if it can be, and none on which the task failed. */
function compareCandidates(request: StepRequest, task: TaskState): (a: Candidate, b: Candidate) => number {
  const isAvoided = ({ worker }: Candidate): number =>
    Number(task.avoidedWorkers.includes(worker.listing.workerId));
  return (a, b) =>
    isAvoided(a) - isAvoided(b) ||
    Number(isNear(request, b)) - Number(isNear(request, a)) ||
    a.room.milliCores - b.room.milliCores;
}

function chooseWorker(
  waiting: WaitingStep,
  task: TaskState,
  candidates: Candidates,
  counts: ReadonlyMap<string, number>,
): Candidate | null {
  const { request } = waiting;
  const limit = request.maximumPerWorker ?? Infinity;
  const needs = roomOf(request);
  const compare = compareCandidates(request, task);
  let best: Candidate | null = null;
  for (const candidate of candidates.values()) {
    const isAllowed =
      fits(needs, candidate.room) &&
      isSuitable(request, candidate.worker) &&
      (counts.get(candidate.worker.listing.workerId) ?? 0) < limit;
    if (isAllowed && (best === null || compare(candidate, best) < 0)) best = candidate;
  }
  return best;
}

function fitsSomewhere(needs: Resources, candidates: Candidates): boolean {
  for (const { room } of candidates.values()) if (fits(needs, room)) return true;
  return false;
}

function takeRoom(candidates: Candidates, chosen: Candidate, request: StepRequest): void {
  const room = subtractResources(chosen.room, roomOf(request));
  candidates.set(chosen.worker.listing.workerId, { ...chosen, room });
}

function newRun(state: ServiceState, chosen: Candidate, runNumber: number): Omit<Run, 'placedInVersion'> {
  const { workerId, incarnation } = chosen.worker.listing;
  return {
    run: runNumber,
    workerId,
    incarnation,
    phase: 'recording',
    placedAt: state.now,
    settledAt: null,
    mayStartLate: false,
    sentAt: null,
    startedAt: null,
    percent: 0,
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
  chosen: Candidate,
  runNumber: number,
  waiting: WaitingStep,
): ServiceStep<ServiceState> {
  const placed = addRun(state, key, newRun(state, chosen, runNumber));
  const run = findTask(placed, key)?.runs.at(-1);
  if (run === undefined) return state;
  yield {
    kind: 'log',
    decision: 'taskPlaced',
    fields: {
      ...runFields(key, run),
      freeMilliCores: chosen.room.milliCores,
      slackMilliseconds: Math.round(waiting.slackMilliseconds),
      waitedMilliseconds: Math.round(waitedMilliseconds(state, key, waiting.step)),
    },
  };
  return placed;
}

function* placeTasks(
  state: ServiceState,
  waiting: WaitingStep,
  candidates: Candidates,
): ServiceStep<ServiceState> {
  const counts = countOnWorkers(waiting);
  let next = state;
  for (const [index, task] of waiting.step.tasks.entries()) {
    if (isTaskWaiting(task)) {
      const chosen = chooseWorker(waiting, task, candidates, counts);
      if (chosen === null) return next;
      const { workerId } = chosen.worker.listing;
      counts.set(workerId, (counts.get(workerId) ?? 0) + 1);
      takeRoom(candidates, chosen, waiting.request);
      next = yield* assign(next, keyOf(waiting, index), chosen, task.lastRun + 1, waiting);
    }
  }
  return next;
}

/** The members of a gang start together or not at all, and only once no member runs any more. */
function* placeGang(
  state: ServiceState,
  waiting: WaitingStep,
  candidates: Candidates,
): ServiceStep<ServiceState> {
  const { tasks } = waiting.step;
  if (tasks.some((task) => task.runs.length > 0)) return state;
  const trial: Candidates = new Map(candidates);
  const counts = new Map<string, number>();
  const chosenWorkers: Candidate[] = [];
  for (const task of tasks) {
    const chosen = chooseWorker(waiting, task, trial, counts);
    if (chosen === null) return state;
    const { workerId } = chosen.worker.listing;
    counts.set(workerId, (counts.get(workerId) ?? 0) + 1);
    takeRoom(trial, chosen, waiting.request);
    chosenWorkers.push(chosen);
  }
  const runNumber = Math.max(...tasks.map((task) => task.lastRun)) + 1;
  let next = state;
  for (const [index, chosen] of chosenWorkers.entries()) {
    takeRoom(candidates, chosen, waiting.request);
    next = yield* assign(next, keyOf(waiting, index), chosen, runNumber, waiting);
  }
  return next;
}

function toCandidates(workers: readonly Candidate[]): Candidates {
  return new Map(workers.map((candidate) => [candidate.worker.listing.workerId, candidate]));
}

/** Those of some workers that may get tasks. */
function candidatesAmong(state: ServiceState, workerIds: Iterable<string>): Candidates {
  const workers = [...workerIds].flatMap((workerId) => state.workers.get(workerId) ?? []);
  return toCandidates(workers.filter((worker) => isUsable(state, worker)).map(candidateOf));
}

/** Gives room to the first steps that fit. `workers` are those that may have room for what has waited for a while. */
function* placeInOrder(state: ServiceState, workers: Candidates): ServiceStep<ServiceState> {
  const isWholeLook = workers.size >= state.workers.size;
  let candidates = workers;
  let stepsLeft = isWholeLook ? STEPS_PER_LOOK : STEPS_PER_EVENT;
  let gangsLeft = GANGS_PER_EVENT;
  let next = state;
  const { leastNeeds } = state.waiting;
  let hasRoomLeft = fitsSomewhere(leastNeeds, candidates);
  for (const [key, { needs }] of orderWaitingSteps(state)) {
    if (stepsLeft === 0 || !hasRoomLeft) return next;
    stepsLeft -= 1;
    const waiting = fitsSomewhere(needs, candidates) ? findWaitingStep(next, key) : null;
    if (waiting !== null) {
      const { isGang } = waiting.request;
      if (!isGang) next = yield* placeTasks(next, waiting, candidates);
      if (isGang && gangsLeft > 0) {
        gangsLeft -= 1;
        // The other members of a gang may have their places on any worker.
        next = yield* placeGang(next, waiting, toCandidates(candidatesOf(next)));
        candidates = candidatesAmong(next, candidates.keys());
      }
      hasRoomLeft = fitsSomewhere(leastNeeds, candidates);
    }
  }
  return next;
}

/** Looks for places for what began to wait, among all workers. */
function* placeFresh(state: ServiceState, fresh: readonly WaitingKey[]): ServiceStep<ServiceState> {
  const candidates = toCandidates(candidatesOf(state));
  let next = state;
  for (const key of fresh) {
    const waiting = findWaitingStep(next, key);
    if (waiting !== null && fitsSomewhere(roomOf(waiting.request), candidates)) {
      next = waiting.request.isGang
        ? yield* placeGang(next, waiting, candidates)
        : yield* placeTasks(next, waiting, candidates);
    }
  }
  return next;
}

/**
 * Places what waits, as far as what has changed since the last time makes it possible: what has waited for a while fits
 * at most on the workers that have more room than before, what began to wait may fit anywhere.
 */
export function* placeWaitingTasks(state: ServiceState): ServiceStep<ServiceState> {
  const { freedWorkerIds, freshSteps } = state.placement;
  if ((freedWorkerIds.isEmpty() && freshSteps.isEmpty()) || !mayAct(state)) return state;
  const begun: ServiceState = updateService(state, { placement: NOTHING_TO_PLACE });
  if (state.waiting.steps.isEmpty) return begun;
  if (freedWorkerIds.isEmpty()) return yield* placeFresh(begun, orderFreshSteps(state));
  if (freshSteps.isEmpty()) return yield* placeInOrder(begun, candidatesAmong(state, freedWorkerIds));
  const filled = yield* placeInOrder(begun, toCandidates(candidatesOf(state)));
  return yield* placeFresh(filled, orderFreshSteps(state));
}
