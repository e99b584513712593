/** Grants each service a part of the caps of the workspaces, and keeps which limits may be in force where. */
import { Map as PersistentMap } from 'immutable';
import { termsInForce, versionsInForce } from '../decide/shares/caps-in-force.js';
import { planCappedWorkspace, type WorkspaceHolding } from '../decide/shares/capped-plan.js';
import { FIRST_TURN, type OversizedTurn } from '../decide/shares/oversized-turn.js';
import type { Instant } from '../model/instant.js';
import { fits, maximumResources, NO_RESOURCES, type Resources } from '../model/resources.js';
import type { ServiceReport } from '../model/service-report.js';
import {
  capToResources,
  isCapped,
  NO_CAP,
  resourcesToCap,
  type ServiceGrants,
  type WorkspaceGrant,
  type WorkspaceTerms,
  type WorkspaceUse,
} from '../model/workspace.js';
import type { FleetEventOf } from './event.js';
import { applyGrantReport } from './grant-reports.js';
import { grantStateOf, withGrantState, type FleetGrants, type ServiceGrantState } from './grant-state.js';
import type { FleetState } from './state.js';
import { updateFleet } from './update.js';

/** Time for which a workspace without runs and waiting tasks keeps its grants, so that its next job need not wait. */
const IDLE_GRANT_MILLISECONDS = 60_000;

/** Time after which another service comes first when a cap is divided in parts of whole tasks. */
const TURN_MILLISECONDS = 1_000;

/** Age of its newest report up to which a service counts as responding; reports come several times a second. */
const RESPONSE_MILLISECONDS = 1_000;

/** Longest time that a message with grants is under way. */
const MESSAGE_MILLISECONDS = 1_000;

/** Unlimited amounts of each resource. */
const UNLIMITED: Resources = capToResources(NO_CAP);

/**
 * Returns the grants of a new fleet owner.
 * @param epoch its epoch; 1 for the first owner of the fleet
 * @param claimedAt when it claimed the fleet
 * @param ownershipProofMilliseconds time for which an earlier owner may have gone on sending grants
 * @param hasResigned whether the earlier owner has stopped by itself
 */
export function initialGrants(
  epoch: number,
  claimedAt: Instant,
  ownershipProofMilliseconds: number,
  hasResigned: boolean,
): FleetGrants {
  const laterSince = claimedAt + MESSAGE_MILLISECONDS + (hasResigned ? 0 : ownershipProofMilliseconds);
  return {
    epoch,
    aloneSince: epoch === 1 ? -Infinity : laterSince,
    versions: [],
    cappedSince: new Map(),
    services: PersistentMap(),
    oversizedTurns: new Map(),
    neededAt: new Map(),
  };
}

function updateGrants(state: FleetState, changes: Partial<FleetGrants>): FleetState {
  return updateFleet(state, { grants: { ...state.grants, ...changes } });
}

/** Takes note of the workspaces of a version of the configuration. */
export function handleFleetWorkspacesConfigured(
  state: FleetState,
  { version, workspaces }: FleetEventOf<'workspaces-configured'>,
): FleetState {
  const { versions } = state.grants;
  if (version <= (versions[0]?.version ?? -1)) return state;
  const known = { version, workspaces, seenAt: state.now };
  return updateGrants(state, { versions: [known, ...versionsInForce(versions, state.now)] });
}

/** Applies the uses and acknowledged grants of a report. */
export function recordGrantReport(state: FleetState, report: ServiceReport): FleetState {
  return updateFleet(state, { grants: applyGrantReport(state.grants, report, state.now) });
}

/** Returns the services that may have runs of workspaces: those of the configuration, and others with reported use. */
export function grantedServices({ pools, grants }: FleetState): readonly string[] {
  const configured = pools.filter(({ isStandby }) => !isStandby).map(({ pool }) => pool);
  const removed = [...grants.services]
    .filter(([service, { uses }]) => uses.size > 0 && !configured.includes(service))
    .map(([service]) => service);
  return [...configured, ...removed];
}

