/**
 * The relay's side: carries out the orders of owners with the direct orders of its process, and returns the outcomes in
 * batches as they settle. It never repeats an order, and drops orders that have waited too long.
 */
import { parseMember, type GroupMember } from '../node/group-member.js';
import type { SteadyClock } from '../node/steady-clock.js';
import type { BackgroundWork } from '../unexpected-errors/background-work.js';
import type { WorkerOrders } from '../ports/index.js';
import { BATCH_MILLISECONDS, LOADED_BATCH_MILLISECONDS, ORDER_TIMEOUT_MILLISECONDS } from './limits.js';
import { createOrderQueue } from './order-queue.js';
import {
  encodeOutcomes,
  readOrders,
  type Numbered,
  type RelayedOrder,
  type RelayedOutcome,
  type RelayOrdersMessage,
  type RelayOrdersResponse,
} from './relay-messages.js';

/** The most orders that a relay holds; about a second of a burst, and a renewal for each worker of several services. */
const MAXIMUM_ORDERS = 4_000;

/** The most orders that are carried out at once; renewals, which wait at the workers, are included. */
const MAXIMUM_ORDERS_AT_ONCE = 1_500;

/** Time within which an owner confirms a batch of outcomes. */
const RECEIPT_TIMEOUT_MILLISECONDS = 250;

/** Time after the last order to a worker after which its connections are closed. */
const CONNECTION_IDLE_MILLISECONDS = 60_000;

/** Dependencies of the handler. */
export interface RelayHandlerParts {
  readonly clock: SteadyClock;
  readonly background: BackgroundWork;
  /** Member name of this process. */
  readonly self: string;
  /** The orders that this process sends itself. */
  readonly workers: WorkerOrders;
  readonly request: (member: GroupMember, content: unknown, timeoutMilliseconds: number) => Promise<unknown>;
  readonly isStopping: () => boolean;
  /** Whether this process used the connections to an address for its own orders since a time on the steady clock. */
  readonly isUsedSince: (address: string, since: number) => boolean;
}

/** Carries out the orders of owners. */
export interface RelayHandler {
  readonly takeOrders: (message: RelayOrdersMessage) => RelayOrdersResponse;
  /** Whether orders were received in the last seconds. */
  readonly isInUse: () => boolean;
  /** Closes the connections to workers that got no order for a minute. */
  readonly closeIdleConnections: () => void;
}

interface Outbox {
  readonly owner: GroupMember;
  readonly name: string;
  outcomes: Numbered<RelayedOutcome>[];
  isSending: boolean;
}

interface Taken {
  readonly order: Numbered<RelayedOrder>;
  readonly outbox: Outbox;
}

/** Time after the last batch for which a relay counts as in use. */
const IN_USE_MILLISECONDS = 3_000;

async function execute(workers: WorkerOrders, content: RelayedOrder): Promise<RelayedOutcome> {
  if (content.kind === 'start-run') {
    return { kind: 'start-run', outcome: await workers.startRun(content.order) };
  }
  if (content.kind === 'stop-run') {
    return { kind: 'stop-run', outcome: await workers.stopRun(content.order) };
  }
  return { kind: 'renew-lease', outcome: await workers.renewLease(content.order) };
}

/** The outcome of an order that was dropped, and so did not reach its worker. */
function outcomeOfDropped({ kind }: RelayedOrder): RelayedOutcome {
  if (kind === 'start-run') return { kind, outcome: { outcome: 'late', clockMilliseconds: null } };
  if (kind === 'stop-run') return { kind, outcome: 'unanswered' };
  return { kind, outcome: { kind: 'unanswered', detail: 'dropped by the relay' } };
}

/** Creates the handler. */
export function createRelayHandler(parts: RelayHandlerParts): RelayHandler {
  const { clock, background, workers, self } = parts;
  const queue = createOrderQueue<Taken>({
    total: MAXIMUM_ORDERS,
    atOnce: MAXIMUM_ORDERS_AT_ONCE,
    ageMilliseconds: ORDER_TIMEOUT_MILLISECONDS,
  });
  const outboxes = new Map<string, Outbox>();
  const lastOrderAt = new Map<string, number>();
  let lastBatchAt = -Infinity;

  /** Sends outcomes while there are any; what settles in the meantime forms the next batch. */
  const sendOutcomes = async (outbox: Outbox): Promise<void> => {
    outbox.isSending = true;
    await clock.sleep(BATCH_MILLISECONDS);
    while (outbox.outcomes.length > 0) {
      const { outcomes } = outbox;
      outbox.outcomes = [];
      const content = encodeOutcomes(self, outbox.name, outcomes);
      const sentAt = clock.steadyNow();
      await parts.request(outbox.owner, content, RECEIPT_TIMEOUT_MILLISECONDS);
      await clock.sleep(Math.max(0, LOADED_BATCH_MILLISECONDS - (clock.steadyNow() - sentAt)));
    }
    outbox.isSending = false;
    outboxes.delete(outbox.name);
  };

  const addOutcome = ({ order, outbox }: Taken, content: RelayedOutcome): void => {
    outbox.outcomes.push({ id: order.id, content });
    if (outbox.isSending) return;
    outboxes.set(outbox.name, outbox);
    background.start(
      'send-relay-outcomes',
      () => sendOutcomes(outbox),
      () => {
        outbox.isSending = false;
      },
    );
  };

  const carryOut = async (taken: Taken): Promise<void> => {
    try {
      addOutcome(taken, await execute(workers, taken.order.content));
    } finally {
      queue.finish();
    }
    continueQueue();
  };

  function continueQueue(): void {
    const { due, dropped } = queue.take(clock.steadyNow());
    dropped.forEach((taken) => addOutcome(taken, outcomeOfDropped(taken.order.content)));
    due.forEach((taken) => background.start('carry-out-order', () => carryOut(taken)));
  }

  const outboxOf = (name: string, owner: GroupMember): Outbox => {
    const known = outboxes.get(name);
    if (known !== undefined) return known;
    const outbox: Outbox = { owner, name, outcomes: [], isSending: false };
    outboxes.set(name, outbox);
    return outbox;
  };

  return {
    takeOrders: (message) => {
      if (parts.isStopping()) return { kind: 'relay-refused', reason: 'stopping' };
      const owner = parseMember(message.from);
      const orders = readOrders(message);
      if (owner === null || orders === null) return { kind: 'relay-refused', reason: 'malformed' };
      const now = clock.steadyNow();
      const outbox = outboxOf(message.from, owner);
      const isAdded = queue.add(
        orders.map((order) => ({ order, outbox })),
        now,
      );
      if (!isAdded) return { kind: 'relay-refused', reason: 'overloaded' };
      lastBatchAt = now;
      orders.forEach(({ content }) => lastOrderAt.set(content.order.address, now));
      continueQueue();
      return { kind: 'relay-taken' };
    },
    isInUse: () => clock.steadyNow() - lastBatchAt < IN_USE_MILLISECONDS,
    closeIdleConnections: () => {
      const since = clock.steadyNow() - CONNECTION_IDLE_MILLISECONDS;
      [...lastOrderAt].forEach(([address, at]) => {
        if (at >= since || parts.isUsedSince(address, since)) return;
        lastOrderAt.delete(address);
        workers.closeConnections(address);
      });
    },
  };
}
