/** Child processes of the experiment owner-burst: stand-ins for workers, and relays. */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import {
  createBackgroundWork,
  createTcpNetwork,
  formatMember,
  machineClock,
  NO_MEASURES,
  parseMember,
  startRelays,
  type GroupMember,
} from '@baobabdeck/scheduler';
import { createWorkerOrders } from '@baobabdeck/users-platform';

const IP = '127.0.0.1';

const RUN_MILLISECONDS = 1_000;

/** Processor of a relay in thousandths of a core. */
const RELAY_MILLI_CORES = 1_000;

const ENDED_FIELDS_NUMBER = 0;

type EndedRow = readonly [number, string, number, string, string];

async function readBody(request: IncomingMessage): Promise<Readonly<Record<string, unknown>>> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return JSON.parse(Buffer.concat(chunks).toString()) as Readonly<Record<string, unknown>>;
}

function reply(response: ServerResponse, body: unknown): void {
  response.setHeader('content-type', 'application/json');
  response.end(JSON.stringify(body));
}

/** Starts a worker that runs every task for a second; resolves to its address. */
function startWorker(): Promise<string> {
  const running = new Map<string, number>();
  let ended: EndedRow[] = [];
  let endNumber = 0;
  let wake = (): void => undefined;

  const report = (): unknown => ({
    clockMs: Math.round(performance.now()),
    born: 1,
    running: [...running].map(([task, run]) => [task, run, '', 100, 700]),
    ended,
  });

  const start = (task: string, run: number): void => {
    running.set(task, run);
    setTimeout(() => {
      running.delete(task);
      endNumber += 1;
      ended.push([endNumber, task, run, 'done', '']);
      wake();
    }, RUN_MILLISECONDS);
  };

  const hold = async (acknowledgedEnd: number, waitMilliseconds: number): Promise<unknown> => {
    ended = ended.filter((row) => row[ENDED_FIELDS_NUMBER] > acknowledgedEnd);
    if (ended.length === 0) {
      await new Promise<void>((resolve) => {
        wake = resolve;
        setTimeout(resolve, waitMilliseconds);
      });
    }
    return report();
  };

  const answer = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const body = await readBody(request);
    if (request.url === '/hold') {
      reply(response, await hold(Number(body.lastSeen), Number(body.waitMs)));
      return;
    }
    start(String(body.task), Number(body.run));
    reply(response, { clockMs: Math.round(performance.now()) });
  };

  const server = createServer((request, response) => {
    void answer(request, response);
  });
  return new Promise((resolve) => {
    server.listen(0, IP, () => resolve(`${IP}:${(server.address() as AddressInfo).port}`));
  });
}

async function serveWorkers(count: number): Promise<void> {
  const addresses = await Promise.all(Array.from({ length: count }, startWorker));
  process.send?.(addresses);
}

async function serveRelay(nodeName: string, owner: GroupMember): Promise<void> {
  const network = createTcpNetwork(IP, 0, () => undefined);
  const peerAddress = await network.listen((content) => Promise.resolve(relays.handle(content)));
  const relays = startRelays({
    mode: 'always',
    clock: machineClock,
    background: createBackgroundWork(machineClock, (activity, error) => {
      throw new Error(`unexpected error in ${activity}`, { cause: error });
    }),
    writeEvent: () => undefined,
    measures: NO_MEASURES,
    self: { nodeName, peerAddress, incarnation: 'first', milliCores: RELAY_MILLI_CORES },
    workers: createWorkerOrders(),
    request: (member, content, timeout) => network.request(member.peerAddress, content, timeout),
    owners: () => [owner],
    ownsService: () => false,
    isStopping: () => false,
  });
  process.send?.(formatMember(owner));
}

const [, , role, parameter = '', ownerName = ''] = process.argv;
const owner = parseMember(ownerName);
if (role === 'workers') await serveWorkers(Number(parameter));
else if (owner !== null) await serveRelay(parameter, owner);
