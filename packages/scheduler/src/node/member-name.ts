/** The name of a process in its group: it tells others how to reach it. */

/** A process that others can reach. */
export interface MemberName {
  readonly nodeName: string;
  /** IP number and port for peers. */
  readonly peerAddress: string;
  /** Differs for each run of the process. */
  readonly incarnation: string;
}

const SEPARATOR = '|';

/** The name as text. */
export function formatMember({ nodeName, peerAddress, incarnation }: MemberName): string {
  return [nodeName, peerAddress, incarnation].join(SEPARATOR);
}

/** The name behind a text, or null where it is none of ours. */
export function parseMember(text: string): MemberName | null {
  const [nodeName, peerAddress, incarnation, ...rest] = text.split(SEPARATOR);
  if (nodeName === undefined || peerAddress === undefined || incarnation === undefined || rest.length > 0) {
    return null;
  }
  return { nodeName, peerAddress, incarnation };
}