/** Returns the highest limit that may be in force. A workspace may count as uncapped until the owner acknowledges its cap. */
function limitInForce(grants: FleetGrants, known: ServiceGrantState, workspace: string): Resources {
  const hasAcknowledgedCap = known.acknowledgedVersion >= (grants.cappedSince.get(workspace) ?? 0);
  return hasAcknowledgedCap ? (known.limits.get(workspace) ?? NO_RESOURCES) : UNLIMITED;
}

function holdingOf(state: FleetState, service: string, workspace: string): WorkspaceHolding {
  const known = grantStateOf(state.grants, service);
  const use = known.uses.get(workspace);
  return {
    service,
    limit: limitInForce(state.grants, known, workspace),
    lowestLimit: known.limits.get(workspace) ?? NO_RESOURCES,
    running: use?.running ?? NO_RESOURCES,
    waiting: use?.waiting ?? NO_RESOURCES,
    largestStart: use?.largestStart ?? NO_RESOURCES,
    hasOversizedStart: use?.hasOversizedStart ?? false,
    hasLargeStart: use?.hasLargeStart ?? false,
    mayStartOversized: known.oversizedAllowed.has(workspace),
    isResponding: state.now - (known.reportedAt ?? -Infinity) <= RESPONSE_MILLISECONDS,
  };
}

/** Next grants of all services, by service and workspace. */
type Plan = ReadonlyMap<string, Map<string, WorkspaceGrant>>;

/** Plans the grants of a capped workspace, and returns whose turn it is. */
function planCapped(
  state: FleetState,
  services: readonly string[],
  terms: WorkspaceTerms,
  plan: Plan,
): OversizedTurn {
  const { name, weight, cap } = terms;
  const { turn, limits } = planCappedWorkspace(
    capToResources(cap),
    services.map((service) => holdingOf(state, service, name)),
    state.grants.oversizedTurns.get(name) ?? FIRST_TURN,
    services.every((service) => grantStateOf(state.grants, service).isKnown),
    state.now,
    Math.floor(state.now / TURN_MILLISECONDS),
  );
  for (const { service, limit, oversizedLimit } of limits) {
    plan.get(service)?.set(name, {
      workspace: name,
      limit: resourcesToCap(limit),
      cap,
      oversizedLimit: oversizedLimit === null ? null : resourcesToCap(oversizedLimit),
      weight,
    });
  }
  return turn;
}

/** Plans the grants of all capped workspaces in use. */
function planAllCapped(
  state: FleetState,
  services: readonly string[],
  terms: ReadonlyMap<string, WorkspaceTerms>,
  plan: Plan,
): FleetState {
  const oversizedTurns = new Map<string, OversizedTurn>();
  for (const workspace of state.grants.neededAt.keys()) {
    const known = terms.get(workspace);
    if (known !== undefined && isCapped(known.cap)) {
      oversizedTurns.set(workspace, planCapped(state, services, known, plan));
    }
  }
  return updateGrants(state, { oversizedTurns });
}

/** Lifts the limits of workspaces that are no longer capped, such as those that were removed. */
function planUncapped(
  state: FleetState,
  service: string,
  terms: ReadonlyMap<string, WorkspaceTerms>,
  plan: Plan,
): void {
  const { uses, sent } = grantStateOf(state.grants, service);
  const sentWorkspaces = new Set(sent?.workspaces.map(({ workspace }) => workspace));
  for (const { workspace, granted } of uses.values()) {
    const known = terms.get(workspace);
    const isLimited = known !== undefined && isCapped(known.cap);
    if (!isLimited && (isCapped(granted) || sentWorkspaces.has(workspace))) {
      const weight = known?.weight ?? 1;
      const grant = { workspace, limit: NO_CAP, cap: NO_CAP, oversizedLimit: null, weight };
      plan.get(service)?.set(workspace, grant);
    }
  }
}

function hasNeed({ running, waiting, hasOversizedStart }: WorkspaceUse): boolean {
  return hasOversizedStart || !fits(maximumResources(running, waiting), NO_RESOURCES);
}

