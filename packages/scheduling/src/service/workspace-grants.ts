/** Applies the grants of the fleet owner, and ends jobs that can never run within the cap of their workspace. */
import { Map as PersistentMap } from 'immutable';
import { exceedsCap, limitOf } from '../decide/shares/workspace-limits.js';
import { capToResources, type ServiceGrants, type WorkspaceGrant } from '../model/workspace.js';
import { fits } from '../model/resources.js';
import type { ServiceStep } from '../state/effect.js';
import type { ServiceEventOf } from '../state/event.js';
import { considerEveryWorker } from '../state/placement-changes.js';
import type { ServiceState } from '../state/service-state.js';
import { updateWorkspaces } from '../state/workspaces.js';
import { endJob, runsOfJob } from './jobs.js';

/**
 * Ends a job of which a task or gang needs more than the whole cap of its workspace. A cap that was lowered stops
 * nothing that runs, so a job with runs ends after its last one.
 */
export function* endOversizedJob(state: ServiceState, jobId: string): ServiceStep<ServiceState> {
  const job = state.jobs.get(jobId);
  const { oversizedJobIds } = state.workspaces;
  if (job?.phase !== 'active' || !exceedsCap(state, job.request)) {
    if (!oversizedJobIds.has(jobId)) return state;
    return updateWorkspaces(state, { oversizedJobIds: oversizedJobIds.remove(jobId) });
  }
  if (runsOfJob(job).length > 0) {
    return updateWorkspaces(state, { oversizedJobIds: oversizedJobIds.add(jobId) });
  }
  const cleared = updateWorkspaces(state, { oversizedJobIds: oversizedJobIds.remove(jobId) });
  return yield* endJob(cleared, jobId, 'failed', 'a task needs more than the cap of its workspace');
}

/** Ends the oversized jobs whose last run has ended. */
export function* endIdleOversizedJobs(state: ServiceState): ServiceStep<ServiceState> {
  let next = state;
  for (const jobId of state.workspaces.oversizedJobIds) next = yield* endOversizedJob(next, jobId);
  return next;
}

function hasOtherCap(left: WorkspaceGrant | undefined, right: WorkspaceGrant): boolean {
  return left === undefined || !fits(capToResources(left.cap), capToResources(right.cap));
}

/** Ends the jobs that have become oversized by a cap that is new or lower. */
function* endOversizedJobs(state: ServiceState, former: ServiceState): ServiceStep<ServiceState> {
  const changed = new Set(
    [...state.workspaces.grants.values()]
      .filter((grant) => hasOtherCap(former.workspaces.grants.get(grant.workspace), grant))
      .map(({ workspace }) => workspace),
  );
  if (changed.size === 0) return state;
  let next = state;
  for (const jobId of state.activeJobIds) {
    const workspace = state.jobs.get(jobId)?.request.workspace ?? null;
    if (workspace !== null && changed.has(workspace)) next = yield* endOversizedJob(next, jobId);
  }
  return next;
}

/** Returns whether a workspace has waiting tasks and may have more running than before. */
function hasNewRoom(state: ServiceState, former: ServiceState): boolean {
  for (const [workspace, { waitingTasks }] of state.workspaces.loads) {
    const isRaised = !fits(
      capToResources(limitOf(state, workspace)),
      capToResources(limitOf(former, workspace)),
    );
    if (waitingTasks > 0 && isRaised) return true;
  }
  return false;
}

/** Lets waiting tasks be tried on every worker if a limit was raised: capacity may be free that no event shows. */
function considerNewRoom(state: ServiceState, former: ServiceState): ServiceState {
  return hasNewRoom(state, former) ? considerEveryWorker(state) : state;
}

/** Applies the workspaces of the configuration of this process. */
export function handleWorkspacesConfigured(
  state: ServiceState,
  { version, workspaces }: ServiceEventOf<'workspaces-configured'>,
): ServiceState {
  if (version <= state.workspaces.termsVersion) return state;
  const terms = new Map(workspaces.map((known) => [known.name, known]));
  return considerNewRoom(updateWorkspaces(state, { terms, termsVersion: version }), state);
}

/** Records after which message of the fleet owner the ownership is proven, so that it can rely on the reports. */
export function trackProof(state: ServiceState, epoch: number, sequence: number): ServiceState {
  const isSameOwner = epoch === state.lastFleetMessage.epoch;
  const unproven = isSameOwner ? state.workspaces.unprovenMessage : null;
  const isProven = unproven !== null && state.provenAt > unproven.at;
  const formerProven = isSameOwner ? state.workspaces.provenSequence : 0;
  return updateWorkspaces(state, {
    provenSequence: isProven ? unproven.sequence : formerProven,
    unprovenMessage: unproven === null || isProven ? { sequence, at: state.now } : unproven,
  });
}

/** Replaces the grants in force. Grants for another owner of the service are ignored. */
export function* applyGrants(state: ServiceState, grants: ServiceGrants): ServiceStep<ServiceState> {
  if (grants.ownerEpoch !== state.fencingEpoch) return state;
  const applied = updateWorkspaces(state, {
    grants: PersistentMap(grants.workspaces.map((grant) => [grant.workspace, grant])),
    cappedVersion: Math.max(state.workspaces.cappedVersion, grants.cappedVersion),
  });
  return considerNewRoom(yield* endOversizedJobs(applied, state), state);
}
