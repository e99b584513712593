/** Report of one service to the fleet owner: its load, its demand and the progress of requested hosts. */

import type { GrantAcknowledgement, WorkspaceUse } from './workspace.js';

/** Progress of the release of a host. */
export type ReleaseProgress = 'released' | 'draining';

/** Load of one host of a service. */
export interface HostLoad {
  readonly hostId: string;
  /** Worker that the other fields describe. The host may run another one by now. */
  readonly workerId: string;
  readonly committedMilliCores: number;
  readonly taskCount: number;
  readonly lastingCount: number;
  /** Whether the worker may get tasks, regardless of requests for its host. */
  readonly isSound: boolean;
  readonly release: ReleaseProgress | null;
}

/** Report of one service to the fleet owner. */
export interface ServiceReport {
  readonly service: string;
  readonly hosts: readonly HostLoad[];
  /** Need of the waiting tasks, in thousandths of a core. */
  readonly waitingMilliCores: number;
  /** Need of the lasting tasks, in thousandths of a core. */
  readonly lastingMilliCores: number;
  /** Average need of recently arrived work, in thousandths of a core. */
  readonly offeredMilliCores: number;
  /** Minimum number of hosts on which the lasting tasks and gangs keep within `maximumPerWorker`. */
  readonly leastHosts: number;
  /** Number of additional hosts that waiting gangs or lasting tasks need. */
  readonly missingHosts: number;
  /** What each workspace has running and waiting, with the limit that the service owner applies. */
  readonly workspaces: readonly WorkspaceUse[];
  /** The grants in force at the service owner. */
  readonly grants: GrantAcknowledgement;
}
