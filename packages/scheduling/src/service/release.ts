/** Empties workers whose hosts are wanted for something else, or that are shutting down, without harming their tasks. */
import { candidatesOf, fitsOnCandidate, hasRequiredLabel, type Candidate } from '../decide/eligibility.js';
import type { StepRequest, TaskKey } from '../model/job.js';
import type { ServiceStep } from './effect.js';
import type { HostWished, ServiceEventOf } from './event.js';
import { mayAct } from './lease.js';
import { orderStop } from './runs.js';
import type { JobState, Run, ServiceState, StepState, WorkerState } from './state.js';
import { runsOn } from './tasks.js';
import { offerWorker, setWorker } from './worker-index.js';
import { stepRequestOf } from '../model/step-needs.js';
import { updateService, updateWorker } from './update.js';

/** Time for which tasks that save nothing may hold a host up that is due for maintenance. */
const MAINTENANCE_PATIENCE_MILLISECONDS = 8_000;

/** Time without a repeated wish after which a host is used again. */
const WISH_MILLISECONDS = 2_000;

/** How far the emptying of a host has come. */
export type ReleaseProgress = 'released' | 'draining';

/** Whether a run is known to work at full speed on a worker that answers. */
function isAtWork(state: ServiceState, run: Run): boolean {
  const FULL_SPEED_PERCENT = 100;
  const worker = state.workers.get(run.workerId);
  const isAnswering = worker !== undefined && !worker.isGone && worker.silentSince === null;
  const isKnown = run.phase === 'running' && run.startedAt !== null;
  return isAnswering && isKnown && run.percent === FULL_SPEED_PERCENT;
}

/** Other tasks of a step that are not at work, or not known to be. */
function countOthersAbsent(state: ServiceState, step: StepState, run: Run): number {
  const isPresent = (other: Run): boolean => isAtWork(state, other);
  return step.tasks.filter((task) => !task.runs.includes(run) && !task.runs.some(isPresent)).length;
}

/** Whether a lasting task may be taken away now: not while as many others of its step are absent as may be. */
function mayTakeAway(state: ServiceState, step: StepState, request: StepRequest, run: Run): boolean {
  if (request.maximumAbsent === null) return true;
  return countOthersAbsent(state, step, run) < request.maximumAbsent;
}

/** Whether another worker could take a task now. */
function hasPlaceElsewhere(
  candidates: readonly Candidate[],
  key: TaskKey,
  step: StepState,
  request: StepRequest,
): boolean {
  const limit = request.maximumPerWorker ?? Infinity;
  const countBeside = (workerId: string): number =>
    step.tasks.filter(
      (task, index) => index !== key.index && task.runs.some((run) => run.workerId === workerId),
    ).length;
  return candidates.some(
    (candidate) =>
      fitsOnCandidate(request, candidate) &&
      hasRequiredLabel(request, candidate.worker) &&
      (limit === Infinity || countBeside(candidate.worker.listing.workerId) < limit),
  );
}

function stepOf(job: JobState, key: TaskKey): StepState | null {
  return job.occurrences.get(key.occurrence)?.steps[key.step] ?? null;
}

function isOutOfPatience(state: ServiceState, { hold }: WorkerState): boolean {
  if (hold.kind !== 'leaving' || hold.purpose !== 'maintenance') return false;
  return state.now - hold.since > MAINTENANCE_PATIENCE_MILLISECONDS;
}

function shouldStop(
  state: ServiceState,
  worker: WorkerState,
  candidates: readonly Candidate[],
  key: TaskKey,
  run: Run,
): boolean {
  const job = state.jobs.get(key.jobId);
  const step = job === undefined ? null : stepOf(job, key);
  if (job === undefined || step === null || run.phase !== 'running') return false;
  const request = stepRequestOf(job.request, key.step);
  if (isOutOfPatience(state, worker) && !request.isLasting) return true;
  if (request.isGang) return false;
  // What is on a worker that shuts down ends with it, so no wait helps.
  if (worker.listing.isDraining) return request.isLasting || request.savesCheckpoints;
  if (!request.isLasting && !request.savesCheckpoints) return false;
  if (!hasPlaceElsewhere(candidates, key, step, request)) return false;
  return request.isLasting ? mayTakeAway(state, step, request, run) : request.savesCheckpoints;
}

function* emptyWorker(
  state: ServiceState,
  worker: WorkerState,
  candidates: readonly Candidate[],
): ServiceStep<ServiceState> {
  let next = state;
  for (const [key, run] of [...runsOn(state, worker)]) {
    if (shouldStop(next, worker, candidates, key, run)) {
      next = yield* orderStop(next, key, run, 'its host is wanted');
    }
  }
  return next;
}

