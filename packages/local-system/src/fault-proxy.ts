/** A small TCP proxy that injects faults between two ends. */
import { connect, createServer, type Socket } from 'node:net';

/** What the proxy does to connections. */
export type ProxyMode =
  | 'pass'
  /** Takes connections and bytes, and passes nothing on. */
  | 'silent'
  /** Passes requests on and closes in the middle of the answer. */
  | 'cut-answers'
  /** Answers with bytes that mean nothing. */
  | 'garbage'
  /** Resets each new connection. */
  | 'reset';

/** A running proxy. */
export interface FaultProxy {
  readonly address: string;
  /** Applies to new connections, and with `silent` to bytes of old ones too. */
  readonly setMode: (mode: ProxyMode) => void;
  /** Sets the time that each chunk is held back. */
  readonly setDelay: (milliseconds: number) => void;
  readonly connections: () => number;
  readonly close: () => void;
}

const CUT_AFTER_BYTES = 60;
const GARBAGE = '\u0000\u0001 this is no answer \r\n\r\n';

interface ProxyState {
  mode: ProxyMode;
  delayMilliseconds: number;
}

function forward(from: Socket, to: Socket, state: ProxyState, isAnswer: boolean): void {
  let passed = 0;
  from.on('data', (chunk: Buffer) => {
    if (state.mode === 'silent') return;
    setTimeout(() => {
      if (to.destroyed) return;
      if (isAnswer && state.mode === 'cut-answers') {
        to.write(chunk.subarray(0, Math.max(0, CUT_AFTER_BYTES - passed)), () => to.destroy());
        passed += chunk.length;
        return;
      }
      to.write(chunk);
    }, state.delayMilliseconds);
  });
  from.on('error', () => to.destroy());
  from.on('close', () => {
    if (state.mode !== 'silent') setTimeout(() => to.end(), state.delayMilliseconds);
  });
}

function serve(socket: Socket, targetPort: number, state: ProxyState, sockets: Set<Socket>): void {
  socket.on('error', () => socket.destroy());
  if (state.mode === 'reset') {
    socket.resetAndDestroy();
    return;
  }
  if (state.mode === 'garbage') {
    socket.once('data', () => socket.end(GARBAGE));
    return;
  }
  const upstream = connect({ host: '127.0.0.1', port: targetPort });
  sockets.add(upstream);
  upstream.on('close', () => sockets.delete(upstream));
  forward(socket, upstream, state, false);
  forward(upstream, socket, state, true);
}

/** Starts a proxy before a port of this machine. */
export async function startFaultProxy(targetPort: number): Promise<FaultProxy> {
  const state: ProxyState = { mode: 'pass', delayMilliseconds: 0 };
  const sockets = new Set<Socket>();
  let connections = 0;
  const server = createServer((socket) => {
    connections += 1;
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    serve(socket, targetPort, state, sockets);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const address = server.address();
  const port = typeof address === 'object' && address !== null ? address.port : 0;
  return {
    address: `127.0.0.1:${port}`,
    setMode: (mode) => {
      state.mode = mode;
    },
    setDelay: (milliseconds) => {
      state.delayMilliseconds = milliseconds;
    },
    connections: () => connections,
    close: () => {
      server.close();
      sockets.forEach((socket) => socket.destroy());
    },
  };
}
