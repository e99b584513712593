/** Builds the descriptions for operators: the status of this process, and the state of a job, worker, host or pool. */
import {
  selectSlowedWorkers,
  selectWithheldBy,
  selectWorkspaceUse,
  selectWorstPairs,
  startSizeOf,
  stepRequestOf,
  type FleetState,
  type JobState,
  type ServiceState,
  type StepState,
  type TaskState,
  type WorkspaceUse,
  type WorstPair,
} from '@baobabdeck/scheduling';
import type { RelayStatus } from '../relays/relays.js';
import type { OwnedLogs } from './owned-logs.js';

/** One service that this process owns. */
interface ServiceStatus {
  readonly service: string;
  readonly epoch: number;
  readonly jobs: number;
  readonly activeJobs: number;
  readonly workers: number;
  readonly silentWorkers: readonly string[];
  readonly leavingHosts: readonly string[];
  /** Age of the last proof of ownership, in milliseconds. */
  readonly provenAgoMilliseconds: number;
  /** Use beside limit of each workspace with runs, waiting tasks or a grant. */
  readonly workspaces: readonly WorkspaceUse[];
  /** Pairs of images that are known to interfere, worst first, with the evidence. */
  readonly worstInterference: readonly WorstPair[];
  /** Workers whose filling tasks are slowed down, with their pace. */
  readonly slowedWorkers: ReturnType<typeof selectSlowedWorkers>;
}

/** Status of this process. */
export interface NodeStatus {
  readonly services: readonly ServiceStatus[];
  /** Null if another process serves the fleet. */
  readonly fleet: {
    readonly hosts: number;
    readonly waves: readonly { readonly wave: number; readonly hosts: number; readonly begun: number }[];
    readonly orders: readonly string[];
  } | null;
  /** The processes that relay orders to workers for this one; empty while it sends them itself. */
  readonly relays: readonly RelayStatus[];
}

function describeService(state: ServiceState, now: number): ServiceStatus {
  const workers = [...state.workers.values()];
  return {
    service: state.service,
    epoch: state.fencingEpoch,
    jobs: state.jobs.size,
    activeJobs: state.activeJobIds.size,
    workers: workers.filter((worker) => worker.hasAcknowledgedEpoch && !worker.isTerminated).length,
    silentWorkers: workers.flatMap(({ silentSince, listing }) =>
      silentSince === null ? [] : [listing.workerId],
    ),
    leavingHosts: workers.flatMap(({ drainState, listing }) =>
      drainState.kind === 'leaving' ? [listing.hostId] : [],
    ),
    provenAgoMilliseconds: Math.round(now - state.provenAt),
    workspaces: selectWorkspaceUse(state),
    worstInterference: selectWorstPairs(state),
    slowedWorkers: selectSlowedWorkers(state),
  };
}

function describeFleet(state: FleetState): NonNullable<NodeStatus['fleet']> {
  return {
    hosts: state.hosts.size,
    waves: [...state.waves.values()].map(({ wave, hostIds, begunHostIds }) => ({
      wave,
      hosts: hostIds.length,
      begun: begunHostIds.size,
    })),
    orders: [...state.hosts.values()].flatMap(({ order, listing }) =>
      order === null ? [] : [listing.hostId],
    ),
  };
}

/** Returns the status of the owned services, the fleet and the relays. */
export function selectStatus(logs: OwnedLogs, relays: readonly RelayStatus[], now: number): NodeStatus {
  const services = logs.services().flatMap((owner) => owner.state() ?? []);
  const fleet = logs.fleet()?.state() ?? null;
  return {
    services: services.map((state) => describeService(state, now)),
    fleet: fleet === null ? null : describeFleet(fleet),
    relays,
  };
}

function describeTasks(tasks: readonly TaskState[]): object {
  return {
    tasks: tasks.length,
    done: tasks.filter((task) => task.isDone).length,
    failedRuns: tasks.reduce((sum, task) => sum + task.failedRuns, 0),
    runs: tasks.flatMap((task, index) =>
      task.runs.map(({ run, workerId, phase }) => ({ task: index, run, workerId, phase })),
    ),
  };
}

