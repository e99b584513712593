/** Sends calls to one peer. A connection on which a call times out is closed, since it may never respond again. */
import { connect, type Socket } from 'node:net';
import { readCallFrame } from './call-server.js';
import { createFrameReader, encodeFrame } from './codec.js';
import { splitAddress } from './link.js';

const CONNECT_TIMEOUT_MILLISECONDS = 500;

/** Client for calls to one peer. */
export interface CallClient {
  /** Resolves to the peer's answer, or to null if none arrived in time or the connection closed. */
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

/** Creates a client for calls to a peer; the first call opens the connection. */
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
