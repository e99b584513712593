/** Timing and limits of one process, from its settings. */

/** Parameters that the reducer works with. */
export interface Parameters {
  /** Silence after which a process no longer starts work on its own word. */
  readonly lapseTimeoutMilliseconds: number;
  /** Silence after which the others remove a process. Longer than the lapse, so that it stopped before. */
  readonly removalTimeoutMilliseconds: number;
  readonly heartbeatIntervalMilliseconds: number;
  readonly keyMemoryMilliseconds: number;
  readonly untimedKeyLimit: number;
  /** Second attempts that each request pays for. */
  readonly retryTokensPerRequest: number;
  /** Second attempts that a quiet gateway saves up. */
  readonly maximumRetryTokens: number;
}

/** The parameters of a process that sets none. */
export const DEFAULT_PARAMETERS: Parameters = {
  lapseTimeoutMilliseconds: 2_500,
  removalTimeoutMilliseconds: 5_000,
  heartbeatIntervalMilliseconds: 500,
  keyMemoryMilliseconds: 86_400_000,
  untimedKeyLimit: 1_000_000,
  retryTokensPerRequest: 0.1,
  maximumRetryTokens: 10,
};
