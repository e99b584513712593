/** Selects a worker for each waiting task. */
import type { TaskKey } from '../../model/job.js';
import { reservedResourcesOf } from '../../model/step-needs.js';
import type { ServiceStep } from '../../state/effect.js';
import { mayIssueOrders } from '../../state/lease.js';
import { runLogFields } from '../../state/run-log-fields.js';
import type { ServiceState, StepState, WorkerState } from '../../state/service-state.js';
import { addRun, findTask, isTaskWaiting } from '../../state/tasks.js';
import { NO_PLACEMENT_CHANGES } from '../../state/placement-changes.js';
import type { WaitingEntry, WaitingKey } from '../../state/waiting-queue.js';
import {
  findWaitingStep,
  longestWaitMilliseconds,
  taskKeyOf,
  orderNewlyWaitingSteps,
  orderWaitingSteps,
  type WaitingStep,
} from '../order/waiting-order.js';
import {
  copyEligibleWorkers,
  allEligibleWorkers,
  allWorkersForOverdueTask,
  freeMilliCoresOn,
  fitsOnAny,
  narrowEligibleWorkers,
  eligibleWorkersAmong,
  reserveForStep,
  type EligibleWorkers,
} from './eligible-workers.js';
import { chooseWorker, countRunsByWorker, incrementCount, type RunCounts } from './choose-worker.js';
import { mayStart } from '../shares/workspace-limits.js';
import { startSizeOf } from '../shares/oversized-starts.js';
import { newRun } from './new-run.js';
import { updateService } from '../../state/update.js';

/** Waiting steps that one event may check against the capacity that it frees. */
const STEPS_PER_EVENT = 64;

/** Steps that one scan of all workers may try to place; the next scan resumes after them. */
const STEPS_PER_FULL_SCAN = 2_048;

/** Gangs that one event may try to place: each is checked against every worker. */
const GANGS_PER_EVENT = 2;
const GANGS_PER_FULL_SCAN = 64;