function recordRelease(state: ServiceState, worker: WorkerState): ServiceState {
  const { workerId, incarnation } = worker.listing;
  if (state.releasedWorkers.get(workerId) === incarnation) return state;
  const record = { kind: 'worker-released' as const, workerId, incarnation };
  return updateService(state, {
    releasedWorkers: state.releasedWorkers.set(workerId, incarnation),
    releaseRecords: [...state.releaseRecords, record],
  });
}

function withdrawStaleWish(state: ServiceState, worker: WorkerState): ServiceState {
  const { hold } = worker;
  if (hold.kind !== 'leaving' || state.now - hold.wishedAt <= WISH_MILLISECONDS) return state;
  return setWorker(state, updateWorker(worker, { hold: { kind: 'none' } }));
}

/** Goes on with emptying the workers that are wanted or that shut down. */
export function* emptyLeavingWorkers(before: ServiceState): ServiceStep<ServiceState> {
  if (!mayAct(before)) return before;
  let state = before;
  for (const { listing } of before.workers.values()) {
    const worker = state.workers.get(listing.workerId);
    if (worker !== undefined) state = withdrawStaleWish(state, worker);
  }
  const leaving = [...state.workers.values()].filter(
    ({ hold, listing }) => hold.kind === 'leaving' || listing.isDraining,
  );
  // A stop that is ordered frees no room yet, so what the others can take stays as it is.
  const candidates = leaving.length === 0 ? [] : candidatesOf(state);
  for (const worker of leaving) {
    const isWanted = worker.hold.kind === 'leaving';
    state = yield* emptyWorker(state, worker, candidates);
    const emptied = state.workers.get(worker.listing.workerId);
    if (isWanted && emptied?.tasks.isEmpty() === true) state = recordRelease(state, emptied);
  }
  return state;
}

/** The newest life on a host: the register may hold former ones, which run nothing. */
function workerOnHost(state: ServiceState, hostId: string): WorkerState | null {
  let newest: WorkerState | null = null;
  for (const worker of state.workers.values()) {
    const isNewer = newest === null || worker.listing.incarnation > newest.listing.incarnation;
    if (worker.listing.hostId === hostId && isNewer) newest = worker;
  }
  return newest;
}

function* wishForHost(state: ServiceState, { hostId, purpose }: HostWished): ServiceStep<ServiceState> {
  const worker = workerOnHost(state, hostId);
  if (worker === null) return state;
  if (worker.hold.kind === 'none') {
    const { workerId } = worker.listing;
    const fields = { hostId, workerId, purpose, tasks: worker.tasks.size };
    yield { kind: 'log', decision: 'releaseBegun', fields };
  }
  const since = worker.hold.kind === 'leaving' ? worker.hold.since : state.now;
  return setWorker(
    state,
    updateWorker(worker, { hold: { kind: 'leaving', purpose, since, wishedAt: state.now } }),
  );
}

function* useHostAgain(state: ServiceState, hostId: string): ServiceStep<ServiceState> {
  const worker = workerOnHost(state, hostId);
  if (worker === null) return state;
  const { workerId } = worker.listing;
  yield { kind: 'log', decision: 'releaseWithdrawn', fields: { hostId, workerId } };
  const used = setWorker(state, updateWorker(worker, { hold: { kind: 'none' } }));
  const returned: ServiceState = updateService(used, {
    releasedWorkers: used.releasedWorkers.remove(workerId),
    releaseRecords: [...used.releaseRecords, { kind: 'worker-returned', workerId }],
  });
  return offerWorker(returned, workerId);
}

function isOlder(state: ServiceState, { epoch, sequence }: ServiceEventOf<'hosts-wished'>): boolean {
  const { fleetMessage } = state;
  return epoch < fleetMessage.epoch || (epoch === fleetMessage.epoch && sequence <= fleetMessage.sequence);
}

/** Works in which hosts are wanted: their workers get no new tasks from now on. */
export function* handleHostsWished(
  state: ServiceState,
  event: ServiceEventOf<'hosts-wished'>,
): ServiceStep<ServiceState> {
  if (isOlder(state, event)) return state;
  let next: ServiceState = updateService(state, {
    fleetMessage: { epoch: event.epoch, sequence: event.sequence },
  });
  for (const hostId of event.returns) next = yield* useHostAgain(next, hostId);
  for (const wished of event.releases) next = yield* wishForHost(next, wished);
  return yield* emptyLeavingWorkers(next);
}

/** How far the emptying of a worker has come whose host is wanted. */
export function selectRelease(state: ServiceState, worker: WorkerState): ReleaseProgress {
  const { workerId, incarnation } = worker.listing;
  const isRecorded =
    state.releasedWorkers.get(workerId) === incarnation &&
    !state.releaseRecords.some((record) => record.workerId === workerId);
  const isStoring = state.appendInFlight?.releasedWorkerIds.has(workerId) ?? false;
  return isRecorded && !isStoring && worker.tasks.isEmpty() ? 'released' : 'draining';
}
