/** Determines the cap of each workspace while several versions of the configuration may be in force. */
import type { Instant } from '../../model/instant.js';
import { maximumResources } from '../../model/resources.js';
import { capToResources, resourcesToCap, type WorkspaceTerms } from '../../model/workspace.js';

/** The workspaces of one version of the configuration. */
export interface WorkspaceConfiguration {
  readonly version: number;
  readonly workspaces: readonly WorkspaceTerms[];
  /** When this process first saw the version. */
  readonly seenAt: Instant;
}

/** Time within which every process that can read the store has a new version in force, with a margin of a second. */
const CONFIGURATION_APPLIED_MILLISECONDS = 4_000;

/** Returns the versions of which one may still be in force in some process, newest first. */
export function versionsInForce(
  versions: readonly WorkspaceConfiguration[],
  now: Instant,
): readonly WorkspaceConfiguration[] {
  const settled = versions.findIndex(({ seenAt }) => now - seenAt > CONFIGURATION_APPLIED_MILLISECONDS);
  return settled < 0 ? versions : versions.slice(0, settled + 1);
}

/** Returns the terms of each workspace of the newest version, with its highest cap in the given versions. */
export function termsInForce(
  versions: readonly WorkspaceConfiguration[],
): ReadonlyMap<string, WorkspaceTerms> {
  const [newest, ...earlier] = versions;
  const terms = new Map((newest?.workspaces ?? []).map((known) => [known.name, known]));
  for (const { workspaces } of earlier) {
    for (const { name, cap } of workspaces) {
      const known = terms.get(name);
      if (known !== undefined) {
        const highest = maximumResources(capToResources(known.cap), capToResources(cap));
        terms.set(name, { ...known, cap: resourcesToCap(highest) });
      }
    }
  }
  return terms;
}
