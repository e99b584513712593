/** Accepts connections of peers and receives their messages. */
import type { Socket } from 'node:net';
import type { PeerMessage } from '@baobabdeck/types';
import { createFrameReader } from './codec.js';
import { readHello, type Hello } from './hello.js';
import { listenForSockets, type SocketServer } from './listen-sockets.js';
import { isPeerMessage } from './message-shape.js';

/** Callbacks for the connections and messages of peers. */
export interface PeerServerHandlers {
  readonly onLinked: (from: Hello) => void;
  /** Returns false if the message cannot be processed; the connection is closed then. */
  readonly onMessage: (from: Hello, message: PeerMessage) => boolean;
  readonly onFault: (remote: string, reason: string) => void;
}

/** Time without received data after which a connection is considered dead. */
const SILENCE_MILLISECONDS = 10_000;

function serveConnection(socket: Socket, current: Map<string, Socket>, handlers: PeerServerHandlers): void {
  const read = createFrameReader();
  const remote = `${socket.remoteAddress ?? 'unknown'}:${socket.remotePort ?? 0}`;
  let from: Hello | null = null;
  const reject = (reason: string): void => {
    handlers.onFault(remote, reason);
    socket.destroy();
  };
  const acceptHello = (content: unknown): void => {
    const hello = readHello(content);
    if (typeof hello === 'string') {
      reject(hello);
      return;
    }
    from = hello;
    // Messages on an older connection of the same process are out of date.
    current.get(hello.processId)?.destroy();
    current.set(hello.processId, socket);
    handlers.onLinked(hello);
  };
  const handleContent = (content: unknown): void => {
    if (socket.destroyed) return;
    if (from === null) acceptHello(content);
    else if (!isPeerMessage(content)) reject('a frame holds no known message');
    else if (!handlers.onMessage(from, content)) reject('a message could not be worked with');
  };
  socket.setNoDelay(true);
  socket.setTimeout(SILENCE_MILLISECONDS, () => socket.destroy());
  socket.on('error', () => socket.destroy());
  socket.on('data', (chunk: Buffer) => {
    const { contents, fault } = read(chunk);
    contents.forEach(handleContent);
    if (fault !== null && !socket.destroyed) reject(`frame ${fault}`);
  });
  socket.on('close', () => {
    if (from !== null && current.get(from.processId) === socket) current.delete(from.processId);
  });
}

/** Listens for peers. Rejects if the port is in use. */
export function listenForPeers(
  ip: string,
  port: number,
  handlers: PeerServerHandlers,
): Promise<SocketServer> {
  const current = new Map<string, Socket>();
  return listenForSockets(ip, port, (socket) => serveConnection(socket, current, handlers));
}
