/** Drains workers that shut down or whose hosts the fleet owner requests, without harming their tasks. */
import { isDrainStalled } from '../decide/placement/eligibility.js';
import {
  createRelocation,
  isRelocatable,
  reserveForTask,
  type Relocation,
} from '../decide/placement/relocation.js';
import type { StepRequest, TaskKey } from '../model/job.js';
import type { ReleaseProgress } from '../model/service-report.js';
import type { ServiceStep } from '../state/effect.js';
import type { HostReleaseRequest, ServiceEventOf } from '../state/event.js';
import { mayBeStoppedByEarlierOwner } from '../state/former-stops.js';
import { mayIssueOrders } from '../state/lease.js';
import { orderStop } from './runs.js';
import { pacedPercentOf } from '../state/run-pace.js';
import type {
  CapacityReservation,
  JobState,
  Run,
  ServiceState,
  StepState,
  WorkerState,
} from '../state/service-state.js';
import { reserveForRelocation, runsOnWorker } from '../state/tasks.js';
import { considerWorker, setWorker } from '../state/worker-index.js';
import { reservedResourcesOf, stepRequestOf } from '../model/step-needs.js';
import { applyGrants, trackProof } from './workspace-grants.js';
import { updateService, updateWorker } from '../state/update.js';

/** Time for which tasks without checkpoints may delay the maintenance of their host. */
const MAINTENANCE_GRACE_MILLISECONDS = 8_000;

/** Time after which a request for a host expires unless it is repeated. */
const REQUEST_TTL_MILLISECONDS = 2_000;

/**
 * Returns whether a run is known to run on a worker that answers, at full speed unless a pace was ordered for it, and
 * cannot be ending by a stop that an earlier owner ordered.
 */
function isRunningAtFullSpeed(state: ServiceState, run: Run): boolean {
  const FULL_SPEED_PERCENT = 100;
  const worker = state.workers.get(run.workerId);
  if (worker === undefined || mayBeStoppedByEarlierOwner(worker, run)) return false;
  const isAnswering = !worker.isTerminated && worker.silentSince === null;
  const isKnown = run.phase === 'running' && run.startedAt !== null;
  const isSlowedDown = pacedPercentOf(run) < FULL_SPEED_PERCENT;
  return isAnswering && isKnown && (run.speedPercent === FULL_SPEED_PERCENT || isSlowedDown);
}

/** Counts the other tasks of a step that are not known to run at full speed. */
function countOtherAbsentTasks(state: ServiceState, step: StepState, run: Run): number {
  const isPresent = (other: Run): boolean => isRunningAtFullSpeed(state, other);
  return step.tasks.filter((task) => !task.runs.includes(run) && !task.runs.some(isPresent)).length;
}

/** Returns whether a lasting task may be stopped now, given how many tasks of its step may be absent at a time. */
function mayStopLastingTask(state: ServiceState, step: StepState, request: StepRequest, run: Run): boolean {
  if (request.maximumAbsent === null) return true;
  return countOtherAbsentTasks(state, step, run) < request.maximumAbsent;
}

function stepOf(job: JobState, key: TaskKey): StepState | null {
  return job.occurrences.get(key.occurrence)?.steps[key.step] ?? null;
}

function isMaintenanceGraceOver(state: ServiceState, worker: WorkerState): boolean {
  const { drainState } = worker;
  if (drainState.kind !== 'leaving' || drainState.purpose !== 'maintenance') return false;
  // Stopping tasks would not complete a stalled drain.
  if (isDrainStalled(state, worker)) return false;
  return state.now - drainState.graceSince > MAINTENANCE_GRACE_MILLISECONDS;
}

/** Decision on one run of a worker that is drained. */
type DrainDecision =
  | { readonly kind: 'keep' }
  /** `reservation` is the capacity to keep for the task meanwhile; null for none. */
  | { readonly kind: 'stop'; readonly reservation: CapacityReservation | null };

const KEEP: DrainDecision = { kind: 'keep' };

/** Decides whether a run is stopped now so that its worker is drained, and reserves capacity for its task. */
function decideOnRun(
  state: ServiceState,
  worker: WorkerState,
  relocation: Relocation,
  key: TaskKey,
  run: Run,
): DrainDecision {
  const job = state.jobs.get(key.jobId);
  const step = job === undefined ? null : stepOf(job, key);
  const task = step?.tasks[key.index];
  if (job === undefined || step === null || task === undefined || run.phase !== 'running') return KEEP;
  const request = stepRequestOf(job.request, key.step);
  if (isMaintenanceGraceOver(state, worker) && !request.isLasting) return { kind: 'stop', reservation: null };
  const { isDraining } = worker.listing;
  const mayStop = isDraining || !request.isLasting || mayStopLastingTask(state, step, request, run);
  if (!isRelocatable(request) || !mayStop) return KEEP;
  const target = reserveForTask(relocation, key, request, step, task);
  // Runs on a worker that shuts down end with it, so waiting for capacity elsewhere would not help.
  if (target === null) return isDraining ? { kind: 'stop', reservation: null } : KEEP;
  const reservation = { workerId: target.listing.workerId, needs: reservedResourcesOf(request) };
  return { kind: 'stop', reservation: request.isLasting ? reservation : null };
}

/** Records that a lasting task was stopped. A stalled drain that goes on gives other tasks their grace period anew. */
function recordDrainProgress(state: ServiceState, before: WorkerState): ServiceState {
  const worker = state.workers.get(before.listing.workerId);
  if (worker?.drainState.kind !== 'leaving') return state;
  const graceSince = isDrainStalled(state, before) ? state.now : worker.drainState.graceSince;
  const drainState = { ...worker.drainState, lastProgressAt: state.now, graceSince };
  return setWorker(state, updateWorker(worker, { drainState }));
}

