/** Decides what a service may start of a workspace within the part of its cap that the fleet owner has granted. */
import { addResources, fits, NO_RESOURCES, type Resources } from '../../model/resources.js';
import {
  capToResources,
  isCapped,
  NO_CAP,
  ZERO_CAP,
  type ResourceCap,
  type WorkspaceUse,
} from '../../model/workspace.js';
import type { ServiceState } from '../../state/service-state.js';

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

/** Returns whether a start of these needs stays within what the service may have running of a workspace. */
export function fitsLimit(state: ServiceState, workspace: string | null, needs: Resources): boolean {
  if (workspace === null) return true;
  const running = state.workspaces.loads.get(workspace)?.running ?? NO_RESOURCES;
  return fits(addResources(running, needs), capToResources(limitOf(state, workspace)));
}

/** Returns the need of the waiting tasks that may not start within the limits of their workspaces, in thousandths of a core. */
export function sumWithheldMilliCores(state: ServiceState): number {
  let total = 0;
  for (const [workspace, { running, waiting }] of state.workspaces.loads) {
    const limit = capToResources(limitOf(state, workspace));
    total += Math.max(0, waiting.milliCores - Math.max(0, limit.milliCores - running.milliCores));
  }
  return total;
}

/** Returns the use of each workspace that has runs, waiting tasks or a grant. */
export function selectWorkspaceUse(state: ServiceState): readonly WorkspaceUse[] {
  const { loads, grants } = state.workspaces;
  const names = new Set([...loads.keys(), ...grants.keys()]);
  return [...names].map((workspace) => {
    const load = loads.get(workspace);
    return {
      workspace,
      running: load?.running ?? NO_RESOURCES,
      waiting: load?.waiting ?? NO_RESOURCES,
      largestStart: load?.largestStart ?? NO_RESOURCES,
      granted: limitOf(state, workspace),
    };
  });
}
