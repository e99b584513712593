/** Sums up what waits of each workspace, by how its starts compare with the cap and the limit. */
import {
  addResources,
  fits,
  maximumResources,
  multiplyResources,
  NO_RESOURCES,
  subtractResources,
  type Resources,
} from '../../model/resources.js';
import { capBesideOversized, capToResources, type WorkspaceGrant } from '../../model/workspace.js';
import type { ServiceState } from '../../state/service-state.js';
import type { WaitingLoad } from '../../state/waiting-queue.js';
import type { WorkspaceLoad } from '../../state/workspaces-state.js';
import { classifyStart, runningOf } from './oversized-starts.js';

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

/** Returns whether a start exceeds half of the cap and what is left of the limit. */
function exceedsLimit(startNeeds: Resources, { cap, left }: StartBounds): boolean {
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
        largeStart: exceedsLimit(startNeeds, bounds)
          ? largerOf(sums.largeStart, startNeeds)
          : sums.largeStart,
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
      if (exceedsLimit(largestStart, bounds)) scanned.set(workspace, bounds);
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
