/** Entries published by the operator: the configuration of queues and services, and maintenance waves. */
import type { AdviceTerms, ResourceCap, WaveStatus } from '@baobabdeck/scheduling';

/** A queue to which callers submit jobs. */
export interface Queue {
  readonly name: string;
  /** The host name in the requests of callers. */
  readonly hostName: string;
  readonly pathPrefix: string;
  readonly service: string;
  /** Time that a caller waits for an answer over all its attempts. */
  readonly timeoutMilliseconds: number;
  readonly targetMilliseconds: number;
  readonly stretch: number;
  readonly priority: number;
  readonly maximumFailedRuns: number;
  readonly advice: AdviceTerms | null;
  /** Whether callers need no key. */
  readonly isPublic: boolean;
}

/** A service: the pool of hosts that runs the tasks of its queues. */
export interface Service {
  readonly name: string;
  /** Whether the hosts of the service are switched off and cost nothing. */
  readonly isStandby: boolean;
  /** Whether the workers of the service refuse runs that exceed their capacity. */
  readonly refusesOverload: boolean;
}

/** A workspace: callers that share keys, a share of the capacity and a limit on what they run. */
export interface Workspace {
  readonly name: string;
  /** Digests of the keys of its callers. */
  readonly keyDigests: readonly string[];
  /** Share of the capacity while all is in use, and number of jobs a second that the workspace is entitled to submit. */
  readonly weight: number;
  /** The most that it may have running on all workers of all services. */
  readonly cap: ResourceCap;
}

/** Limits on the requests of callers. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMilliseconds: number;
  readonly idleTimeoutMilliseconds: number;
}

/** A complete configuration. */
export interface QueueConfiguration {
  readonly version: number;
  readonly queues: readonly Queue[];
  readonly services: readonly Service[];
  /** Empty if callers need no keys. */
  readonly workspaces: readonly Workspace[];
  readonly limits: CallerLimits;
}

/** A maintenance wave requested by the operator. */
export interface WaveRequest {
  readonly wave: number;
  readonly hostIds: readonly string[];
  readonly durationSeconds: number;
  /** The number of hosts of the wave that may be in maintenance at once. */
  readonly maximumDown: number;
}

/** One entry published by the operator. */
export type OperatorEntry =
  | { readonly kind: 'configuration'; readonly configuration: QueueConfiguration }
  | { readonly kind: 'wave'; readonly wave: WaveRequest };

/** The result of reading the operator's entries. */
export type OperatorReadOutcome =
  | { readonly kind: 'read'; readonly entries: readonly OperatorEntry[]; readonly nextOffset: number }
  | { readonly kind: 'expired' }
  | { readonly kind: 'failed'; readonly detail: string };

/** The store topics that are shared with the operator. No method throws. */
export interface OperatorFeed {
  readonly readNewest: () => Promise<OperatorReadOutcome>;
  readonly read: (fromOffset: number, waitMilliseconds: number) => Promise<OperatorReadOutcome>;
  /** Publishes the status of a wave to the operator; false if it is not known to be stored. */
  readonly writeWaveStatus: (wave: number, status: WaveStatus) => Promise<boolean>;
}
