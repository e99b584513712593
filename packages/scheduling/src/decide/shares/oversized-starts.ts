/**
 * Starts beyond the limits of their workspace. A workspace may have its cap and one task more running, so a task larger
 * than the cap, or than what others leave of it, may run, one at a time, while the workspace has little else running.
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
import { capBesideOversized, capToResources, type WorkspaceGrant } from '../../model/workspace.js';
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

/** Returns whether the newest grants allow a start beyond the limit of a workspace. */
export function isOversizedAllowed({ workspaces }: ServiceState, workspace: string): boolean {
  return (workspaces.grants.get(workspace)?.oversizedLimit ?? null) !== null;
}

function runningOf({ workspaces }: ServiceState, workspace: string): Resources {
  return workspaces.loads.get(workspace)?.running ?? NO_RESOURCES;
}

/** Returns whether a start beyond the limit may be made now. */
export function mayStartOversized(state: ServiceState, workspace: string, size: StartSize): boolean {
  const grant = state.workspaces.grants.get(workspace);
  if (grant === undefined || grant.oversizedLimit === null) return false;
  const besideOversized = capBesideOversized(capToResources(grant.cap));
  const running = runningOf(state, workspace);
  if (fits(size.startNeeds, besideOversized) || !fits(running, besideOversized)) return false;
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
  /** The largest waiting start that exceeds half of the cap, but not the cap, nor fits into the limit; null for none. */
  readonly largeStart: Resources | null;
}

const NOTHING_WAITING: WaitingByClass = {
  waiting: NO_RESOURCES,
  largestStart: NO_RESOURCES,
  oversizedStart: null,
  largeStart: null,
};

/** What limits the starts of a workspace in a service. */
interface StartBounds {
  readonly cap: Resources;
  /** What is left of the limit of the service. */
  readonly left: Resources;
}

function isLarge({ startNeeds }: StartSize, { cap, left }: StartBounds): boolean {
  return !fits(startNeeds, capBesideOversized(cap)) && !fits(startNeeds, left);
}

function largerOf(known: Resources | null, needs: Resources): Resources {
  return maximumResources(known ?? NO_RESOURCES, needs);
}

function addWaiting(sums: WaitingByClass, load: WaitingLoad, bounds: StartBounds): WaitingByClass {
  const { startNeeds } = load;
  switch (classifyStart(load, bounds.cap)) {
    case 'within-cap':
      return {
        ...sums,
        waiting: addResources(sums.waiting, multiplyResources(load.taskNeeds, load.tasks)),
        largestStart: maximumResources(sums.largestStart, startNeeds),
        largeStart: isLarge(load, bounds) ? largerOf(sums.largeStart, startNeeds) : sums.largeStart,
      };
    case 'oversized':
      return { ...sums, oversizedStart: largerOf(sums.oversizedStart, startNeeds) };
    default:
      return sums;
  }
}

function boundsOf(state: ServiceState, grant: WorkspaceGrant): StartBounds {
  const left = subtractResources(capToResources(grant.limit), runningOf(state, grant.workspace));
  return { cap: capToResources(grant.cap), left };
}

/** Returns the workspaces of which a start beyond the limit may wait. */
function workspacesToScan(state: ServiceState): ReadonlyMap<string, StartBounds> {
  const { loads, grants } = state.workspaces;
  const scanned = new Map<string, StartBounds>();
  for (const [workspace, { largestStart, waitingTasks }] of loads) {
    const grant = grants.get(workspace);
    if (grant !== undefined && waitingTasks > 0) {
      const bounds = boundsOf(state, grant);
      const startNeeds = largestStart;
      if (isLarge({ startNeeds, taskNeeds: startNeeds }, bounds)) scanned.set(workspace, bounds);
    }
  }
  return scanned;
}

/** Returns what waits of each workspace of which a start beyond the limit may wait. Scans the queue only for these. */
function scanWaiting(state: ServiceState): ReadonlyMap<string, WaitingByClass> {
  const boundsByWorkspace = workspacesToScan(state);
  const sums = new Map([...boundsByWorkspace.keys()].map((workspace) => [workspace, NOTHING_WAITING]));
  if (boundsByWorkspace.size === 0) return sums;
  for (const load of state.waiting.steps.values()) {
    const bounds = load.workspace === null ? undefined : boundsByWorkspace.get(load.workspace);
    if (load.workspace !== null && bounds !== undefined) {
      sums.set(load.workspace, addWaiting(sums.get(load.workspace) ?? NOTHING_WAITING, load, bounds));
    }
  }
  return sums;
}

function ordinaryOnly({ waiting, largestStart }: WorkspaceLoad): WaitingByClass {
  return { waiting, largestStart, oversizedStart: null, largeStart: null };
}

/** Returns what waits of each workspace that has runs or waiting tasks. */
export function selectWaitingByClass(state: ServiceState): ReadonlyMap<string, WaitingByClass> {
  const scanned = scanWaiting(state);
  return new Map(
    [...state.workspaces.loads].map(([workspace, load]) => [
      workspace,
      scanned.get(workspace) ?? ordinaryOnly(load),
    ]),
  );
}