/** Returns how long a task has waited since its step became ready or since its last run ended, whichever is later. */
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
  eligible: EligibleWorkers,
): ServiceStep<ServiceState> {
  const freeMilliCores = freeMilliCoresOn(eligible, chosen);
  reserveForStep(eligible, chosen, waiting.request);
  eligible.startSlots.take(chosen, key);
  const placed = addRun(state, key, newRun(state.now, chosen, runNumber));
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

function* placeTasks(
  state: ServiceState,
  waiting: WaitingStep,
  eligible: EligibleWorkers,
): ServiceStep<ServiceState> {
  const counts = countRunsByWorker(waiting.request, waiting.step);
  const hasSlot = (worker: WorkerState): boolean =>
    eligible.startSlots.hasSlot(worker, taskKeyOf(waiting, 0));
  const size = startSizeOf(waiting.request);
  let next = state;
  for (const [index, task] of waiting.step.tasks.entries()) {
    if (isTaskWaiting(task) && !task.isQuarantined) {
      if (!mayStart(next, waiting.job.request.workspace, size)) return next;
      const chosen = chooseWorker(waiting.request, task, eligible, counts, hasSlot);
      if (chosen === null) return next;
      incrementCount(counts, chosen);
      next = yield* assign(next, taskKeyOf(waiting, index), chosen, task.lastRun + 1, waiting, eligible);
    }
  }
  return next;
}

/** Selects a worker for each member of a gang; null if any member fits on none. */
function chooseGangWorkers(waiting: WaitingStep, eligible: EligibleWorkers): readonly WorkerState[] | null {
  const trial = copyEligibleWorkers(eligible);
  const counts: RunCounts = new Map();
  const chosenWorkers: WorkerState[] = [];
  for (const task of waiting.step.tasks) {
    const chosen = chooseWorker(waiting.request, task, trial, counts);
    if (chosen === null) return null;
    incrementCount(counts, chosen);
    reserveForStep(trial, chosen, waiting.request);
    chosenWorkers.push(chosen);
  }
  return chosenWorkers;
}

/** Places all members of a gang or none, and only once no earlier run of a member is left. */
function* placeGang(
  state: ServiceState,
  waiting: WaitingStep,
  eligible: EligibleWorkers,
): ServiceStep<ServiceState> {
  const { tasks } = waiting.step;
  if (tasks.some((task) => task.runs.length > 0 || task.isQuarantined)) return state;
  if (!mayStart(state, waiting.job.request.workspace, startSizeOf(waiting.request))) return state;
  const chosenWorkers = chooseGangWorkers(waiting, eligible) ?? [];
  const runNumber = Math.max(...tasks.map((task) => task.lastRun)) + 1;
  let next = state;
  for (const [index, chosen] of chosenWorkers.entries()) {
    next = yield* assign(next, taskKeyOf(waiting, index), chosen, runNumber, waiting, eligible);
  }
  return next;
}

function* placeStep(
  state: ServiceState,
  waiting: WaitingStep,
  eligible: EligibleWorkers,
): ServiceStep<ServiceState> {
  return waiting.request.isGang
    ? yield* placeGang(state, waiting, eligible)
    : yield* placeTasks(state, waiting, eligible);
}

/** Steps and gangs that may still be tried. */
interface PlacementBudget {
  steps: number;
  gangs: number;
}

function isExhausted({ steps, gangs }: PlacementBudget): boolean {
  return steps === 0 || gangs === 0;
}

/** Steps of workspaces at their limit that one event may skip. */
const SKIPPED_STEPS_PER_EVENT = 4_096;

/** Yields the waiting steps in queue order, without those of workspaces that may have no more running now. */
function* startableSteps(
  state: ServiceState,
  current: () => ServiceState,
): Generator<WaitingEntry, void, void> {
  let skipped = 0;
  for (const entry of orderWaitingSteps(state)) {
    const [, load] = entry;
    if (mayStart(current(), load.workspace, load)) yield entry;
    else skipped += 1;
    if (skipped >= SKIPPED_STEPS_PER_EVENT) return;
  }
}

/** Places steps in queue order: newly waiting steps on any worker, all others on workers with freed capacity. */
function* placeInOrder(
  state: ServiceState,
  freedWorkerIds: ReadonlySet<string>,
  newlyWaiting: ReadonlySet<WaitingKey>,
): ServiceStep<ServiceState> {
  const allWorkers = newlyWaiting.size === 0 ? null : allEligibleWorkers(state);
  let freedWorkers =
    allWorkers === null
      ? eligibleWorkersAmong(state, freedWorkerIds)
      : narrowEligibleWorkers(allWorkers, ({ listing }) => freedWorkerIds.has(listing.workerId));
  const budget: PlacementBudget = { steps: STEPS_PER_EVENT, gangs: GANGS_PER_EVENT };
  let next = state;
  for (const [key, { needs }] of startableSteps(state, () => next)) {
    if (budget.steps === 0 || !fitsOnAny(allWorkers ?? freedWorkers, state.waiting.minimumNeeds)) return next;
    budget.steps -= 1;
    const eligible = allWorkers !== null && newlyWaiting.has(key) ? allWorkers : freedWorkers;
    const waiting = fitsOnAny(eligible, needs) ? findWaitingStep(next, key) : null;
    if (waiting?.request.isGang === true && budget.gangs > 0) {
      budget.gangs -= 1;
      // One member may fit into the freed capacity while the others fit on any worker.
      next = yield* placeGang(next, waiting, allWorkers ?? allEligibleWorkers(next));
      if (allWorkers === null) freedWorkers = eligibleWorkersAmong(next, freedWorkerIds);
    }
    if (waiting?.request.isGang === false) next = yield* placeTasks(next, waiting, eligible);
  }
  return next;
}

/**
 * Tries waiting steps on every worker, in queue order. If more steps wait than one scan may try, the next scan resumes
 * after the last step tried, so that no step is starved while capacity is free.
 */
function* scanAllWorkers(state: ServiceState): ServiceStep<ServiceState> {
  const eligible = allEligibleWorkers(state);
  const budget: PlacementBudget = { steps: STEPS_PER_FULL_SCAN, gangs: GANGS_PER_FULL_SCAN };
  let position = 0;
  let next = updateService(state, { scannedSteps: 0 });
  for (const [key, { needs }] of startableSteps(state, () => next)) {
    if (!fitsOnAny(eligible, state.waiting.minimumNeeds)) return next;
    if (isExhausted(budget)) return updateService(next, { scannedSteps: position });
    position += 1;
    const isBehind = position > state.scannedSteps;
    const waiting = isBehind && fitsOnAny(eligible, needs) ? findWaitingStep(next, key) : null;
    if (waiting !== null) {
      budget.steps -= 1;
      budget.gangs -= Number(waiting.request.isGang);
      next = yield* placeStep(next, waiting, eligible);
    }
  }
  return next;
}

/** Time that a lasting task waits before it may start on a worker whose host is being drained, or that is ejected. */
const LASTING_TASK_PATIENCE_MILLISECONDS = 5_500;

/**
 * Places lasting tasks that have waited for long on any worker that neither shuts down nor is released. Hosts that are
 * being drained are drained again once the tasks fit elsewhere.
 */
function* placeOverdueLastingTasks(state: ServiceState): ServiceStep<ServiceState> {
  let next = state;
  for (const [key] of orderWaitingSteps(state)) {
    if (!key.isLasting) return next;
    const waiting = findWaitingStep(next, key);
    const isOverdue =
      waiting !== null && longestWaitMilliseconds(next, waiting) >= LASTING_TASK_PATIENCE_MILLISECONDS;
    if (isOverdue) next = yield* placeStep(next, waiting, allWorkersForOverdueTask(next));
  }
  return next;
}

/** Tries newly waiting steps on every worker. */
function* placeNewlyWaiting(
  state: ServiceState,
  newlyWaiting: readonly WaitingKey[],
): ServiceStep<ServiceState> {
  const eligible = allEligibleWorkers(state);
  let next = state;
  for (const key of newlyWaiting) {
    const waiting = findWaitingStep(next, key);
    if (waiting !== null && fitsOnAny(eligible, reservedResourcesOf(waiting.request))) {
      next = yield* placeStep(next, waiting, eligible);
    }
  }
  return next;
}

/**
 * Places waiting tasks after a change. Steps that were waiting before can fit only on workers whose free capacity has
 * grown since; newly waiting steps may fit on any worker.
 */
export function* placeWaitingTasks(state: ServiceState): ServiceStep<ServiceState> {
  const { freedWorkerIds, newlyWaitingSteps } = state.placementChanges;
  if ((freedWorkerIds.isEmpty() && newlyWaitingSteps.isEmpty()) || !mayIssueOrders(state)) return state;
  const begun: ServiceState = updateService(state, { placementChanges: NO_PLACEMENT_CHANGES });
  if (state.waiting.steps.isEmpty) return begun;
  if (freedWorkerIds.size >= state.workers.size) {
    return yield* placeOverdueLastingTasks(yield* scanAllWorkers(begun));
  }
  const newlyWaiting = orderNewlyWaitingSteps(state);
  if (freedWorkerIds.isEmpty()) return yield* placeNewlyWaiting(begun, newlyWaiting);
  const filled = yield* placeInOrder(begun, new Set(freedWorkerIds), new Set(newlyWaiting));
  // Newly waiting steps beyond those that the pass above has tried.
  return newlyWaiting.length === 0 ? filled : yield* placeNewlyWaiting(filled, newlyWaiting);
}
