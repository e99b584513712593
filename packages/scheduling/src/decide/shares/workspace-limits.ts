/** Decides what a service may start of a workspace within the part of its cap that the fleet owner has granted. */
import { addResources, fits, maximumResources, NO_RESOURCES } from '../../model/resources.js';
import {
  capToResources,
  isCapped,
  NO_CAP,
  ZERO_CAP,
  type ResourceCap,
  type WorkspaceUse,
} from '../../model/workspace.js';
import type { ServiceState } from '../../state/service-state.js';
import {
  classifyStartOf,
  isOversizedAllowed,
  mayStartOversized,
  runningOf,
  type StartSize,
} from './oversized-starts.js';
import { selectWaitingByClass, type WaitingByClass } from './waiting-by-class.js';

/**
 * Returns the most that the service may have running of a workspace. Without a grant nothing may start, unless the
 * configuration of this process says that the workspace is uncapped and is not older than the newest new cap.
 */
export function limitOf({ workspaces }: ServiceState, workspace: string): ResourceCap {
  const granted = workspaces.grants.get(workspace);
  if (granted !== undefined) return granted.limit;
  const terms = workspaces.terms.get(workspace);
  const isUncapped =
    terms !== undefined && workspaces.termsVersion >= workspaces.cappedVersion && !isCapped(terms.cap);
  return isUncapped ? NO_CAP : ZERO_CAP;
}

/** Returns whether the service may make a start of a workspace now. */
export function mayStart(state: ServiceState, workspace: string | null, size: StartSize): boolean {
  if (workspace === null) return true;
  const running = runningOf(state, workspace);
  const limit = capToResources(limitOf(state, workspace));
  return fits(addResources(running, size.startNeeds), limit) || mayStartOversized(state, workspace, size);
}

/**
 * Why a start of a workspace may not be made: `workspace-limit` if the service has used up its part of the cap,
 * `exceeds-cap` if the start exceeds the cap and waits until it may be made alone, `gang-exceeds-cap` if it cannot be
 * made before the cap is raised.
 */
export type WithheldBy = 'workspace-limit' | 'exceeds-cap' | 'gang-exceeds-cap';

/** Returns why the limits of a workspace keep a start from being made now; null if they allow it. */
export function selectWithheldBy(
  state: ServiceState,
  workspace: string | null,
  size: StartSize,
): WithheldBy | null {
  if (mayStart(state, workspace, size)) return null;
  switch (classifyStartOf(state, workspace, size)) {
    case 'oversized':
      return 'exceeds-cap';
    case 'impossible':
      return 'gang-exceeds-cap';
    default:
      return 'workspace-limit';
  }
}

/** Returns the need of the waiting tasks of a workspace that may start, in thousandths of a core. */
function startableMilliCores(state: ServiceState, workspace: string, waits: WaitingByClass): number {
  const { waiting, oversizedStart, largeStart } = waits;
  const running = runningOf(state, workspace);
  const limit = capToResources(limitOf(state, workspace));
  const beyondLimit = maximumResources(oversizedStart ?? NO_RESOURCES, largeStart ?? NO_RESOURCES);
  const allowedBeyondLimit = isOversizedAllowed(state, workspace) ? beyondLimit.milliCores : 0;
  const withinLimit = Math.min(waiting.milliCores, Math.max(0, limit.milliCores - running.milliCores));
  return withinLimit + allowedBeyondLimit;
}

/** Returns the need of the waiting tasks that may not start within the limits of their workspaces, in thousandths of a core. */
export function sumWithheldMilliCores(state: ServiceState): number {
  let total = 0;
  for (const [workspace, waits] of selectWaitingByClass(state)) {
    const waiting = state.workspaces.loads.get(workspace)?.waiting.milliCores ?? 0;
    total += Math.max(0, waiting - startableMilliCores(state, workspace, waits));
  }
  return total;
}

/** Returns the use of each workspace that has runs, waiting tasks or a grant. */
export function selectWorkspaceUse(state: ServiceState): readonly WorkspaceUse[] {
  const { loads, grants } = state.workspaces;
  const waitingByClass = selectWaitingByClass(state);
  const names = new Set([...loads.keys(), ...grants.keys()]);
  return [...names].map((workspace) => {
    const waits = waitingByClass.get(workspace);
    return {
      workspace,
      running: loads.get(workspace)?.running ?? NO_RESOURCES,
      waiting: waits?.waiting ?? NO_RESOURCES,
      largestStart: waits?.largestStart ?? NO_RESOURCES,
      hasOversizedStart: (waits?.oversizedStart ?? null) !== null,
      hasLargeStart: (waits?.largeStart ?? null) !== null,
      granted: limitOf(state, workspace),
      mayStartOversized: isOversizedAllowed(state, workspace),
    };
  });
}
