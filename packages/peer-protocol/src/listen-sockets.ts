/** Listens for connections and closes them all with the server. */
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';

/** Listens at an address, and tells the port. Rejects when it is taken. */
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

/** Listens at an address. Rejects when the port is taken. */
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
