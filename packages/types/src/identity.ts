/** Identity of a process of the system. */

/** Role of a process. */
export type ProcessRole = 'gateway' | 'controller';

/** Identity of one incarnation of a process. A restarted process has the same id and a higher incarnation. */
export interface ProcessIdentity {
  readonly processId: string;
  readonly incarnation: string;
  readonly role: ProcessRole;
  /** IP address and port of the admin server. */
  readonly adminAddress: string;
  /** IP address and port for connections of peers, such as `127.0.0.1:7000`. */
  readonly peerAddress: string;
  readonly dataCentre: string;
}
