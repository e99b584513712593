/** The name of a process in its group: it tells others how to reach it, and how strong it is. */

/** A process that others can reach. */
export interface GroupMember {
  readonly nodeName: string;
  /** IP number and port for peers. */
  readonly peerAddress: string;
  /** Differs for each run of the process. */
  readonly incarnation: string;
  /** Processor that the process may use, in thousandths of a core; 0 where that is not known. */
  readonly milliCores: number;
}

const SEPARATOR = '|';

/** The name as text. */
export function formatMember({ nodeName, peerAddress, incarnation, milliCores }: GroupMember): string {
  return [nodeName, peerAddress, incarnation, milliCores].join(SEPARATOR);
}

/** The name behind a text, or null where it is none of ours. Names of former versions tell no processor. */
export function parseMember(text: string): GroupMember | null {
  const [nodeName, peerAddress, incarnation, processor = '0', ...rest] = text.split(SEPARATOR);
  const milliCores = Number(processor);
  if (nodeName === undefined || peerAddress === undefined || incarnation === undefined) return null;
  if (rest.length > 0 || !Number.isFinite(milliCores)) return null;
  return { nodeName, peerAddress, incarnation, milliCores };
}
