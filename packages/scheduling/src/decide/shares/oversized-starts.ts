/**
 * Starts that exceed the cap of their workspace. The limit of a workspace allows one task beyond the cap, so a task
 * larger than the cap may run, one at a time, while the workspace has little else running.
 */
import {
  addResources,
  fits,
  maximumResources,
  multiplyResources,
  NO_RESOURCES,
  subtractResources,
  type Resources,
} from '../../model/resources.js';
import type { StepRequest } from '../../model/job.js';
import { capToResources, type WorkspaceGrant } from '../../model/workspace.js';
import type { ServiceState } from '../../state/service-state.js';
import type { WaitingLoad } from '../../state/waiting-queue.js';
import { startNeedsOf } from '../../state/workspaces.js';
import type { WorkspaceLoad } from '../../state/workspaces-state.js';

/** Needs of what has to start at once. */
export interface StartSize {
  /** All that has to start at once: one task, or all tasks of a gang. */
  readonly startNeeds: Resources;
  /** One task of it. */
  readonly taskNeeds: Resources;
}

/** Returns what has to start at once of a step. */
export function startSizeOf(step: StepRequest): StartSize {
  return { startNeeds: startNeedsOf(step), taskNeeds: step.needs };
}

/**
 * How a start compares with the cap of its workspace: `within-cap` fits into the cap, `oversized` exceeds it by at most
 * one task, `impossible` is a gang that exceeds it by more and waits until the cap is raised.
 */
export type StartClass = 'within-cap' | 'oversized' | 'impossible';

/** Classifies a start by the cap of its workspace. */
export function classifyStart({ startNeeds, taskNeeds }: StartSize, cap: Resources): StartClass {
  if (fits(startNeeds, cap)) return 'within-cap';
  return fits(subtractResources(startNeeds, taskNeeds), cap) ? 'oversized' : 'impossible';
}

/** Returns the cap that the newest grants state; null without a grant. */
function capOf(grant: WorkspaceGrant | undefined): Resources | null {
  return grant === undefined ? null : capToResources(grant.cap);
}

/** Classifies a start by the cap in the newest grants of a service; `within-cap` as long as the cap is not known. */
export function classifyStartOf(state: ServiceState, workspace: string | null, size: StartSize): StartClass {
  const cap = workspace === null ? null : capOf(state.workspaces.grants.get(workspace));
  return cap === null ? 'within-cap' : classifyStart(size, cap);
}

/** Returns whether the newest grants allow a start that exceeds the cap of a workspace. */
export function isOversizedAllowed({ workspaces }: ServiceState, workspace: string): boolean {
  return (workspaces.grants.get(workspace)?.oversizedLimit ?? null) !== null;
}

/** Returns whether a start that exceeds the cap may be made now. */
export function mayStartOversized(state: ServiceState, workspace: string, size: StartSize): boolean {
  const grant = state.workspaces.grants.get(workspace);
  if (grant === undefined || grant.oversizedLimit === null) return false;
  if (classifyStart(size, capToResources(grant.cap)) !== 'oversized') return false;
  const running = state.workspaces.loads.get(workspace)?.running ?? NO_RESOURCES;
  const beforeLastRun = subtractResources(addResources(running, size.startNeeds), size.taskNeeds);
  return fits(beforeLastRun, capToResources(grant.oversizedLimit));
}

/** What waits of a workspace, by whether it fits into the cap. */
export interface WaitingByClass {
  /** Needs of the waiting tasks whose starts fit into the cap. */
  readonly waiting: Resources;
  /** The largest of these starts. */
  readonly largestStart: Resources;
  /** The largest waiting start that exceeds the cap by at most one task; null for none. */
  readonly oversizedStart: Resources | null;
}

const NOTHING_WAITING: WaitingByClass = {
  waiting: NO_RESOURCES,
  largestStart: NO_RESOURCES,
  oversizedStart: null,
};

function addWaiting(sums: WaitingByClass, load: WaitingLoad, cap: Resources): WaitingByClass {
  switch (classifyStart(load, cap)) {
    case 'within-cap':
      return {
        ...sums,
        waiting: addResources(sums.waiting, multiplyResources(load.taskNeeds, load.tasks)),
        largestStart: maximumResources(sums.largestStart, load.startNeeds),
      };
    case 'oversized':
      return {
        ...sums,
        oversizedStart: maximumResources(sums.oversizedStart ?? NO_RESOURCES, load.startNeeds),
      };
    default:
      return sums;
  }
}

/** Returns the workspaces of which a start that exceeds the cap may wait, with their caps. */
function workspacesToScan({ workspaces }: ServiceState): ReadonlyMap<string, Resources> {
  const caps = new Map<string, Resources>();
  for (const [workspace, { largestStart, waitingTasks }] of workspaces.loads) {
    const cap = capOf(workspaces.grants.get(workspace));
    if (cap !== null && waitingTasks > 0 && !fits(largestStart, cap)) caps.set(workspace, cap);
  }
  return caps;
}

/** Returns what waits of each workspace of which a start that exceeds the cap may wait. Scans the queue only for these. */
function scanOversized(state: ServiceState): ReadonlyMap<string, WaitingByClass> {
  const caps = workspacesToScan(state);
  const sums = new Map([...caps.keys()].map((workspace) => [workspace, NOTHING_WAITING]));
  if (caps.size === 0) return sums;
  for (const load of state.waiting.steps.values()) {
    const cap = load.workspace === null ? undefined : caps.get(load.workspace);
    if (load.workspace !== null && cap !== undefined) {
      sums.set(load.workspace, addWaiting(sums.get(load.workspace) ?? NOTHING_WAITING, load, cap));
    }
  }
  return sums;
}

function withinCap({ waiting, largestStart }: WorkspaceLoad): WaitingByClass {
  return { waiting, largestStart, oversizedStart: null };
}

/** Returns what waits of each workspace that has runs or waiting tasks. */
export function selectWaitingByClass(state: ServiceState): ReadonlyMap<string, WaitingByClass> {
  const scanned = scanOversized(state);
  return new Map(
    [...state.workspaces.loads].map(([workspace, load]) => [
      workspace,
      scanned.get(workspace) ?? withinCap(load),
    ]),
  );
}
