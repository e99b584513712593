/** Selects the workers on which quarantined tasks run alone. */
import { fits, subtractResources, type Resources } from '../../model/resources.js';
import { reservedResourcesOf, stepRequestOf } from '../../model/step-needs.js';
import { isProvenLastingRun } from './crash-evidence.js';
import type { ServiceState, TaskState, WorkerState } from '../../state/service-state.js';
import { runsOnWorker } from '../../state/tasks.js';
import { freeCapacityOf, hasRequiredLabel, mayTakeTasks } from '../placement/eligibility.js';
import type { WaitingSuspect } from './quarantined-tasks.js';

/** A worker on which quarantined tasks may run once it runs nothing else. */
export interface IsolationCandidate {
  readonly worker: WorkerState;
  /** Whether it runs nothing else now. Lasting tasks that have been at work for long do not count. */
  readonly isAlone: boolean;
  /** Capacity that is free for the tasks once it runs nothing else. */
  readonly capacity: Resources;
  readonly hasRecentCrash: boolean;
  /** Id of the tasks that the worker is reserved for; null for none. */
  readonly reservedFor: string | null;
}

/** Returns the candidate with the capacity that its present tasks leave. */
function sharedCandidateOf(candidate: IsolationCandidate): IsolationCandidate {
  return { ...candidate, capacity: freeCapacityOf(candidate.worker) };
}

function candidateOf(
  state: ServiceState,
  worker: WorkerState,
  crashedHostIds: ReadonlySet<string>,
): IsolationCandidate {
  const { workerId, hostId } = worker.listing;
  let { capacity } = worker.listing;
  let isAlone = true;
  for (const entry of runsOnWorker(state, worker)) {
    const [key] = entry;
    const job = state.jobs.get(key.jobId);
    if (job !== undefined && isProvenLastingRun(state, worker, entry)) {
      capacity = subtractResources(capacity, reservedResourcesOf(stepRequestOf(job.request, key.step)));
    } else {
      isAlone = false;
    }
  }
  const reservedFor = state.quarantine.workers.get(workerId) ?? null;
  return { worker, isAlone, capacity, hasRecentCrash: crashedHostIds.has(hostId), reservedFor };
}

/** Returns the workers that may get tasks, as candidates for quarantined tasks. */
export function isolationCandidates(state: ServiceState): readonly IsolationCandidate[] {
  const crashedHostIds = new Set([...state.quarantine.crashes.values()].map(({ hostId }) => hostId));
  return [...state.workers.values()]
    .filter((worker) => mayTakeTasks(state, worker))
    .map((worker) => candidateOf(state, worker, crashedHostIds));
}

/** Orders candidates: usable now, already reserved, no recent crash, not avoided, near the data, least committed. */
function compareCandidates(
  { isolationId, request }: WaitingSuspect,
  { avoidedWorkers }: TaskState,
): (left: IsolationCandidate, right: IsolationCandidate) => number {
  const isReserved = ({ reservedFor }: IsolationCandidate): number => Number(reservedFor === isolationId);
  const isAvoided = ({ worker }: IsolationCandidate): number =>
    Number(avoidedWorkers.includes(worker.listing.workerId));
  const isFar = ({ worker }: IsolationCandidate): number =>
    Number(request.rackOfData !== null && worker.listing.rack !== request.rackOfData);
  return (left, right) =>
    Number(right.isAlone) - Number(left.isAlone) ||
    isReserved(right) - isReserved(left) ||
    Number(left.hasRecentCrash) - Number(right.hasRecentCrash) ||
    isAvoided(left) - isAvoided(right) ||
    isFar(left) - isFar(right) ||
    left.worker.committed.milliCores - right.worker.committed.milliCores;
}

function countRunsOn({ step }: WaitingSuspect, { worker }: IsolationCandidate): number {
  const { workerId } = worker.listing;
  return step.tasks.filter(({ runs }) => runs.some((run) => run.workerId === workerId)).length;
}

function findBest(
  candidates: readonly IsolationCandidate[],
  compare: (left: IsolationCandidate, right: IsolationCandidate) => number,
): IsolationCandidate | null {
  let best: IsolationCandidate | null = null;
  for (const candidate of candidates) {
    if (best === null || compare(candidate, best) < 0) best = candidate;
  }
  return best;
}

/** Selects a worker for each task of a suspect; null if one of them fits on none. */
function chooseAmong(
  suspect: WaitingSuspect,
  candidates: readonly IsolationCandidate[],
): readonly IsolationCandidate[] | null {
  const needs = reservedResourcesOf(suspect.request);
  const { maximumPerWorker } = suspect.request;
  const taken = new Map<IsolationCandidate, Resources>();
  const counts = new Map<IsolationCandidate, number>();
  const countOn = (candidate: IsolationCandidate): number =>
    (counts.get(candidate) ?? 0) + countRunsOn(suspect, candidate);
  const chosen: IsolationCandidate[] = [];
  for (const { task } of suspect.members) {
    const fitting = candidates.filter(
      (candidate) =>
        fits(needs, taken.get(candidate) ?? candidate.capacity) &&
        (maximumPerWorker === null || countOn(candidate) < maximumPerWorker),
    );
    const best = findBest(fitting, compareCandidates(suspect, task));
    if (best === null) return null;
    taken.set(best, subtractResources(taken.get(best) ?? best.capacity, needs));
    counts.set(best, (counts.get(best) ?? 0) + 1);
    chosen.push(best);
  }
  return chosen;
}

/**
 * Selects a worker for each task of a suspect among the candidates; null if they do not suffice. Workers that hold
 * lasting tasks are used only if the others do not suffice.
 */
export function planIsolation(
  suspect: WaitingSuspect,
  candidates: readonly IsolationCandidate[],
): readonly IsolationCandidate[] | null {
  const allowed = candidates.filter(({ worker }) => hasRequiredLabel(suspect.request, worker));
  const withoutLasting = allowed.filter(({ worker }) => worker.lastingCount === 0);
  return chooseAmong(suspect, withoutLasting) ?? chooseAmong(suspect, allowed);
}

/**
 * Selects a worker with free capacity for each task of a suspect that found no empty worker; null if they do not suffice.
 * The tasks beside it are lost if it crashes the worker, so that workers with little committed are preferred. No task may
 * start beside it, so that workers with starts in progress are left out.
 */
export function planSharing(
  suspect: WaitingSuspect,
  candidates: readonly IsolationCandidate[],
): readonly IsolationCandidate[] | null {
  const allowed = candidates.filter(
    ({ worker }) => worker.startingTasks.isEmpty() && hasRequiredLabel(suspect.request, worker),
  );
  return chooseAmong(suspect, allowed.map(sharedCandidateOf));
}
