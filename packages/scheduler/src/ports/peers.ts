/** How the scheduler's processes reach one another. */

/** Answers what another process asks. */
export type PeerRequestHandler = (content: unknown) => Promise<unknown>;

/** The network between the processes. */
export interface PeerNetwork {
  /** Begins to answer; resolves to the address under which others reach this process. */
  readonly listen: (answer: PeerRequestHandler) => Promise<string>;
  /** The answer of the process at an address, or null where none came in time. */
  readonly request: (address: string, content: unknown, timeoutMilliseconds: number) => Promise<unknown>;
  /** Closes the connections to all other addresses. */
  readonly keepOnly: (addresses: ReadonlySet<string>) => void;
  readonly close: () => void;
}
