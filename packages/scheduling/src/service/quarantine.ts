/**
 * Runs quarantined tasks alone: on workers that are kept free of all other tasks for them. One that finds no empty worker in
 * time starts beside other tasks, on a worker that gets no further ones.
 */
import { Map as PersistentMap } from 'immutable';
import { mayStart } from '../decide/shares/workspace-limits.js';
import { taskIdOf } from '../model/job.js';
import { multiplyResources } from '../model/resources.js';
import type { ServiceStep } from '../state/effect.js';
import { mayIssueOrders } from '../state/lease.js';
import {
  QUARANTINE_CRASHES,
  SHARING_PATIENCE_MILLISECONDS,
  updateQuarantine,
} from '../state/quarantine-state.js';
import { runLogFields } from '../state/run-log-fields.js';
import type { ServiceState } from '../state/service-state.js';
import { addRun, findTask, isTaskWaiting } from '../state/tasks.js';
import { updateService } from '../state/update.js';
import { considerWorker } from '../state/worker-index.js';
import {
  isolationCandidates,
  planIsolation,
  planSharing,
  type IsolationCandidate,
} from '../decide/quarantine/isolation-plan.js';
import { newRun } from '../decide/placement/new-run.js';
import {
  findMassSuspects,
  findSuspects,
  keepSuspectedTasks,
  orderWaitingSuspects,
  type Suspect,
  type WaitingSuspect,
} from '../decide/quarantine/quarantined-tasks.js';

/** Largest share of the workers that quarantined tasks may keep from other waiting tasks. */
const MAXIMUM_ISOLATED_SHARE = 1 / 4;

/** Time after which a suspect may take idle workers beyond that share, so that no backlog keeps it waiting. */
const SUSPECT_PATIENCE_MILLISECONDS = 1_500;

/** Marks the quarantine to be looked at again, unless there is none. */
export function markQuarantineStale(state: ServiceState): ServiceState {
  const { quarantine } = state;
  if (quarantine.isStale || (quarantine.tasks.isEmpty() && quarantine.workers.isEmpty())) return state;
  return updateService(state, { quarantine: updateQuarantine(quarantine, { isStale: true }) });
}

/** Isolated workers while suspects are placed, with the limit on their number. */
interface Isolation {
  readonly candidates: readonly IsolationCandidate[];
  /** Isolation id by worker id. */
  readonly isolated: Map<string, string>;
  readonly limit: number;
  /** Whether other tasks wait for the workers, too. */
  readonly isContended: boolean;
  readonly massSuspects: ReadonlySet<string>;
}

/** Returns the workers with a run of a suspect, also those that are not known yet or whose next incarnation may run it. */
function occupiedWorkers(suspects: Iterable<Suspect>): Map<string, string> {
  const occupied = new Map<string, string>();
  for (const { isolationId, runs } of suspects) {
    for (const { workerId } of runs) occupied.set(workerId, isolationId);
  }
  return occupied;
}

function countIsolated({ candidates, isolated }: Isolation): number {
  return candidates.filter(({ worker }) => isolated.has(worker.listing.workerId)).length;
}

function countWaitingMembers(suspects: Iterable<Suspect>): number {
  let count = 0;
  for (const { step, members } of suspects) {
    if (step.readySince !== null) count += members.filter(({ task }) => isTaskWaiting(task)).length;
  }
  return count;
}

function beginIsolation(
  state: ServiceState,
  suspects: ReadonlyMap<string, Suspect>,
  waiting: readonly WaitingSuspect[],
): Isolation {
  const candidates = waiting.length === 0 ? [] : isolationCandidates(state);
  return {
    candidates,
    isolated: occupiedWorkers(suspects.values()),
    limit: Math.max(1, Math.floor(candidates.length * MAXIMUM_ISOLATED_SHARE)),
    isContended: state.waiting.total.tasks > countWaitingMembers(suspects.values()),
    massSuspects: findMassSuspects(state),
  };
}

function isFull(isolation: Isolation): boolean {
  return countIsolated(isolation) >= isolation.candidates.length;
}

/**
 * Returns whether a suspect may run beside other tasks: once each of its tasks has waited for long, and after one crash
 * only, which may have had any cause.
 */
function mayShare({ now }: ServiceState, { members }: WaitingSuspect): boolean {
  return members.every(
    ({ task }) =>
      task.workerCrashes < QUARANTINE_CRASHES && now - task.waitingSince >= SHARING_PATIENCE_MILLISECONDS,
  );
}

/**
 * Returns whether a suspect may isolate the chosen workers. Idle workers are free to take if nothing else waits, and for
 * a suspect that has waited for long; workers to share are for suspects that one crash has made in large number.
 */
