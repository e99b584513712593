/** Timing and limits of a process, from its settings. */

/** Parameters of the reducer. */
export interface Parameters {
  /** Time without proof of being up to date after which a process starts no work. */
  readonly lapseTimeoutMilliseconds: number;
  /** Time without heartbeats after which a process is removed. Longer than the lapse timeout, so that it has stopped starting work by then. */
  readonly removalTimeoutMilliseconds: number;
  readonly heartbeatIntervalMilliseconds: number;
  readonly keyMemoryMilliseconds: number;
  readonly untimedKeyLimit: number;
  /** Retries that each request adds to the retry budget. */
  readonly retryTokensPerRequest: number;
  /** Maximum number of retries that a gateway accumulates in its retry budget. */
  readonly maximumRetryTokens: number;
}

/** Default parameters. */
export const DEFAULT_PARAMETERS: Parameters = {
  lapseTimeoutMilliseconds: 2_500,
  removalTimeoutMilliseconds: 5_000,
  heartbeatIntervalMilliseconds: 500,
  keyMemoryMilliseconds: 86_400_000,
  untimedKeyLimit: 1_000_000,
  retryTokensPerRequest: 0.1,
  maximumRetryTokens: 10,
};
