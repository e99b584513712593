/** Who a process of the system is. */

/** What a process does. */
export type ProcessRole = 'gateway' | 'controller';

/** One run of one process. A restarted process has the same id and a higher incarnation. */
export interface ProcessIdentity {
  readonly processId: string;
  readonly incarnation: string;
  readonly role: ProcessRole;
  /** IP number and port of the admin server. */
  readonly adminAddress: string;
  /** IP number and port for peers, as `127.0.0.1:7000`. */
  readonly peerAddress: string;
  readonly dataCentre: string;
}
