/** Implements the network between processes over TCP. */
import {
  createCallClient,
  listenForCalls,
  type CallClient,
  type SocketServer,
} from '@baobabdeck/peer-protocol';
import type { WriteEvent } from '@baobabdeck/observability';
import type { PeerNetwork } from '../ports/index.js';

/** Creates the network of one process, which listens at an IP address and port. */
export function createTcpNetwork(ip: string, port: number, writeEvent: WriteEvent): PeerNetwork {
  const clients = new Map<string, CallClient>();
  let server: SocketServer | null = null;

  const clientOf = (address: string): CallClient => {
    const known = clients.get(address);
    if (known !== undefined) return known;
    const client = createCallClient(address);
    clients.set(address, client);
    return client;
  };

  return {
    listen: async (answer) => {
      server = await listenForCalls(ip, port, answer, (reason) => writeEvent('peerFault', { reason }));
      return `${ip}:${server.port}`;
    },
    request: (address, content, timeoutMilliseconds) => clientOf(address).call(content, timeoutMilliseconds),
    keepOnly: (addresses) => {
      [...clients].forEach(([address, client]) => {
        if (addresses.has(address)) return;
        client.close();
        clients.delete(address);
      });
    },
    close: () => {
      clients.forEach((client) => client.close());
      server?.close();
    },
  };
}
