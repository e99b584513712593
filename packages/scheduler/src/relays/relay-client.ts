/**
 * The owner's side of its relays: collects orders into batches, and settles each order exactly once: with the outcome that
 * the relay returns, as `not-sent` if it is known not to be carried out, or as `unanswered`.
 */
import { formatMember, type GroupMember } from '../node/group-member.js';
import type { SteadyClock } from '../node/steady-clock.js';
import type { BackgroundWork } from '../unexpected-errors/background-work.js';
import {
  BATCH_MILLISECONDS,
  HOP_TIMEOUT_MILLISECONDS,
  LOADED_BATCH_MILLISECONDS,
  ORDER_TIMEOUT_MILLISECONDS,
} from './limits.js';
import {
  encodeOrders,
  parseOrdersResponse,
  readOutcomes,
  type Numbered,
  type RelayedOrder,
  type RelayedOutcome,
  type RelayOutcomesMessage,
} from './relay-messages.js';

/** Time within which a relay confirms the receipt of a batch; that of a direct order, since a failure leaves starts unanswered. */
const RECEIPT_TIMEOUT_MILLISECONDS = 500;

/** How an order that was given to a relay ended. */
export type RelaySettlement =
  | RelayedOutcome
  /** The order was not carried out and will not be. */
  | { readonly kind: 'not-sent' }
  /** The order may have been carried out, or may be later. */
  | { readonly kind: 'unanswered' };

/** Why a relay is not used for a while. */
export type RelayFailure = 'no-receipt' | 'no-outcome' | 'overloaded' | 'stopping' | 'malformed';

/** Dependencies of the client. */
export interface RelayClientParts {
  readonly clock: SteadyClock;
  readonly background: BackgroundWork;
  /** Member name of this process. */
  readonly self: string;
  readonly request: (member: GroupMember, content: unknown, timeoutMilliseconds: number) => Promise<unknown>;
  /** Called when a relay fails or refuses orders; its workers should be called directly for a while. */
  readonly onFailure: (relay: string, reason: RelayFailure) => void;
  /** Called with the number of orders that were settled in one way. */
  readonly onSettled: (outcome: 'answered' | 'not-sent' | 'unanswered', count: number) => void;
}

/** Sends orders through relays. */
export interface RelayClient {
  readonly send: (relay: GroupMember, order: RelayedOrder) => Promise<RelaySettlement>;
  /** Settles the orders of a batch of outcomes; outcomes of unknown orders are ignored. */
  readonly takeOutcomes: (message: RelayOutcomesMessage) => void;
  /** Whether an order to a worker is in progress at a relay. */
  readonly hasOrders: (workerId: string) => boolean;
  /** Settles the orders whose time limit has passed, as unanswered. */
  readonly expire: () => void;
}

interface Pending {
  readonly relay: string;
  readonly workerId: string;
  readonly deadline: number;
  readonly settle: (settlement: RelaySettlement) => void;
}

interface Batch {
  readonly relay: GroupMember;
  readonly orders: Numbered<RelayedOrder>[];
}

function timeoutOf(content: RelayedOrder): number {
  const wait = content.kind === 'renew-lease' ? content.order.waitMilliseconds : 0;
  return wait + ORDER_TIMEOUT_MILLISECONDS + HOP_TIMEOUT_MILLISECONDS;
}

/** Creates the client. */
export function createRelayClient(parts: RelayClientParts): RelayClient {
  const { clock, background, self } = parts;
  const pending = new Map<number, Pending>();
  const ordersOfWorker = new Map<string, number>();
  const batches = new Map<string, Batch>();
  const sentAt = new Map<string, number>();
  let nextId = 1;

  const countOrders = (workerId: string, change: number): void => {
    const count = (ordersOfWorker.get(workerId) ?? 0) + change;
    if (count === 0) ordersOfWorker.delete(workerId);
    else ordersOfWorker.set(workerId, count);
  };

  const settle = (id: number, settlement: RelaySettlement): boolean => {
    const order = pending.get(id);
    if (order === undefined) return false;
    pending.delete(id);
    countOrders(order.workerId, -1);
    order.settle(settlement);
    return true;
  };

  const settleAll = (ids: readonly number[], kind: 'not-sent' | 'unanswered'): void => {
    const settled = ids.filter((id) => settle(id, { kind })).length;
    if (settled > 0) parts.onSettled(kind, settled);
  };

  /** Settles everything that was sent to a relay, which may still carry it out. */
  const fail = (relay: string, reason: RelayFailure): void => {
    sentAt.delete(relay);
    parts.onFailure(relay, reason);
    const unsent = new Set(batches.get(relay)?.orders.map(({ id }) => id) ?? []);
    batches.delete(relay);
    settleAll([...unsent], 'not-sent');
    settleAll(
      [...pending].flatMap(([id, order]) => (order.relay === relay ? [id] : [])),
      'unanswered',
    );
  };

  const sendBatch = async ({ relay, orders }: Batch): Promise<void> => {
    const content = encodeOrders(self, orders);
    const response = parseOrdersResponse(await parts.request(relay, content, RECEIPT_TIMEOUT_MILLISECONDS));
    if (response === null) {
      fail(formatMember(relay), 'no-receipt');
    } else if (response.kind === 'relay-refused') {
      parts.onFailure(formatMember(relay), response.reason);
      settleAll(
        orders.map(({ id }) => id),
        'not-sent',
      );
    }
  };

  /** The first batch after a pause leaves soon; later ones keep their distance from the one before. */
  const batchDelay = (name: string): number => {
    const elapsed = clock.steadyNow() - (sentAt.get(name) ?? -Infinity);
    return Math.max(BATCH_MILLISECONDS, LOADED_BATCH_MILLISECONDS - elapsed);
  };

  const sendWhenDue = async (name: string, batch: Batch): Promise<void> => {
    await clock.sleep(batchDelay(name));
    if (batches.get(name) !== batch) return;
    batches.delete(name);
    sentAt.set(name, clock.steadyNow());
    await sendBatch(batch);
  };

  const openBatch = (name: string, relay: GroupMember): Batch => {
    const batch: Batch = { relay, orders: [] };
    batches.set(name, batch);
    background.start('send-relay-batch', () => sendWhenDue(name, batch));
    return batch;
  };

  return {
    send: (relay, content) =>
      new Promise((resolve) => {
        const name = formatMember(relay);
        const id = nextId;
        nextId += 1;
        const { workerId } = content.order;
        const deadline = clock.steadyNow() + timeoutOf(content);
        pending.set(id, { relay: name, workerId, deadline, settle: resolve });
        countOrders(workerId, 1);
        (batches.get(name) ?? openBatch(name, relay)).orders.push({ id, content });
      }),
    takeOutcomes: (message) => {
      if (message.to !== self) return;
      const outcomes = readOutcomes(message);
      if (outcomes === null) {
        fail(message.from, 'malformed');
        return;
      }
      const known = outcomes.filter(
        ({ id, content }) => pending.get(id)?.relay === message.from && settle(id, content),
      );
      if (known.length > 0) parts.onSettled('answered', known.length);
    },
    hasOrders: (workerId) => ordersOfWorker.has(workerId),
    expire: () => {
      const now = clock.steadyNow();
      const overdue = [...pending.values()].filter(({ deadline }) => deadline < now);
      new Set(overdue.map(({ relay }) => relay)).forEach((relay) => fail(relay, 'no-outcome'));
    },
  };
}