/** Returns when each workspace last had runs or waiting tasks, without those for which that was long ago. */
function trackNeeds(state: FleetState): ReadonlyMap<string, Instant> {
  const needed = new Map(
    [...state.grants.neededAt].filter(([, at]) => state.now - at <= IDLE_GRANT_MILLISECONDS),
  );
  for (const { uses } of state.grants.services.values()) {
    for (const use of uses.values()) {
      if (hasNeed(use)) needed.set(use.workspace, state.now);
    }
  }
  return needed;
}

/** Returns the version that has capped each workspace which is capped now. */
function trackCaps(
  { cappedSince, versions }: FleetGrants,
  terms: ReadonlyMap<string, WorkspaceTerms>,
): ReadonlyMap<string, number> {
  const version = versions[0]?.version ?? 0;
  const capped = [...terms.values()].filter(({ cap }) => isCapped(cap));
  return new Map(capped.map(({ name }) => [name, cappedSince.get(name) ?? version]));
}

/** Returns the state of a service after grants were sent that may come into force as soon as they arrive. */
function withSentGrants(
  known: ServiceGrantState,
  workspaces: readonly WorkspaceGrant[],
  cappedVersion: number,
): ServiceGrantState {
  if (known.ownerEpoch === 0) return { ...known, sent: null };
  const limits = new Map(known.limits);
  for (const { workspace, limit } of workspaces) {
    limits.set(workspace, maximumResources(capToResources(limit), limits.get(workspace) ?? NO_RESOURCES));
  }
  const allowed = workspaces.filter(({ oversizedLimit }) => oversizedLimit !== null);
  return {
    ...known,
    sent: { ownerEpoch: known.ownerEpoch, cappedVersion, workspaces },
    limits,
    oversizedAllowed: new Set([...known.oversizedAllowed, ...allowed.map(({ workspace }) => workspace)]),
  };
}

/** Records that a message with grants is sent to a service. */
function recordSent(
  state: FleetState,
  service: string,
  sequence: number,
  grants: ReadonlyMap<string, WorkspaceGrant>,
  cappedVersion: number,
): FleetState {
  const known = grantStateOf(state.grants, service);
  const isAlone = state.now >= state.grants.aloneSince;
  const sent = withSentGrants(known, [...grants.values()], cappedVersion);
  return updateFleet(state, {
    grants: withGrantState(state.grants, service, {
      ...sent,
      sentSequence: sequence,
      confirmingSequence: known.confirmingSequence ?? (isAlone ? sequence : null),
    }),
  });
}

function hasWorkspaces({ versions, services }: FleetGrants): boolean {
  return (
    versions.some(({ workspaces }) => workspaces.length > 0) || services.some(({ uses }) => uses.size > 0)
  );
}

/** Plans the grants in the messages that are sent to the given services now. */
export function handleGrantsDue(state: FleetState, { messages }: FleetEventOf<'grants-due'>): FleetState {
  const { grants } = state;
  if (grants.versions.length === 0 || !hasWorkspaces(grants)) return state;
  const versions = versionsInForce(grants.versions, state.now);
  const terms = termsInForce(versions);
  const cappedSince = trackCaps(grants, terms);
  const neededAt = trackNeeds(state);
  const begun = updateGrants(state, { versions, cappedSince, neededAt });
  const services = grantedServices(begun);
  const plan: Plan = new Map(services.map((service) => [service, new Map<string, WorkspaceGrant>()]));
  let next = planAllCapped(begun, services, terms, plan);
  for (const service of services) planUncapped(next, service, terms, plan);
  const cappedVersion = Math.max(0, ...cappedSince.values());
  for (const { service, sequence } of messages) {
    next = recordSent(next, service, sequence, plan.get(service) ?? new Map(), cappedVersion);
  }
  return next;
}

/** Returns the grants in the newest message to a service; null for none. */
export function selectServiceGrants(state: FleetState, service: string): ServiceGrants | null {
  return state.grants.services.get(service)?.sent ?? null;
}
