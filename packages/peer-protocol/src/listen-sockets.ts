/** Listens for connections and closes all of them when the server closes. */
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';

/** Listens at an address and returns the port. Rejects if the port is in use. */
export async function listenOn(server: Server, ip: string, port: number): Promise<number> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, ip, resolve);
  });
  return (server.address() as AddressInfo).port;
}

/** A listening server. */
export interface SocketServer {
  readonly port: number;
  readonly close: () => void;
}

/** Listens at an address and calls `serve` for each connection. Rejects if the port is in use. */
export async function listenForSockets(
  ip: string,
  port: number,
  serve: (socket: Socket) => void,
): Promise<SocketServer> {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    serve(socket);
  });
  return {
    port: await listenOn(server, ip, port),
    close: () => {
      server.close();
      sockets.forEach((socket) => socket.destroy());
    },
  };
}
