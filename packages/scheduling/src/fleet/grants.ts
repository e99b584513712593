/** Grants each service a part of the caps of the workspaces, and keeps which limits may be in force where. */
import { Map as PersistentMap } from 'immutable';
import { termsInForce, versionsInForce } from '../decide/shares/caps-in-force.js';
import { divideCap, type ServiceHolding } from '../decide/shares/workspace-grants.js';
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
import type { FleetGrants, ServiceGrantState } from './grant-state.js';
import type { FleetState } from './state.js';
import { updateFleet } from './update.js';

/** Time for which a workspace without runs and waiting tasks keeps its grants, so that its next job need not wait. */
const IDLE_GRANT_MILLISECONDS = 60_000;

/** Time after which another service comes first when a cap is divided in parts of whole tasks. */
const TURN_MILLISECONDS = 1_000;

/** Longest time that a message with grants is under way. */
const MESSAGE_MILLISECONDS = 1_000;

const UNKNOWN_SERVICE: ServiceGrantState = {
  ownerEpoch: 0,
  sentSequence: 0,
  sent: null,
  limits: new Map(),
  uses: new Map(),
  reportedAt: null,
  acknowledgedVersion: 0,
  confirmingSequence: null,
  isKnown: false,
};

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
    neededAt: new Map(),
  };
}

function updateGrants(state: FleetState, changes: Partial<FleetGrants>): FleetState {
  return updateFleet(state, { grants: { ...state.grants, ...changes } });
}

function serviceStateOf({ grants }: FleetState, service: string): ServiceGrantState {
  return grants.services.get(service) ?? UNKNOWN_SERVICE;
}

function setService(state: FleetState, service: string, known: ServiceGrantState): FleetState {
  return updateGrants(state, { services: state.grants.services.set(service, known) });
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

/** Returns which of the limits may be in force after a report. */
function limitsAfterReport(known: ServiceGrantState, report: ServiceReport): ReadonlyMap<string, Resources> {
  const reported = new Map(
    report.workspaces.map(({ workspace, granted }) => [workspace, capToResources(granted)]),
  );
  const isNewOwner = report.grants.ownerEpoch > known.ownerEpoch;
  // Messages that are under way can change nothing any more: they are older, or for an earlier owner of the service.
  if (isNewOwner || report.grants.sequence === known.sentSequence) return reported;
  const merged = new Map(known.limits);
  for (const [workspace, limit] of reported) {
    merged.set(workspace, maximumResources(limit, known.limits.get(workspace) ?? NO_RESOURCES));
  }
  return merged;
}

function isOwnerKnown({ grants }: FleetState, known: ServiceGrantState, report: ServiceReport): boolean {
  if (grants.aloneSince === -Infinity) return true;
  return known.confirmingSequence !== null && report.grants.provenSequence >= known.confirmingSequence;
}

function acknowledgedVersionOf(known: ServiceGrantState, report: ServiceReport): number {
  const isAcknowledged =
    known.sent !== null &&
    known.sent.ownerEpoch === report.grants.ownerEpoch &&
    report.grants.sequence === known.sentSequence;
  if (isAcknowledged) return Math.max(known.sent.cappedVersion, known.acknowledgedVersion);
  return report.grants.ownerEpoch > known.ownerEpoch ? 0 : known.acknowledgedVersion;
}

/** Applies the uses and acknowledged grants of a report. Reports of earlier owners of the service are ignored. */
export function recordGrantReport(state: FleetState, report: ServiceReport): FleetState {
  const known = serviceStateOf(state, report.service);
  const isOutdated =
    report.grants.epoch !== state.grants.epoch || report.grants.ownerEpoch < known.ownerEpoch;
  if (isOutdated) return state;
  return setService(state, report.service, {
    ...known,
    ownerEpoch: report.grants.ownerEpoch,
    limits: limitsAfterReport(known, report),
    uses: new Map(report.workspaces.map((use) => [use.workspace, use])),
    reportedAt: state.now,
    acknowledgedVersion: acknowledgedVersionOf(known, report),
    isKnown: known.isKnown || isOwnerKnown(state, known, report),
  });
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

function holdingOf(state: FleetState, service: string, workspace: string): ServiceHolding {
  const known = serviceStateOf(state, service);
  const use = known.uses.get(workspace);
  return {
    service,
    limit: limitInForce(state.grants, known, workspace),
    lowestLimit: known.limits.get(workspace) ?? NO_RESOURCES,
    running: use?.running ?? NO_RESOURCES,
    waiting: use?.waiting ?? NO_RESOURCES,
    largestStart: use?.largestStart ?? NO_RESOURCES,
  };
}

/** Next grants of all services, by service and workspace. */
type Plan = ReadonlyMap<string, Map<string, WorkspaceGrant>>;

function planCapped(state: FleetState, services: readonly string[], terms: WorkspaceTerms, plan: Plan): void {
  const { name, weight, cap } = terms;
  const mayRaise = services.every((service) => serviceStateOf(state, service).isKnown);
  const holdings = services.map((service) => holdingOf(state, service, name));
  const turn = Math.floor(state.now / TURN_MILLISECONDS);
  for (const [service, limit] of divideCap(capToResources(cap), holdings, mayRaise, turn)) {
    plan.get(service)?.set(name, { workspace: name, limit: resourcesToCap(limit), cap, weight });
  }
}

/** Lifts the limits of workspaces that are no longer capped, such as those that were removed. */
function planUncapped(
  state: FleetState,
  service: string,
  terms: ReadonlyMap<string, WorkspaceTerms>,
  plan: Plan,
): void {
  const { uses, sent } = serviceStateOf(state, service);
  const sentWorkspaces = new Set(sent?.workspaces.map(({ workspace }) => workspace));
  for (const { workspace, granted } of uses.values()) {
    const known = terms.get(workspace);
    const isLimited = known !== undefined && isCapped(known.cap);
    if (!isLimited && (isCapped(granted) || sentWorkspaces.has(workspace))) {
      const grant = { workspace, limit: NO_CAP, cap: NO_CAP, weight: known?.weight ?? 1 };
      plan.get(service)?.set(workspace, grant);
    }
  }
}

function hasNeed({ running, waiting }: WorkspaceUse): boolean {
  return !fits(maximumResources(running, waiting), NO_RESOURCES);
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

/** Records that a message is sent, with limits that may come into force as soon as it arrives. */
function recordSent(
  state: FleetState,
  service: string,
  sequence: number,
  grants: ReadonlyMap<string, WorkspaceGrant>,
  cappedVersion: number,
): FleetState {
  const known = serviceStateOf(state, service);
  const isAlone = state.now >= state.grants.aloneSince;
  const workspaces = [...grants.values()];
  const limits = new Map(known.limits);
  for (const { workspace, limit } of workspaces) {
    limits.set(workspace, maximumResources(capToResources(limit), limits.get(workspace) ?? NO_RESOURCES));
  }
  return setService(state, service, {
    ...known,
    sentSequence: sequence,
    sent: known.ownerEpoch === 0 ? null : { ownerEpoch: known.ownerEpoch, cappedVersion, workspaces },
    limits: known.ownerEpoch === 0 ? known.limits : limits,
    confirmingSequence: known.confirmingSequence ?? (isAlone ? sequence : null),
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
  let next = updateGrants(state, { versions, cappedSince, neededAt });
  const services = grantedServices(next);
  const plan: Plan = new Map(services.map((service) => [service, new Map<string, WorkspaceGrant>()]));
  for (const workspace of neededAt.keys()) {
    const known = terms.get(workspace);
    if (known !== undefined && isCapped(known.cap)) planCapped(next, services, known, plan);
  }
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
