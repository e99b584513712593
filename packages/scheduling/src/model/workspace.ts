/** Workspaces: groups of callers with a common share of the capacity and a common limit on what they run. */
import { multiplyResources, type Resources } from './resources.js';

/** The most that a workspace may have running, by resource; null for no limit. */
export interface ResourceCap {
  /** Thousandths of a core. */
  readonly milliCores: number | null;
  readonly memoryMegabytes: number | null;
  readonly accelerators: number | null;
}

/** No limit on any resource. */
export const NO_CAP: ResourceCap = { milliCores: null, memoryMegabytes: null, accelerators: null };

/** A limit of zero on each resource. */
export const ZERO_CAP: ResourceCap = { milliCores: 0, memoryMegabytes: 0, accelerators: 0 };

/** What the configuration says about a workspace. */
export interface WorkspaceTerms {
  readonly name: string;
  /** Share of the capacity while all is in use, and number of jobs a second that the workspace is entitled to submit. */
  readonly weight: number;
  /** The most that it may have running on all workers of all services. */
  readonly cap: ResourceCap;
}

/** The part of a workspace's cap that one service may use. */
export interface WorkspaceGrant {
  readonly workspace: string;
  /** The most that the service may have running of the workspace. */
  readonly limit: ResourceCap;
  /** The cap of the workspace over all services. */
  readonly cap: ResourceCap;
  /**
   * The most that the service may have running of the workspace before the last run of a start that exceeds half of the
   * cap and does not fit into the limit; null if no such start is allowed.
   */
  readonly oversizedLimit: ResourceCap | null;
  readonly weight: number;
}

/** All grants of one service. They replace its earlier ones; a capped workspace that is left out gets nothing. */
export interface ServiceGrants {
  /** Fencing epoch of the service owner that the grants are for; any other owner ignores them. */
  readonly ownerEpoch: number;
  /**
   * Newest version of the configuration that has capped a workspace. The service owner must not take a workspace for
   * uncapped on the word of an older version.
   */
  readonly cappedVersion: number;
  readonly workspaces: readonly WorkspaceGrant[];
}

/** What a workspace has running and waiting in one service. */
export interface WorkspaceUse {
  readonly workspace: string;
  /** Needs of the runs that may be at work, from their placement to their removal. */
  readonly running: Resources;
  /** Needs of the waiting tasks whose starts fit into the cap. */
  readonly waiting: Resources;
  /** The most of them that has to start at once: one task, or all tasks of a gang. */
  readonly largestStart: Resources;
  /** Whether a start waits that exceeds the cap and may run once the workspace has little else running. */
  readonly hasOversizedStart: boolean;
  /** Whether a start waits that exceeds half of the cap, but not the cap, and for which the limit has too little left. */
  readonly hasLargeStart: boolean;
  /** The limit that the service owner applies. */
  readonly granted: ResourceCap;
  /** Whether the service owner may make a start beyond its limit. */
  readonly mayStartOversized: boolean;
}

/** The message of the fleet owner whose grants a service owner applies. */
export interface GrantAcknowledgement {
  /** Fencing epoch of the reporting service owner. */
  readonly ownerEpoch: number;
  /** Epoch and number of the newest message of a fleet owner. */
  readonly epoch: number;
  readonly sequence: number;
  /** Number of a message of this fleet owner after whose receipt the service owner has proven its ownership; 0 for none. */
  readonly provenSequence: number;
}

/** Share of its cap that a workspace may use when a start beyond its limits is made. */
const SHARE_BESIDE_OVERSIZED = 0.5;

/** Returns what a workspace may have running when a start beyond its limits is made. */
export function capBesideOversized(cap: Resources): Resources {
  return multiplyResources(cap, SHARE_BESIDE_OVERSIZED);
}

/** Returns whether a cap limits any resource. */
export function isCapped({ milliCores, memoryMegabytes, accelerators }: ResourceCap): boolean {
  return milliCores !== null || memoryMegabytes !== null || accelerators !== null;
}

/** Returns a cap as resources; Infinity for no limit. */
export function capToResources({ milliCores, memoryMegabytes, accelerators }: ResourceCap): Resources {
  return {
    milliCores: milliCores ?? Infinity,
    memoryMegabytes: memoryMegabytes ?? Infinity,
    accelerators: accelerators ?? Infinity,
  };
}

function finiteOrNull(amount: number): number | null {
  return amount === Infinity ? null : amount;
}

/** Returns resources as a cap; Infinity becomes no limit. */
export function resourcesToCap({ milliCores, memoryMegabytes, accelerators }: Resources): ResourceCap {
  return {
    milliCores: finiteOrNull(milliCores),
    memoryMegabytes: finiteOrNull(memoryMegabytes),
    accelerators: finiteOrNull(accelerators),
  };
}
