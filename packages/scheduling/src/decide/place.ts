/** On which worker a task starts. */
import type { StepRequest, TaskKey } from '../model/job.js';
import { subtractResources } from '../model/resources.js';
import type { ServiceStep } from '../service/effect.js';
import { mayAct } from '../service/lease.js';
import { runFields } from '../service/runs.js';
import type { Run, ServiceState, StepState, TaskState } from '../service/state.js';
import { addRun, findTask, isTaskWaiting, roomOf } from '../service/tasks.js';
import { keyOf, orderWaitingSteps, type WaitingStep } from './order.js';
import { candidatesOf, hasRoom, isSuitable, type Candidate } from './room.js';

/** Candidates of one pass; their room shrinks as tasks are placed. */
type Candidates = Map<string, Candidate>;

function countOnWorkers({ step }: WaitingStep): Map<string, number> {
  const counts = new Map<string, number>();
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
  const compare = compareCandidates(request, task);
  let best: Candidate | null = null;
  for (const candidate of candidates.values()) {
    const isAllowed =
      hasRoom(request, candidate) &&
      isSuitable(request, candidate.worker) &&
      (counts.get(candidate.worker.listing.workerId) ?? 0) < limit;
    if (isAllowed && (best === null || compare(candidate, best) < 0)) best = candidate;
  }
  return best;
}

function fitsSomewhere(request: StepRequest, candidates: Candidates): boolean {
  for (const candidate of candidates.values()) if (hasRoom(request, candidate)) return true;
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

/** Places what waits, as far as there is room. */
export function* placeWaitingTasks(state: ServiceState): ServiceStep<ServiceState> {
  if (!state.placementIsDue || !mayAct(state)) return state;
  const waitingSteps = orderWaitingSteps(state);
  if (waitingSteps.length === 0) return { ...state, placementIsDue: false };
  const candidates: Candidates = new Map(
    candidatesOf(state).map((candidate) => [candidate.worker.listing.workerId, candidate]),
  );
  let next: ServiceState = { ...state, placementIsDue: false };
  for (const waiting of waitingSteps) {
    if (!fitsSomewhere(waiting.request, candidates)) continue;
    next = waiting.request.isGang
      ? yield* placeGang(next, waiting, candidates)
      : yield* placeTasks(next, waiting, candidates);
  }
  return next;
}
