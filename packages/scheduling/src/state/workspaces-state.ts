/** State of the workspaces in a service. */
import { Map as PersistentMap } from 'immutable';
import type { Instant } from '../model/instant.js';
import type { Resources } from '../model/resources.js';
import type { WorkspaceGrant, WorkspaceTerms } from '../model/workspace.js';

/** What one workspace has running and waiting in the service. */
export interface WorkspaceLoad {
  readonly running: Resources;
  readonly runCount: number;
  readonly waiting: Resources;
  readonly waitingTasks: number;
  /** The largest start that has waited since the workspace last had nothing waiting. */
  readonly largestStart: Resources;
}

/** Loads and limits of the workspaces in a service. */
export interface WorkspacesState {
  /** Loads by workspace; only of workspaces that have runs or waiting tasks. */
  readonly loads: PersistentMap<string, WorkspaceLoad>;
  /** Grants in force, by workspace. */
  readonly grants: PersistentMap<string, WorkspaceGrant>;
  /** Workspaces of the configuration of this process. */
  readonly terms: ReadonlyMap<string, WorkspaceTerms>;
  readonly termsVersion: number;
  /** Version that `terms` must have for a workspace without a grant to count as uncapped. */
  readonly cappedVersion: number;
  /** A message of the fleet owner after which the ownership is not yet proven. */
  readonly unprovenMessage: { readonly sequence: number; readonly at: Instant } | null;
  readonly provenSequence: number;
}

/** State of a service without workspaces. */
export const NO_WORKSPACES: WorkspacesState = {
  loads: PersistentMap(),
  grants: PersistentMap(),
  terms: new Map(),
  termsVersion: -1,
  cappedVersion: 0,
  unprovenMessage: null,
  provenSequence: 0,
};
