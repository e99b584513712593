/** The first frame of a connection tells who speaks. */
import { PROTOCOL_VERSION } from './codec.js';

/** Who opened a connection, and in which version of the protocol. */
export interface Hello {
  readonly version: number;
  readonly processId: string;
  readonly incarnation: string;
}

/** The hello of a process. */
export function helloOf(processId: string, incarnation: string): Hello {
  return { version: PROTOCOL_VERSION, processId, incarnation };
}

/** The hello in a frame, or why it is none. */
export function readHello(content: unknown): Hello | string {
  if (typeof content !== 'object' || content === null) return 'the first frame is no hello';
  const { version, processId, incarnation } = content as Partial<Hello>;
  if (typeof processId !== 'string' || typeof incarnation !== 'string') return 'the first frame is no hello';
  if (version !== PROTOCOL_VERSION) {
    return `expected protocol version ${PROTOCOL_VERSION}, found ${String(version)}`;
  }
  return { version, processId, incarnation };
}
