/**
 * Starts beyond the limits of their workspace. A workspace may have its cap and one task more running, so a task larger
 * than the cap, or than what others leave of it, may run, one at a time, while the workspace has little else running. A
 * start that makes use of this is called oversized.
 */
import {
  addResources,
  fits,
  NO_RESOURCES,
  subtractResources,
  type Resources,
} from '../../model/resources.js';
import type { StepRequest } from '../../model/job.js';
import { capBesideOversized, capToResources, type WorkspaceGrant } from '../../model/workspace.js';
import type { ServiceState } from '../../state/service-state.js';
import { startNeedsOf } from '../../state/workspaces.js';

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

/** Returns what a workspace has running in the service. */
export function runningOf({ workspaces }: ServiceState, workspace: string): Resources {
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
