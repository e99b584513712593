import { describe } from '@baobabdeck/test-tools';
import { createManualClock, type ManualClock } from '../../__tests__/manual-clock.js';
import { formatMember, type GroupMember } from '../../node/group-member.js';
import type { RenewLeaseOrder, StartRunOrder, StopRunOrder, WorkerOrders } from '../../ports/index.js';
import { createRelayClient, type RelayClient } from '../relay-client.js';
import { createRelayHandler, type RelayHandler } from '../relay-handler.js';
import { encodeOrders, parseRelayMessage, type RelayOrdersMessage } from '../relay-messages.js';
import { createRelayedWorkers } from '../relayed-workers.js';
import { createTestBackground } from '../../__tests__/test-background.js';

const RELAY: GroupMember = { nodeName: 'relay', peerAddress: 'r:1', incarnation: 'a', milliCores: 1_000 };
const OWNER: GroupMember = { nodeName: 'owner', peerAddress: 'o:1', incarnation: 'a', milliCores: 1_000 };

const BASE = { workerId: 'w1', address: 'w:1', fencingEpoch: 7 };
const TASK = { jobId: 'job', occurrence: 1, step: 2, index: 3 };
const START: StartRunOrder = {
  ...BASE,
  task: TASK,
  run: 4,
  specification: 'work',
  leaseUntil: 9_000,
  checkpoint: 'c',
  ticket: 'ticket',
};
const STOP: StopRunOrder = { ...BASE, task: TASK, run: 4 };
const RENEWAL: RenewLeaseOrder = { ...BASE, leaseUntil: null, acknowledgedEnd: 5, waitMilliseconds: 1_000 };

const REPORT = {
  incarnation: 1,
  clockMilliseconds: 2_000,
  running: [{ task: TASK, run: 4, checkpoint: '', percent: 50, load: 700 }],
  ended: [{ number: 6, task: TASK, run: 3, end: 'done' as const, checkpoint: 'x' }],
  isComplete: false,
};

/** Time until a batch has been sent and its outcomes have returned. */
const BATCH_MILLISECONDS = 10;
const RELAY_TIMEOUT_MILLISECONDS = 2_000;

interface RecordedWorkers extends WorkerOrders {
  readonly calls: unknown[];
}

function recordWorkers(): RecordedWorkers {
  const calls: unknown[] = [];
  return {
    calls,
    startRun: (order) => {
      calls.push(order);
      return Promise.resolve({ outcome: 'started', clockMilliseconds: 12 });
    },
    stopRun: (order) => {
      calls.push(order);
      return Promise.resolve('accepted');
    },
    paceRun: (order) => {
      calls.push(order);
      return Promise.resolve('accepted');
    },
    renewLease: (order) => {
      calls.push(order);
      return Promise.resolve({ kind: 'reported', report: REPORT });
    },
    closeConnections: (address) => calls.push(`close ${address}`),
  };
}

interface Pair {
  readonly clock: ManualClock;
  readonly orders: WorkerOrders;
  readonly client: RelayClient;
  readonly handler: RelayHandler;
  readonly atOwner: RecordedWorkers;
  readonly atRelay: RecordedWorkers;
  readonly failures: string[];
  readonly batches: RelayOrdersMessage[];
  readonly pass: () => Promise<void>;
}

interface PairOptions {
  /** What becomes of a batch of orders; it is delivered where left out. */
  readonly onOrders?: (deliver: () => unknown) => unknown;
  readonly losesOutcomes?: boolean;
  readonly isStopping?: boolean;
  readonly relayWorkers?: Partial<WorkerOrders>;
}

/** An owner and its relay, connected without a network. */
function createPair(options: PairOptions = {}): Pair {
  const clock = createManualClock();
  const atOwner = recordWorkers();
  const atRelay = recordWorkers();
  const failures: string[] = [];
  const batches: RelayOrdersMessage[] = [];
  const onOrders = options.onOrders ?? ((deliver) => deliver());
  const handler = createRelayHandler({
    clock,
    background: createTestBackground(clock),
    self: formatMember(RELAY),
    workers: { ...atRelay, ...options.relayWorkers },
    request: (_owner, content) => {
      const message = parseRelayMessage(structuredClone(content));
      if (message?.kind === 'relay-outcomes' && options.losesOutcomes !== true) client.takeOutcomes(message);
      return Promise.resolve(null);
    },
    isStopping: () => options.isStopping === true,
    isUsedSince: () => false,
  });
  const client = createRelayClient({
    clock,
    background: createTestBackground(clock),
    self: formatMember(OWNER),
    request: (_relay, content) => {
      const message = parseRelayMessage(structuredClone(content));
      if (message?.kind !== 'relay-orders') return Promise.resolve(null);
      batches.push(message);
      return Promise.resolve(onOrders(() => handler.takeOrders(message)));
    },
    onFailure: (_relay, reason) => failures.push(reason),
    onSettled: () => undefined,
  });
  const orders = createRelayedWorkers({
    direct: atOwner,
    client,
    relayOf: () => RELAY,
    onUnreached: (workerId) => failures.push(`unreached ${workerId}`),
    onDirect: () => undefined,
  });
  const pass = async (): Promise<void> => {
    await clock.advance(BATCH_MILLISECONDS);
    await clock.advance(BATCH_MILLISECONDS);
  };
  return { clock, orders, client, handler, atOwner, atRelay, failures, batches, pass };
}

