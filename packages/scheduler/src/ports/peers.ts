/** The network between the processes of the scheduler. */

/** Answers a request from another process. */
export type PeerRequestHandler = (content: unknown) => Promise<unknown>;

/** Sends requests to other processes, and receives theirs. */
export interface PeerNetwork {
  /** Starts to answer requests; resolves to the address at which other processes reach this one. */
  readonly listen: (handler: PeerRequestHandler) => Promise<string>;
  /** The response of the process at an address; null if none arrives in time. */
  readonly request: (address: string, content: unknown, timeoutMilliseconds: number) => Promise<unknown>;
  /** Closes the connections to all other addresses. */
  readonly keepOnly: (addresses: ReadonlySet<string>) => void;
  readonly close: () => void;
}
