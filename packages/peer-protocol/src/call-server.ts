/** Answers calls of peers; an answer frame carries the id of its call frame. */
import type { Socket } from 'node:net';
import { createFrameReader, encodeFrame } from './codec.js';
import { listenForSockets, type SocketServer } from './listen-sockets.js';

/** Answers one call; the resolved value is sent back to the caller. */
export type AnswerCall = (content: unknown) => Promise<unknown>;

/** Time without received data after which a connection is considered dead. */
const SILENCE_MILLISECONDS = 30_000;

interface CallFrame {
  readonly id: number;
  readonly content: unknown;
}

/** Decodes a call frame; returns null if the content is not one. */
export function readCallFrame(content: unknown): CallFrame | null {
  if (typeof content !== 'object' || content === null) return null;
  const { id, content: inner } = content as Partial<CallFrame>;
  return typeof id === 'number' && Number.isInteger(id) ? { id, content: inner } : null;
}

async function answerOne(socket: Socket, frame: CallFrame, answer: AnswerCall): Promise<void> {
  const content = await answer(frame.content);
  if (!socket.destroyed) socket.write(encodeFrame({ id: frame.id, content }));
}

function serveCalls(socket: Socket, answer: AnswerCall, onFault: (reason: string) => void): void {
  const read = createFrameReader();
  const reject = (reason: string): void => {
    onFault(`${socket.remoteAddress ?? 'unknown'}: ${reason}`);
    socket.destroy();
  };
  socket.setNoDelay(true);
  socket.setTimeout(SILENCE_MILLISECONDS, () => socket.destroy());
  socket.on('error', () => socket.destroy());
  socket.on('data', (chunk: Buffer) => {
    const { contents, fault } = read(chunk);
    for (const content of contents) {
      const frame = readCallFrame(content);
      if (frame === null) reject('a frame holds no call');
      else {
        answerOne(socket, frame, answer).catch((error: unknown) => reject(`no answer: ${String(error)}`));
      }
    }
    if (fault !== null) reject(`frame ${fault}`);
  });
}

/** Listens for calls of peers. Rejects if the port is in use. */
export function listenForCalls(
  ip: string,
  port: number,
  answer: AnswerCall,
  onFault: (reason: string) => void,
): Promise<SocketServer> {
  return listenForSockets(ip, port, (socket) => serveCalls(socket, answer, onFault));
}
