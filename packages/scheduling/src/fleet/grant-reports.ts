/** Applies the reports of the services: which grants of a workspace are in force, and what runs and waits. */
import type { Instant } from '../model/instant.js';
import { maximumResources, NO_RESOURCES, type Resources } from '../model/resources.js';
import type { ServiceReport } from '../model/service-report.js';
import { capToResources } from '../model/workspace.js';
import { grantStateOf, withGrantState, type FleetGrants, type ServiceGrantState } from './grant-state.js';

/**
 * Returns whether a report shows the grants in force: no message that is under way can change them any more, since it is
 * older or for an earlier owner of the service.
 */
function showsGrantsInForce(known: ServiceGrantState, report: ServiceReport): boolean {
  const isNewOwner = report.grants.ownerEpoch > known.ownerEpoch;
  return isNewOwner || report.grants.sequence === known.sentSequence;
}

/** Returns which of the limits may be in force after a report. */
function limitsAfterReport(known: ServiceGrantState, report: ServiceReport): ReadonlyMap<string, Resources> {
  const reported = new Map(
    report.workspaces.map(({ workspace, granted }) => [workspace, capToResources(granted)]),
  );
  if (showsGrantsInForce(known, report)) return reported;
  const merged = new Map(known.limits);
  for (const [workspace, limit] of reported) {
    merged.set(workspace, maximumResources(limit, known.limits.get(workspace) ?? NO_RESOURCES));
  }
  return merged;
}

/** Returns the workspaces of which a start that exceeds the cap may be allowed after a report. */
function allowedAfterReport(known: ServiceGrantState, report: ServiceReport): ReadonlySet<string> {
  const allowed = report.workspaces.filter(({ mayStartOversized }) => mayStartOversized);
  const reported = allowed.map(({ workspace }) => workspace);
  return new Set(showsGrantsInForce(known, report) ? reported : [...known.oversizedAllowed, ...reported]);
}

function isOwnerKnown(grants: FleetGrants, known: ServiceGrantState, report: ServiceReport): boolean {
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
export function applyGrantReport(grants: FleetGrants, report: ServiceReport, now: Instant): FleetGrants {
  const known = grantStateOf(grants, report.service);
  const isOutdated = report.grants.epoch !== grants.epoch || report.grants.ownerEpoch < known.ownerEpoch;
  if (isOutdated) return grants;
  return withGrantState(grants, report.service, {
    ...known,
    ownerEpoch: report.grants.ownerEpoch,
    limits: limitsAfterReport(known, report),
    oversizedAllowed: allowedAfterReport(known, report),
    uses: new Map(report.workspaces.map((use) => [use.workspace, use])),
    reportedAt: now,
    acknowledgedVersion: acknowledgedVersionOf(known, report),
    isKnown: known.isKnown || isOwnerKnown(grants, known, report),
  });
}