/** Describes a step of a job, with the reason for which the limits of its workspace keep its waiting tasks from starting. */
function describeStep(state: ServiceState, { request }: JobState, step: StepState, index: number): unknown {
  const isReady = step.readySince !== null;
  const size = startSizeOf(stepRequestOf(request, index));
  const isWaiting = isReady && step.waitingCount > 0;
  return {
    isReady,
    withheldBy: isWaiting ? selectWithheldBy(state, request.workspace, size) : null,
    ...describeTasks(step.tasks),
  };
}

function explainJob(states: readonly ServiceState[], jobId: string): unknown {
  for (const state of states) {
    const job = state.jobs.get(jobId);
    if (job !== undefined) {
      return {
        service: state.service,
        queue: job.request.queue,
        phase: job.phase,
        recordedPhase: job.recordedPhase,
        ageMilliseconds: Math.round(state.now - job.arrivedAt),
        occurrences: [...job.occurrences.values()].map(({ occurrence, steps }) => ({
          occurrence,
          steps: steps.map((step, index) => describeStep(state, job, step, index)),
        })),
      };
    }
    const forwarded = state.forwarding.jobs.get(jobId);
    if (forwarded !== undefined) {
      const { queue, service, sentAt } = forwarded;
      return { service: state.service, queue: queue.name, forwardedTo: service, isSent: sentAt !== null };
    }
  }
  return null;
}

function explainWorker(states: readonly ServiceState[], workerId: string): unknown {
  for (const state of states) {
    const worker = state.workers.get(workerId);
    if (worker !== undefined) {
      const {
        listing,
        hasAcknowledgedEpoch: isHeld,
        isTerminated: isGone,
        silentSince,
        drainState,
        cooldownUntil,
        committed,
      } = worker;
      return {
        service: state.service,
        hostId: listing.hostId,
        isDraining: listing.isDraining,
        isHeld,
        isGone,
        silentForMilliseconds: silentSince === null ? null : Math.round(state.now - silentSince),
        restsForMilliseconds: Math.max(0, Math.round(cooldownUntil - state.now)),
        hold: drainState.kind,
        capacity: listing.capacity,
        committed,
        tasks: [...worker.tasks.keys()],
      };
    }
  }
  return null;
}

function explainHost(fleet: FleetState | null, hostId: string): unknown {
  const host = fleet?.hosts.get(hostId);
  if (fleet === null || host === undefined) return null;
  return {
    ...host.listing,
    order: host.order,
    wish: host.requestedAction,
    restsForMilliseconds: Math.max(0, Math.round(host.cooldownUntil - fleet.now)),
  };
}

function explainPool(fleet: FleetState | null, pool: string): unknown {
  if (fleet === null) return null;
  const reported = fleet.reports.get(pool);
  const hosts = [...fleet.hosts.values()].filter(({ listing }) => listing.pool === pool);
  if (reported === undefined && hosts.length === 0) return null;
  return {
    hosts: hosts.map(({ listing, order, requestedAction: wish }) => ({
      hostId: listing.hostId,
      state: listing.state,
      order: order?.what ?? null,
      wish: wish?.what ?? null,
    })),
    reportAgeMilliseconds: reported === undefined ? null : Math.round(fleet.now - reported.receivedAt),
    report: reported?.report ?? null,
  };
}

/** Describes a subject of a kind (job, worker, host or pool); null if it is unknown or owned by another process. */
export function explainSubject(logs: OwnedLogs, kind: string, name: string): unknown {
  const states = logs.services().flatMap((owner) => owner.state() ?? []);
  const fleet = logs.fleet()?.state() ?? null;
  switch (kind) {
    case 'job':
      return explainJob(states, name);
    case 'worker':
      return explainWorker(states, name);
    case 'host':
      return explainHost(fleet, name);
    case 'pool':
      return explainPool(fleet, name);
    default:
      return null;
  }
}
