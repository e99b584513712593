/** Keeps what each workspace has running and waiting in a service, and the grants of the fleet owner. */
import type { JobRequest, StepRequest } from '../model/job.js';
import {
  addResources,
  maximumResources,
  multiplyResources,
  NO_RESOURCES,
  subtractResources,
  type Resources,
} from '../model/resources.js';
import { stepRequestOf } from '../model/step-needs.js';
import type { ServiceState } from './service-state.js';
import type { WorkspaceLoad, WorkspacesState } from './workspaces-state.js';
import { updateService } from './update.js';

const NO_LOAD: WorkspaceLoad = {
  running: NO_RESOURCES,
  runCount: 0,
  waiting: NO_RESOURCES,
  waitingTasks: 0,
  largestStart: NO_RESOURCES,
};

/** Returns a copy of the workspaces with some fields changed. */
export function updateWorkspaces(state: ServiceState, changes: Partial<WorkspacesState>): ServiceState {
  return updateService(state, { workspaces: { ...state.workspaces, ...changes } });
}

/** Returns what has to start at once of a step: one task, or all tasks of a gang. */
export function startNeedsOf({ needs, isGang, taskCount }: StepRequest): Resources {
  return isGang ? multiplyResources(needs, taskCount) : needs;
}

function setLoad(state: ServiceState, workspace: string, load: WorkspaceLoad): ServiceState {
  const { loads } = state.workspaces;
  const isEmpty = load.runCount === 0 && load.waitingTasks === 0;
  return updateWorkspaces(state, { loads: isEmpty ? loads.remove(workspace) : loads.set(workspace, load) });
}

/** Adds runs of a step to the load of the workspace of a job, or removes them if `count` is negative. */
export function countRuns(
  state: ServiceState,
  request: JobRequest,
  step: number,
  count: number,
): ServiceState {
  const { workspace } = request;
  if (workspace === null || count === 0) return state;
  const load = state.workspaces.loads.get(workspace) ?? NO_LOAD;
  const change = multiplyResources(stepRequestOf(request, step).needs, count);
  return setLoad(state, workspace, {
    ...load,
    running: addResources(load.running, change),
    runCount: load.runCount + count,
  });
}

/** Waiting tasks of one step of a workspace. */
export interface WaitingShare {
  /** Null for jobs without a workspace. */
  readonly workspace: string | null;
  readonly tasks: number;
  /** Need of one task, with the cores also if it uses spare capacity. */
  readonly taskNeeds: Resources;
  /** What has to start at once. */
  readonly startNeeds: Resources;
}

/** Replaces the waiting tasks of one step in the load of its workspace. */
export function replaceWaitingShare(
  state: ServiceState,
  before: WaitingShare | null,
  after: WaitingShare | null,
): ServiceState {
  const workspace = after?.workspace ?? before?.workspace ?? null;
  if (workspace === null) return state;
  const load = state.workspaces.loads.get(workspace) ?? NO_LOAD;
  const totalOf = (share: WaitingShare | null): Resources =>
    share === null ? NO_RESOURCES : multiplyResources(share.taskNeeds, share.tasks);
  const waitingTasks = load.waitingTasks + (after?.tasks ?? 0) - (before?.tasks ?? 0);
  return setLoad(state, workspace, {
    ...load,
    waiting: addResources(subtractResources(load.waiting, totalOf(before)), totalOf(after)),
    waitingTasks,
    largestStart:
      waitingTasks === 0
        ? NO_RESOURCES
        : maximumResources(load.largestStart, after?.startNeeds ?? NO_RESOURCES),
  });
}
