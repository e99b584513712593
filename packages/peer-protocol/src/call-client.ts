/** Calls one peer. A connection on which an answer stays out is closed, since it may be silent for good. */
import { connect, type Socket } from 'node:net';
import { readCallFrame } from './call-server.js';
import { createFrameReader, encodeFrame } from './codec.js';
import { splitAddress } from './link.js';

const CONNECT_TIMEOUT_MILLISECONDS = 500;

/** Calls to one peer. */
export interface CallClient {
  /** The peer's answer, or null where none came in time. */
  readonly call: (content: unknown, timeoutMilliseconds: number) => Promise<unknown>;
  readonly close: () => void;
}

interface Connection {
  readonly socket: Socket;
  readonly waiting: Map<number, (answer: unknown) => void>;
}

function openConnection(address: string, onClosed: (connection: Connection) => void): Connection {
  const { host, port } = splitAddress(address);
  const socket = connect({ host, port, noDelay: true, timeout: CONNECT_TIMEOUT_MILLISECONDS });
  const connection: Connection = { socket, waiting: new Map() };
  const read = createFrameReader();
  socket.once('connect', () => socket.setTimeout(0));
  socket.on('timeout', () => socket.destroy());
  socket.on('error', () => socket.destroy());
  socket.on('data', (chunk: Buffer) => {
    const { contents, fault } = read(chunk);
    for (const content of contents) {
      const frame = readCallFrame(content);
      if (frame !== null) connection.waiting.get(frame.id)?.(frame.content);
    }
    if (fault !== null) socket.destroy();
  });
  socket.once('close', () => {
    onClosed(connection);
    [...connection.waiting.values()].forEach((settle) => settle(null));
  });
  return connection;
}

/** Creates the calls to a peer; the connection is opened with the first one. */
export function createCallClient(address: string): CallClient {
  let current: Connection | null = null;
  let nextId = 1;

  const connection = (): Connection => {
    current ??= openConnection(address, (closed) => {
      if (current === closed) current = null;
    });
    return current;
  };

  const call = (content: unknown, timeoutMilliseconds: number): Promise<unknown> =>
    new Promise((resolve) => {
      const { socket, waiting } = connection();
      const id = nextId;
      nextId += 1;
      const timer = setTimeout(() => socket.destroy(), timeoutMilliseconds);
      waiting.set(id, (answer) => {
        clearTimeout(timer);
        waiting.delete(id);
        resolve(answer);
      });
      socket.write(encodeFrame({ id, content }));
    });

  return { call, close: () => current?.socket.destroy() };
}