describe('orders through a relay', ({ it, describe: within }) => {
  it('arrive unchanged, and their outcomes return unchanged', async (t) => {
    const { orders, atRelay, atOwner, pass } = createPair();
    const outcomes = Promise.all([orders.startRun(START), orders.stopRun(STOP), orders.renewLease(RENEWAL)]);
    await pass();
    t.deepEqual(await outcomes, [
      { outcome: 'started', clockMilliseconds: 12 },
      'accepted',
      { kind: 'reported', report: REPORT },
    ]);
    t.deepEqual(atRelay.calls, [START, STOP, RENEWAL]);
    t.deepEqual(atOwner.calls, []);
  });

  it('of one turn form one batch, with the specification of a job once', async (t) => {
    const { orders, batches, pass } = createPair();
    const starts = Promise.all([1, 2, 3].map((run) => orders.startRun({ ...START, run })));
    await pass();
    await starts;
    t.is(batches.length, 1);
    t.deepEqual(batches[0]?.specifications, ['work']);
  });

  within('that takes no batch', ({ it: that }) => {
    that('are sent directly if the relay refuses them, since it carries nothing out', async (t) => {
      const { orders, atOwner, atRelay, failures, pass } = createPair({ isStopping: true });
      const outcome = orders.startRun(START);
      await pass();
      t.is((await outcome).outcome, 'started');
      t.deepEqual([atOwner.calls, atRelay.calls, failures], [[START], [], ['stopping']]);
    });

    that('are unanswered without a receipt, except renewals, which are repeated at once', async (t) => {
      const { orders, atOwner, failures, pass } = createPair({ onOrders: () => null });
      const outcomes = Promise.all([
        orders.startRun(START),
        orders.stopRun(STOP),
        orders.renewLease(RENEWAL),
      ]);
      await pass();
      t.deepEqual(await outcomes, [
        { outcome: 'unanswered', clockMilliseconds: null },
        'unanswered',
        { kind: 'reported', report: REPORT },
      ]);
      t.deepEqual(atOwner.calls, [{ ...RENEWAL, waitMilliseconds: 0 }]);
      t.deepEqual(failures, ['no-receipt']);
    });
  });

  it('have one outcome if the relay returns it after the time limit', async (t) => {
    const { orders, client, clock, batches, handler, failures, pass } = createPair({ losesOutcomes: true });
    const outcome = orders.startRun(START);
    await pass();
    await clock.advance(RELAY_TIMEOUT_MILLISECONDS);
    client.expire();
    t.is((await outcome).outcome, 'unanswered');
    t.deepEqual(failures, ['no-outcome']);
    const late = {
      kind: 'relay-outcomes' as const,
      from: formatMember(RELAY),
      to: formatMember(OWNER),
      rows: [[0, 1, 'started', 1]],
    };
    t.notThrows(() => client.takeOutcomes(late));
    t.true(handler.isInUse());
    t.is(batches.length, 1);
  });

  it('ignore outcomes for an earlier run of the owner process, and of another relay', async (t) => {
    const { orders, client, clock } = createPair({ losesOutcomes: true });
    let isSettled = false;
    void orders.startRun(START).then(() => {
      isSettled = true;
    });
    const rows = [[0, 1, 'started', 1]];
    const [from, to] = [formatMember(RELAY), formatMember(OWNER)];
    const earlier = formatMember({ ...OWNER, incarnation: 'earlier' });
    client.takeOutcomes({ kind: 'relay-outcomes', from, to: earlier, rows });
    client.takeOutcomes({ kind: 'relay-outcomes', from: 'other', to, rows });
    await clock.advance(0);
    t.false(isSettled);
    client.takeOutcomes({ kind: 'relay-outcomes', from, to, rows });
    await clock.advance(0);
    t.true(isSettled);
  });

  it('keep a worker from being silent that only the relay does not reach', async (t) => {
    const { orders, failures, pass } = createPair({
      relayWorkers: { renewLease: () => Promise.resolve({ kind: 'unanswered', detail: 'cut' }) },
    });
    const outcome = orders.renewLease(RENEWAL);
    await pass();
    t.is((await outcome).kind, 'reported');
    t.deepEqual(failures, ['unreached w1']);
  });
});

describe('relay handler', ({ it }) => {
  it('carries out nothing of a batch with a malformed row or beyond its bound', (t) => {
    const { handler, atRelay } = createPair();
    const { specifications, rows } = encodeOrders(formatMember(OWNER), [
      { id: 1, content: { kind: 'start-run', order: START } },
    ]);
    const batchOf = (given: readonly (readonly unknown[])[]): RelayOrdersMessage => ({
      kind: 'relay-orders',
      from: formatMember(OWNER),
      specifications,
      rows: given,
    });
    t.deepEqual(handler.takeOrders(batchOf([...rows, [0, 2, 'w1']])), {
      kind: 'relay-refused',
      reason: 'malformed',
    });
    const tooMany = Array.from({ length: 5_000 }, () => rows).flat();
    t.deepEqual(handler.takeOrders(batchOf(tooMany)), { kind: 'relay-refused', reason: 'overloaded' });
    t.deepEqual(atRelay.calls, []);
  });

  it('closes the connections to workers that got no order for a minute', async (t) => {
    const { orders, handler, clock, atRelay, pass } = createPair();
    const outcome = orders.stopRun(STOP);
    await pass();
    await outcome;
    await clock.advance(50_000);
    handler.closeIdleConnections();
    t.deepEqual(atRelay.calls, [STOP]);
    await clock.advance(20_000);
    handler.closeIdleConnections();
    t.deepEqual(atRelay.calls, [STOP, 'close w:1']);
  });
});
