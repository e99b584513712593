/** Child processes of the experiment owner-burst: stand-ins for workers, and relays. */
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
import { createWorkerOrders, startWorkerStandIn } from '@baobabdeck/users-platform';

const IP = '127.0.0.1';

/** Time for which a worker runs each task. */
const RUN_MILLISECONDS = 1_000;

/** Processor of a relay in thousandths of a core. */
const RELAY_MILLI_CORES = 1_000;

async function serveWorkers(count: number): Promise<void> {
  const addresses = await Promise.all(
    Array.from({ length: count }, () => startWorkerStandIn(IP, RUN_MILLISECONDS)),
  );
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