function mayIsolate(
  state: ServiceState,
  isolation: Isolation,
  suspect: WaitingSuspect,
  chosen: readonly IsolationCandidate[],
): boolean {
  const isolatedCount = countIsolated(isolation);
  const added = new Set(chosen.map(({ worker }) => worker.listing.workerId)).size;
  if (isolatedCount === 0 || isolatedCount + added <= isolation.limit) return true;
  if (chosen.every(({ isAlone }) => isAlone)) {
    return !isolation.isContended || state.now - suspect.waitingSince >= SUSPECT_PATIENCE_MILLISECONDS;
  }
  const isOneOfMany = suspect.members.some(({ key }) => isolation.massSuspects.has(taskIdOf(key)));
  return isOneOfMany && mayShare(state, suspect);
}

function* startSuspect(
  state: ServiceState,
  { members }: WaitingSuspect,
  chosen: readonly IsolationCandidate[],
): ServiceStep<ServiceState> {
  const runNumber = Math.max(...members.map(({ task }) => task.lastRun)) + 1;
  let next = state;
  for (const [index, { key }] of members.entries()) {
    const worker = chosen[index]?.worker;
    if (worker !== undefined) {
      next = addRun(next, key, newRun(state.now, worker, runNumber));
      const run = findTask(next, key)?.runs.at(-1);
      const fields = run === undefined ? {} : runLogFields(key, run);
      const isAlone = chosen[index]?.isAlone === true;
      yield { kind: 'log', decision: 'taskPlaced', fields: { ...fields, isQuarantined: true, isAlone } };
    }
  }
  return next;
}

/**
 * Returns the workers on which a suspect starts now: those planned for it if they run nothing else, or, once it has waited
 * for long, those with free capacity among its reserved and the unreserved ones; null if it waits on.
 */
function chooseWorkers(
  state: ServiceState,
  suspect: WaitingSuspect,
  planned: readonly IsolationCandidate[],
  isolation: Isolation,
): readonly IsolationCandidate[] | null {
  if (planned.every(({ isAlone }) => isAlone)) return planned;
  if (!mayShare(state, suspect)) return null;
  const { candidates, isolated } = isolation;
  const available = candidates.filter(
    ({ worker }) => (isolated.get(worker.listing.workerId) ?? suspect.isolationId) === suspect.isolationId,
  );
  return planSharing(suspect, available);
}

/** Keeps the given workers for a suspect, and no others. */
function isolate(
  { isolated }: Isolation,
  { isolationId }: WaitingSuspect,
  chosen: readonly IsolationCandidate[],
): void {
  [...isolated].forEach(([workerId, reservedFor]) => {
    if (reservedFor === isolationId) isolated.delete(workerId);
  });
  chosen.forEach(({ worker }) => isolated.set(worker.listing.workerId, isolationId));
}

/** Places a suspect if its workers run nothing else, or reserves them. A gang that has to wait holds up the others. */
function* placeSuspects(
  state: ServiceState,
  waiting: readonly WaitingSuspect[],
  isolation: Isolation,
): ServiceStep<ServiceState> {
  const { candidates, isolated } = isolation;
  let next = state;
  for (const suspect of waiting) {
    if (isFull(isolation)) return next;
    const taskNeeds = suspect.request.needs;
    const startNeeds = multiplyResources(taskNeeds, suspect.members.length);
    const isWithinLimit = mayStart(next, suspect.job.request.workspace, { startNeeds, taskNeeds });
    const free = candidates.filter(({ worker }) => !isolated.has(worker.listing.workerId));
    const chosen = isWithinLimit ? planIsolation(suspect, free) : null;
    const isAllowed = chosen !== null && mayIsolate(state, isolation, suspect, chosen);
    if (isAllowed) {
      isolate(isolation, suspect, chosen);
      const workers = chooseWorkers(next, suspect, chosen, isolation);
      if (workers !== null) {
        isolate(isolation, suspect, workers);
        next = yield* startSuspect(next, suspect, workers);
      }
    }
    if (chosen !== null && !isAllowed && suspect.request.isGang) return next;
  }
  return next;
}

function setIsolatedWorkers(state: ServiceState, isolated: ReadonlyMap<string, string>): ServiceState {
  const released = [...state.quarantine.workers.keys()].filter((workerId) => !isolated.has(workerId));
  const quarantine = updateQuarantine(state.quarantine, {
    workers: PersistentMap(isolated),
    tasks: keepSuspectedTasks(state),
    isStale: false,
  });
  return released.reduce(considerWorker, updateService(state, { quarantine }));
}

/**
 * Places quarantined tasks on workers that run nothing else, and reserves workers for those that find none. Reserved and
 * occupied workers get no other task.
 */
export function* placeQuarantinedTasks(state: ServiceState): ServiceStep<ServiceState> {
  if (!state.quarantine.isStale || !mayIssueOrders(state)) return state;
  const suspects = findSuspects(state);
  const waiting = orderWaitingSuspects(state, suspects);
  const isolation = beginIsolation(state, suspects, waiting);
  const placed = yield* placeSuspects(state, waiting, isolation);
  return setIsolatedWorkers(placed, isolation.isolated);
}
