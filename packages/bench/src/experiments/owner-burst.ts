/** Processor time that orders, outcomes and reports of a burst cost an owner, by the number of its relays. */
import { fork, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';
import {
  createBackgroundWork,
  createTcpNetwork,
  formatMember,
  machineClock,
  NO_MEASURES,
  startRelays,
  type GroupMember,
  type Relays,
  type WorkerOrders,
} from '@baobabdeck/scheduler';
import { createWorkerOrders } from '@baobabdeck/users-platform';
import { figure, selectPolicies, type Experiment, type PolicyResult } from '../experiment.js';

const IP = '127.0.0.1';
const CHILD = fileURLToPath(new URL('../owner-burst/child.js', import.meta.url));

const POLICIES = ['0', '1', '2', '4', '8'];

const WORKERS = 60;
const WORKERS_PER_PROCESS = 15;

const RUNS_PER_SECOND = Number(process.env.OWNER_BURST_RUNS ?? '3000');
const TURN_MILLISECONDS = 10;
const MILLISECONDS_PER_SECOND = 1_000;
const MICROSECONDS_PER_MILLISECOND = 1_000;

/** Time that the record of the ends of a report takes; the next renewal is sent after it. */
const RECORD_MILLISECONDS = 30;

const WARM_UP_MILLISECONDS = 4_000;
const MEASURED_MILLISECONDS = 5_000;

/** So large that the owner takes every relay that offers itself. */
const OWNER_MILLI_CORES = 100_000;

const TASKS_PER_JOB = 8;
const SPECIFICATION = 'x'.repeat(1_000);
const JOB_ID_DIGITS = 16;

const TARGET_MILLISECONDS = 0.15;

interface Burst {
  readonly ends: () => number;
  readonly unanswered: () => number;
  readonly stop: () => void;
}

/** Starts runs at the rate of a burst, and renews the leases of the workers as an owner does. */
function startBurst(orders: WorkerOrders, addresses: readonly string[]): Burst {
  let ends = 0;
  let unanswered = 0;
  let started = 0;
  let isStopped = false;
  const beganAt = performance.now();

  const startRun = async (number: number): Promise<void> => {
    const index = number % addresses.length;
    const jobId = Math.floor(number / TASKS_PER_JOB)
      .toString(16)
      .padStart(JOB_ID_DIGITS, '0');
    const { outcome } = await orders.startRun({
      workerId: `worker-${index}`,
      address: addresses[index] ?? '',
      fencingEpoch: 1,
      task: { jobId, occurrence: 0, step: 0, index: number % TASKS_PER_JOB },
      run: 1,
      specification: SPECIFICATION,
      leaseUntil: Number.MAX_SAFE_INTEGER,
      checkpoint: '',
      ticket: null,
    });
    if (outcome !== 'started') unanswered += 1;
  };

  const startRuns = async (): Promise<void> => {
    while (!isStopped) {
      await machineClock.sleep(TURN_MILLISECONDS);
      const due = ((performance.now() - beganAt) / MILLISECONDS_PER_SECOND) * RUNS_PER_SECOND;
      for (; started < due; started += 1) void startRun(started);
    }
  };

  const renew = async (address: string, index: number): Promise<void> => {
    let acknowledgedEnd = 0;
    while (!isStopped) {
      const outcome = await orders.renewLease({
        workerId: `worker-${index}`,
        address,
        fencingEpoch: 1,
        leaseUntil: Number.MAX_SAFE_INTEGER,
        acknowledgedEnd,
        waitMilliseconds: 1_000,
      });
      const ended = outcome.kind === 'reported' ? outcome.report.ended : [];
      ends += ended.length;
      acknowledgedEnd = ended.at(-1)?.number ?? acknowledgedEnd;
      if (ended.length > 0) await machineClock.sleep(RECORD_MILLISECONDS);
    }
  };

  void startRuns();
  addresses.forEach((address, index) => {
    void renew(address, index);
  });
  return {
    ends: () => ends,
    unanswered: () => unanswered,
    stop: () => {
      isStopped = true;
    },
  };
}

async function forkWorkers(children: ChildProcess[]): Promise<readonly string[]> {
  const processes = Array.from({ length: WORKERS / WORKERS_PER_PROCESS }, () =>
    fork(CHILD, ['workers', String(WORKERS_PER_PROCESS)]),
  );
  children.push(...processes);
  const ready = await Promise.all(processes.map((child) => once(child, 'message')));
  return ready.flatMap(([addresses]) => addresses as readonly string[]);
}

async function openRelays(
  count: number,
  children: ChildProcess[],
): Promise<{ readonly relays: Relays; readonly failures: () => number; readonly close: () => void }> {
  const network = createTcpNetwork(IP, 0, () => undefined);
  const peerAddress = await network.listen((content) => {
    const response = relays.handle(content);
    if (response !== null) return Promise.resolve(response);
    const wantsRelays = relays.takeOffer(content as Parameters<Relays['takeOffer']>[0]);
    return Promise.resolve({ kind: 'relay-offer-noted', wantsRelays });
  });
  const self: GroupMember = {
    nodeName: 'owner',
    peerAddress,
    incarnation: 'first',
    milliCores: OWNER_MILLI_CORES,
  };
  let failures = 0;
  const relays = startRelays({
    mode: count === 0 ? 'off' : 'always',
    clock: machineClock,
    background: createBackgroundWork(machineClock, (activity, error) => {
      throw new Error(`unexpected error in ${activity}`, { cause: error });
    }),
    writeEvent: (name) => {
      if (name === 'relayFailed') failures += 1;
    },
    measures: NO_MEASURES,
    self,
    workers: createWorkerOrders(),
    request: (member, content, timeout) => network.request(member.peerAddress, content, timeout),
    owners: () => [],
    ownsService: () => true,
    isStopping: () => false,
  });
  for (let index = 0; index < count; index += 1) {
    children.push(fork(CHILD, ['relay', `relay-${index}`, formatMember(self)]));
  }
  while (relays.status().length < count) await machineClock.sleep(100);
  return {
    relays,
    failures: () => failures,
    close: () => {
      relays.close();
      network.close();
    },
  };
}

async function measureBurst(policy: string): Promise<PolicyResult> {
  const children: ChildProcess[] = [];
  try {
    const addresses = await forkWorkers(children);
    const { relays, failures, close } = await openRelays(Number(policy), children);
    const burst = startBurst(relays.workers, addresses);
    await machineClock.sleep(WARM_UP_MILLISECONDS);
    globalThis.gc?.();
    const endsBefore = burst.ends();
    const unansweredBefore = burst.unanswered();
    const before = process.cpuUsage();
    await machineClock.sleep(MEASURED_MILLISECONDS);
    const { user, system } = process.cpuUsage(before);
    const runs = burst.ends() - endsBefore;
    burst.stop();
    close();
    addresses.forEach(relays.workers.closeConnections);
    return {
      user: `${WORKERS} workers, ${RUNS_PER_SECOND} runs a second`,
      policy,
      figures: [
        figure(
          'processor a run',
          (user + system) / MICROSECONDS_PER_MILLISECOND / runs,
          'ms',
          TARGET_MILLISECONDS,
        ),
        figure('runs a second', (runs * MILLISECONDS_PER_SECOND) / MEASURED_MILLISECONDS, ''),
        figure('relay failures', failures(), ''),
        figure('not started', burst.unanswered() - unansweredBefore, ''),
      ],
    };
  } finally {
    children.forEach((child) => child.kill());
  }
}

/** The experiment. */
export const ownerBurst: Experiment = {
  name: 'owner-burst',
  description:
    'processor time of an owner for the orders and reports of a run, without its decisions, by the number of relays',
  policies: POLICIES,
  run: async (options) => {
    const results: PolicyResult[] = [];
    for (const policy of selectPolicies(options, POLICIES)) results.push(await measureBurst(policy));
    return results;
  },
};
