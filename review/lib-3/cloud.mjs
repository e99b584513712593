/** Stand-in for the platform's machines: lists them, moves them and takes them to their upkeep. */
import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

const MS_PER_S = 1_000;

async function readBody(request) {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  return Buffer.concat(chunks).toString();
}

/**
 * Starts the machines' API. A machine has `machine`, `pool`, `state`, `zone`, `labels`, `capacity` and `worker`, which is
 * null while it is not up. `begin(machine)` starts a new worker on a machine and returns it, `retire(worker)` ends one. No
 * wave of upkeep is known.
 */
export async function startCloud({ machines, begin, retire, moveS, note }) {
  const highest = new Map();

  const move = async (machine, pool) => {
    machine.state = 'moving';
    machine.pool = pool;
    const { worker } = machine;
    machine.worker = null;
    if (worker !== null) await retire(worker);
    await sleep(moveS * MS_PER_S);
    machine.state = 'up';
    machine.worker = await begin(machine);
  };

  const refuse = (reason) => ({ status: 409, body: { reason } });

  const order = (path, headers, { machine: name, pool }) => {
    const machine = machines.find((one) => one.machine === name);
    if (machine === undefined) return { status: 400, body: {} };
    const token = Number(headers['fencing-token'] ?? 0);
    const holder = headers['duty-holder'];
    if (token < (highest.get(name)?.token ?? 0)) return refuse('fence');
    highest.set(name, { token, holder });
    if (path !== '/machine-move') return refuse('wave');
    if (machine.pool === pool) return { status: 200, body: {} };
    if (machine.state !== 'up') return refuse('busy');
    note('move', { machine: name, pool, token, holder });
    move(machine, pool).catch((error) => note('fault', { error: String(error) }));
    return { status: 200, body: {} };
  };

  const list = () => ({
    status: 200,
    body: {
      machines: machines.map(({ machine, pool, state, zone, labels, capacity, worker }) => ({
        machine,
        pool,
        state,
        zone,
        labels,
        capacity,
        id: worker?.id ?? '',
      })),
      nextPageToken: null,
    },
  });

  const handle = async (request, response) => {
    const body = await readBody(request);
    const { status, body: answer } =
      request.method === 'GET' ? list() : order(request.url, request.headers, JSON.parse(body));
    await sleep(2);
    response.writeHead(status, { 'content-type': 'application/json' });
    response.end(JSON.stringify(answer));
  };

  const server = createServer((request, response) => {
    handle(request, response).catch(() => request.socket.destroy());
  });
  server.keepAliveTimeout = 0;
  await new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    address: `127.0.0.1:${server.address().port}`,
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}