function* drainWorker(
  state: ServiceState,
  worker: WorkerState,
  relocation: Relocation,
): ServiceStep<ServiceState> {
  let next = state;
  for (const [key, run] of [...runsOnWorker(state, worker)]) {
    const current = next.workers.get(worker.listing.workerId) ?? worker;
    const decision = decideOnRun(next, current, relocation, key, run);
    if (decision.kind === 'stop') {
      next = yield* orderStop(next, key, run, 'its worker is being drained');
      const { reservation } = decision;
      if (reservation !== null) {
        next = recordDrainProgress(next, current);
        next = reserveForRelocation(next, key, reservation);
      }
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
    pendingReleaseRecords: [...state.pendingReleaseRecords, record],
  });
}

function expireRequest(state: ServiceState, worker: WorkerState): ServiceState {
  const { drainState: drain } = worker;
  if (drain.kind !== 'leaving' || state.now - drain.lastRequestedAt <= REQUEST_TTL_MILLISECONDS) return state;
  return setWorker(state, updateWorker(worker, { drainState: { kind: 'none' } }));
}

/** Continues to drain workers that shut down or whose hosts are requested. Requested ones are released once empty. */
export function* drainLeavingWorkers(before: ServiceState): ServiceStep<ServiceState> {
  if (!mayIssueOrders(before)) return before;
  let state = before;
  for (const { listing } of before.workers.values()) {
    const worker = state.workers.get(listing.workerId);
    if (worker !== undefined) state = expireRequest(state, worker);
  }
  const leaving = [...state.workers.values()].filter(
    ({ drainState, listing }) => drainState.kind === 'leaving' || listing.isDraining,
  );
  if (leaving.length === 0) return state;
  const relocation = createRelocation(state, leaving);
  for (const worker of leaving) {
    const isRequested = worker.drainState.kind === 'leaving';
    state = yield* drainWorker(state, worker, relocation);
    const drained = state.workers.get(worker.listing.workerId);
    if (isRequested && drained?.tasks.isEmpty() === true) state = recordRelease(state, drained);
  }
  return state;
}

/** Returns the newest worker on a host. The register may still list former ones, which run nothing. */
function workerOnHost(state: ServiceState, hostId: string): WorkerState | null {
  let newest: WorkerState | null = null;
  for (const worker of state.workers.values()) {
    const isNewer = newest === null || worker.listing.incarnation > newest.listing.incarnation;
    if (worker.listing.hostId === hostId && isNewer) newest = worker;
  }
  return newest;
}

function* requestHost(
  state: ServiceState,
  { hostId, purpose }: HostReleaseRequest,
): ServiceStep<ServiceState> {
  const worker = workerOnHost(state, hostId);
  if (worker === null) return state;
  if (worker.drainState.kind === 'none') {
    const { workerId } = worker.listing;
    const fields = { hostId, workerId, purpose, tasks: worker.tasks.size };
    yield { kind: 'log', decision: 'releaseBegun', fields };
  }
  const begun = {
    kind: 'leaving' as const,
    since: state.now,
    lastProgressAt: state.now,
    graceSince: state.now,
  };
  const known = worker.drainState.kind === 'leaving' ? worker.drainState : begun;
  const drainState = { ...known, purpose, lastRequestedAt: state.now };
  return setWorker(state, updateWorker(worker, { drainState }));
}

function* returnHost(state: ServiceState, hostId: string): ServiceStep<ServiceState> {
  const worker = workerOnHost(state, hostId);
  if (worker === null) return state;
  const { workerId } = worker.listing;
  yield { kind: 'log', decision: 'releaseWithdrawn', fields: { hostId, workerId } };
  const cleared = setWorker(state, updateWorker(worker, { drainState: { kind: 'none' } }));
  const returned: ServiceState = updateService(cleared, {
    releasedWorkers: cleared.releasedWorkers.remove(workerId),
    pendingReleaseRecords: [...cleared.pendingReleaseRecords, { kind: 'worker-returned', workerId }],
  });
  return considerWorker(returned, workerId);
}

function isOutdated(
  state: ServiceState,
  { epoch, sequence }: ServiceEventOf<'host-requests-received'>,
): boolean {
  const { lastFleetMessage: last } = state;
  return epoch < last.epoch || (epoch === last.epoch && sequence <= last.sequence);
}

/** Applies the fleet owner's requests and returns of hosts. Workers on requested hosts get no new tasks. */
export function* handleHostRequests(
  state: ServiceState,
  event: ServiceEventOf<'host-requests-received'>,
): ServiceStep<ServiceState> {
  if (isOutdated(state, event)) return state;
  const { epoch, sequence, grants } = event;
  let next: ServiceState = updateService(trackProof(state, epoch, sequence), {
    lastFleetMessage: { epoch, sequence },
  });
  if (grants !== undefined && grants !== null) next = applyGrants(next, grants);
  for (const hostId of event.returns) next = yield* returnHost(next, hostId);
  for (const request of event.releases) next = yield* requestHost(next, request);
  return yield* drainLeavingWorkers(next);
}

/** Returns the progress of the release of a worker whose host is requested. */
export function selectReleaseProgress(state: ServiceState, worker: WorkerState): ReleaseProgress {
  const { workerId, incarnation } = worker.listing;
  const isRecorded =
    state.releasedWorkers.get(workerId) === incarnation &&
    !state.pendingReleaseRecords.some((record) => record.workerId === workerId);
  const isStoring = state.appendInFlight?.releasedWorkerIds.has(workerId) ?? false;
  return isRecorded && !isStoring && worker.tasks.isEmpty() ? 'released' : 'draining';
}
