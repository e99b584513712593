/** Encodes the identity of a process as its member name in a group, so that others know its address and capacity. */

/** A process that is a member of a group. */
export interface GroupMember {
  readonly nodeName: string;
  /** IP address and port for peers. */
  readonly peerAddress: string;
  /** Differs for each run of the process. */
  readonly incarnation: string;
  /** Processor capacity that the process may use, in thousandths of a core; 0 if unknown. */
  readonly milliCores: number;
}

const SEPARATOR = '|';

/** Returns the member name of a process. */
export function formatMember({ nodeName, peerAddress, incarnation, milliCores }: GroupMember): string {
  return [nodeName, peerAddress, incarnation, milliCores].join(SEPARATOR);
}

/** Parses a member name; null if it is malformed. Names written by earlier versions have no processor capacity. */
export function parseMember(text: string): GroupMember | null {
  const [nodeName, peerAddress, incarnation, milliCoresText = '0', ...extraFields] = text.split(SEPARATOR);
  const milliCores = Number(milliCoresText);
  if (nodeName === undefined || peerAddress === undefined || incarnation === undefined) return null;
  if (extraFields.length > 0 || !Number.isFinite(milliCores)) return null;
  return { nodeName, peerAddress, incarnation, milliCores };
}
