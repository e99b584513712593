/** Applies the grants of the fleet owner and the workspaces of the configuration. */
import { Map as PersistentMap } from 'immutable';
import { isOversizedAllowed } from '../decide/shares/oversized-starts.js';
import { limitOf } from '../decide/shares/workspace-limits.js';
import { capToResources, type ServiceGrants } from '../model/workspace.js';
import { fits } from '../model/resources.js';
import type { ServiceEventOf } from '../state/event.js';
import { considerEveryWorker } from '../state/placement-changes.js';
import type { ServiceState } from '../state/service-state.js';
import { updateWorkspaces } from '../state/workspaces.js';

/** Returns whether a workspace has waiting tasks and may have more running than before. */
function hasNewRoom(state: ServiceState, former: ServiceState): boolean {
  for (const [workspace, { waitingTasks }] of state.workspaces.loads) {
    const isRaised = !fits(
      capToResources(limitOf(state, workspace)),
      capToResources(limitOf(former, workspace)),
    );
    const isNewlyAllowed = isOversizedAllowed(state, workspace) && !isOversizedAllowed(former, workspace);
    if (waitingTasks > 0 && (isRaised || isNewlyAllowed)) return true;
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
export function applyGrants(state: ServiceState, grants: ServiceGrants): ServiceState {
  if (grants.ownerEpoch !== state.fencingEpoch) return state;
  const applied = updateWorkspaces(state, {
    grants: PersistentMap(grants.workspaces.map((grant) => [grant.workspace, grant])),
    cappedVersion: Math.max(state.workspaces.cappedVersion, grants.cappedVersion),
  });
  return considerNewRoom(applied, state);
}
