/** Builds the report of a service to the fleet owner: its load, its demand and the progress of requested hosts. */
import { taskIdOf, type StepRequest, type TaskKey } from '../model/job.js';
import { candidatesOf, type Candidate } from '../decide/placement/eligibility.js';
import { countFitting, type Resources } from '../model/resources.js';
import type { HostLoad, ServiceReport } from '../model/service-report.js';
import { estimateOfferedMilliCores } from '../state/arrivals.js';
import { classifyStartOf, startSizeOf } from '../decide/shares/oversized-starts.js';
import { selectWorkspaceUse, sumWithheldMilliCores } from '../decide/shares/workspace-limits.js';
import { selectReleaseProgress } from './release.js';
import type { JobState, ServiceState, StepState, WorkerState } from '../state/service-state.js';
import { reservedResourcesOf, stepRequestOf } from '../model/step-needs.js';

function isSound({ isListed, hasAcknowledgedEpoch, silentSince, listing }: WorkerState): boolean {
  return isListed && hasAcknowledgedEpoch && silentSince === null && !listing.isDraining;
}

function hostLoadOf(state: ServiceState, worker: WorkerState): HostLoad {
  const { hostId, workerId } = worker.listing;
  const isReleasing =
    worker.drainState.kind === 'leaving' ||
    state.releasedWorkers.get(workerId) === worker.listing.incarnation;
  return {
    hostId,
    workerId,
    committedMilliCores: worker.committed.milliCores,
    taskCount: worker.tasks.size,
    lastingCount: worker.lastingCount,
    isSound: isSound(worker),
    release: isReleasing ? selectReleaseProgress(state, worker) : null,
  };
}

/** Returns the active jobs with steps whose tasks must all run at once. */
function coscheduledJobs(state: ServiceState): readonly JobState[] {
  return [...state.coscheduledJobIds].flatMap((jobId) => state.jobs.get(jobId) ?? []);
}

function sumLastingMilliCores(state: ServiceState): number {
  const steps = coscheduledJobs(state).flatMap((job) => job.request.steps);
  return steps
    .filter((step) => step.isLasting && !step.usesSpareCapacity)
    .reduce((sum, step) => sum + step.taskCount * step.needs.milliCores, 0);
}

/** Returns whether a step is a gang that the cap of its workspace keeps from starting, and of which nothing runs. */
function isGangBeyondCap(state: ServiceState, job: JobState, index: number): boolean {
  const request = stepRequestOf(job.request, index);
  if (!request.isGang) return false;
  const startClass = classifyStartOf(state, job.request.workspace, startSizeOf(request));
  const isRunning = [...job.occurrences.values()].some(({ steps }) =>
    steps[index]?.tasks.some(({ runs }) => runs.length > 0),
  );
  return startClass === 'impossible' && !isRunning;
}

/** Returns the steps of a job that may run under the cap of its workspace, with their indexes. */
function stepsWithinCap(state: ServiceState, job: JobState): readonly (readonly [number, StepRequest])[] {
  return [...job.request.steps.entries()].filter(([index]) => !isGangBeyondCap(state, job, index));
}

function minimumHostsOfStep({ isLasting, isGang, taskCount, maximumPerWorker }: StepRequest): number {
  const needsCoscheduling = isLasting || isGang;
  return needsCoscheduling && maximumPerWorker !== null ? Math.ceil(taskCount / maximumPerWorker) : 0;
}

function minimumHosts(state: ServiceState): number {
  const steps = coscheduledJobs(state).flatMap((job) => stepsWithinCap(state, job));
  return Math.max(0, ...steps.map(([, step]) => minimumHostsOfStep(step)));
}

/** Counts the lasting tasks that keep a requested host from being drained: nothing is reserved for them elsewhere. */
function countUnplacedOnDrainedWorkers(state: ServiceState, key: TaskKey, { tasks }: StepState): number {
  return tasks.filter(
    ({ runs }, index) =>
      runs.some(({ workerId }) => state.workers.get(workerId)?.drainState.kind === 'leaving') &&
      !state.reservations.has(taskIdOf({ ...key, index })),
  ).length;
}

/** Returns how many hosts a gang or lasting step lacks; 0 for other steps, whose tasks can run one after another. */
function missingHostsOfStep(
  state: ServiceState,
  key: TaskKey,
  request: StepRequest,
  step: StepState,
  candidates: readonly Candidate[],
): number {
  const mustBePlaced = (request.isGang || request.isLasting) && step.readySince !== null;
  const drainedCount = request.isLasting ? countUnplacedOnDrainedWorkers(state, key, step) : 0;
  const unplacedCount = step.waitingCount + drainedCount;
  if (!mustBePlaced || unplacedCount === 0) return 0;
  const limit = request.maximumPerWorker ?? Infinity;
  const slotsOn = (free: Resources): number =>
    Math.min(limit, countFitting(reservedResourcesOf(request), free));
  const slots = candidates.reduce((sum, candidate) => sum + slotsOn(candidate.freeCapacity), 0);
  const missingSlots = unplacedCount - slots;
  // An entry of the register that never answered may be that of no worker, and have any capacity.
  const example = state.workers.find(isSound);
  const perHost = example === undefined ? 1 : Math.max(1, slotsOn(example.listing.capacity));
  return missingSlots <= 0 ? 0 : Math.ceil(missingSlots / perHost);
}

function countMissingHosts(state: ServiceState): number {
  const jobs = coscheduledJobs(state);
  if (jobs.length === 0) return 0;
  const candidates = candidatesOf(state);
  let maximum = 0;
  for (const job of jobs) {
    const { jobId } = job.request;
    for (const [index, request] of stepsWithinCap(state, job)) {
      for (const { occurrence, steps } of job.occurrences.values()) {
        const step = steps[index];
        const key = { jobId, occurrence, step: index, index: 0 };
        const missing = step === undefined ? 0 : missingHostsOfStep(state, key, request, step, candidates);
        maximum = Math.max(maximum, missing);
      }
    }
  }
  return maximum;
}

/** Builds the report for the current state. */
export function selectServiceReport(state: ServiceState): ServiceReport {
  return {
    service: state.service,
    hosts: [...state.workers.values()]
      .filter((worker) => !worker.isTerminated)
      .map((worker) => hostLoadOf(state, worker)),
    // Hosts can't help tasks that their workspace's limit keeps waiting.
    waitingMilliCores: Math.max(0, state.waiting.total.milliCores - sumWithheldMilliCores(state)),
    lastingMilliCores: sumLastingMilliCores(state),
    offeredMilliCores: estimateOfferedMilliCores(state.arrivals, state.now),
    leastHosts: minimumHosts(state),
    missingHosts: countMissingHosts(state),
    workspaces: selectWorkspaceUse(state),
    grants: {
      ownerEpoch: state.fencingEpoch,
      ...state.lastFleetMessage,
      provenSequence: state.workspaces.provenSequence,
    },
  };
}
