/** The hello: first frame of a connection, which identifies the process that opened it. */
import { PROTOCOL_VERSION } from './codec.js';

/** Identity of the process that opened a connection, and its protocol version. */
export interface Hello {
  readonly version: number;
  readonly processId: string;
  readonly incarnation: string;
}

/** Creates the hello of a process. */
export function helloOf(processId: string, incarnation: string): Hello {
  return { version: PROTOCOL_VERSION, processId, incarnation };
}

/** Decodes a hello; returns the reason as text if the content is not a valid one. */
export function readHello(content: unknown): Hello | string {
  if (typeof content !== 'object' || content === null) return 'the first frame is no hello';
  const { version, processId, incarnation } = content as Partial<Hello>;
  if (typeof processId !== 'string' || typeof incarnation !== 'string') return 'the first frame is no hello';
  if (version !== PROTOCOL_VERSION) {
    return `expected protocol version ${PROTOCOL_VERSION}, found ${String(version)}`;
  }
  return { version, processId, incarnation };
}
