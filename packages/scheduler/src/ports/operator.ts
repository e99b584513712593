/** What the operator publishes: the configuration of queues and services, and waves of maintenance. */
import type { AdviceTerms, WaveStatus } from '@baobabdeck/scheduling';

/** A queue that callers hand jobs in to. */
export interface Queue {
  readonly name: string;
  /** The host name that callers ask for. */
  readonly hostName: string;
  readonly pathPrefix: string;
  readonly service: string;
  /** How long a caller waits for an answer, all its tries together. */
  readonly timeoutMilliseconds: number;
  readonly targetMilliseconds: number;
  readonly stretch: number;
  readonly priority: number;
  readonly maximumFailedRuns: number;
  readonly advice: AdviceTerms | null;
}

/** A service: the pool of hosts that run its queues' tasks. */
export interface Service {
  readonly name: string;
  /** Its hosts are off and cost nothing. */
  readonly isStandby: boolean;
  /** Its workers refuse what does not fit. */
  readonly refusesOverload: boolean;
}

/** Limits on what callers send. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMilliseconds: number;
  readonly idleTimeoutMilliseconds: number;
}

/** A whole configuration. */
export interface QueueConfiguration {
  readonly version: number;
  readonly queues: readonly Queue[];
  readonly services: readonly Service[];
  readonly limits: CallerLimits;
}

/** A wave of maintenance that the operator asks for. */
export interface WaveRequest {
  readonly wave: number;
  readonly hostIds: readonly string[];
  readonly durationSeconds: number;
  /** The most hosts of the wave that may be down for it at once. */
  readonly maximumDown: number;
}

/** One thing that the operator published. */
export type OperatorEntry =
  | { readonly kind: 'configuration'; readonly configuration: QueueConfiguration }
  | { readonly kind: 'wave'; readonly wave: WaveRequest };

/** How a read of the operator's entries ended. */
export type OperatorReadOutcome =
  | { readonly kind: 'read'; readonly entries: readonly OperatorEntry[]; readonly nextOffset: number }
  | { readonly kind: 'expired' }
  | { readonly kind: 'failed'; readonly detail: string };

/** The operator's side of the store. No method throws. */
export interface OperatorFeed {
  readonly readNewest: () => Promise<OperatorReadOutcome>;
  readonly read: (fromOffset: number, waitMilliseconds: number) => Promise<OperatorReadOutcome>;
  /** Tells the operator where a wave stands; false where that is not known to be stored. */
  readonly writeWaveStatus: (wave: number, status: WaveStatus) => Promise<boolean>;
}
