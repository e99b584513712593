/**
 * Batches of orders and outcomes between an owner and its relays. They are frequent, so rows are arrays that are encoded
 * and validated by hand. A malformed row rejects the batch as a whole.
 */
import type {
  EndedReport,
  RunEnd,
  RunningReport,
  StartOutcome,
  StopOutcome,
  TaskKey,
  WorkerReport,
} from '@baobabdeck/scheduling';
import type { RenewLeaseOrder, RenewLeaseOutcome, StartRunOrder, StopRunOrder } from '../ports/index.js';

/** An order to a worker that a relay carries out. */
export type RelayedOrder =
  | { readonly kind: 'start-run'; readonly order: StartRunOrder }
  | { readonly kind: 'stop-run'; readonly order: StopRunOrder }
  | { readonly kind: 'renew-lease'; readonly order: RenewLeaseOrder };

/** The outcome of a start, as the port returns it. */
export interface StartRunOutcome {
  readonly outcome: StartOutcome;
  readonly clockMilliseconds: number | null;
}

/** The outcome of an order that a relay carried out. */
export type RelayedOutcome =
  | { readonly kind: 'start-run'; readonly outcome: StartRunOutcome }
  | { readonly kind: 'stop-run'; readonly outcome: StopOutcome }
  | { readonly kind: 'renew-lease'; readonly outcome: RenewLeaseOutcome };

/** An order or outcome with the number that the owner gave the order; unique in a run of the owner's process. */
export interface Numbered<T> {
  readonly id: number;
  readonly content: T;
}

type Row = readonly unknown[];

/** Orders of an owner to a relay. */
export interface RelayOrdersMessage {
  readonly kind: 'relay-orders';
  /** Member name of the owner, to which outcomes are sent. */
  readonly from: string;
  /** Specifications of the jobs of the batch; rows refer to them by index. */
  readonly specifications: readonly string[];
  readonly rows: readonly Row[];
}

/** Outcomes of orders, from a relay to the owner that gave them. */
export interface RelayOutcomesMessage {
  readonly kind: 'relay-outcomes';
  /** Member name of the relay. */
  readonly from: string;
  /** Member name of the owner; a later run of its process ignores the outcomes. */
  readonly to: string;
  readonly rows: readonly Row[];
}

/** The response to a batch of orders; after `relay-refused` none of them is carried out. */
export type RelayOrdersResponse =
  | { readonly kind: 'relay-taken' }
  | { readonly kind: 'relay-refused'; readonly reason: 'overloaded' | 'stopping' | 'malformed' };

/** The response to a batch of outcomes. */
export interface RelayOutcomesResponse {
  readonly kind: 'relay-outcomes-taken';
}

const START = 0;
const STOP = 1;
const RENEW = 2;

/** Compiles only while every field of an order is sent. */
type NoOther<T, K extends keyof T> = Exclude<keyof T, K> extends never ? K : never;
type StartFields = NoOther<
  StartRunOrder,
  | 'workerId'
  | 'address'
  | 'fencingEpoch'
  | 'task'
  | 'run'
  | 'specification'
  | 'leaseUntil'
  | 'checkpoint'
  | 'ticket'
>;
type StopFields = NoOther<StopRunOrder, 'workerId' | 'address' | 'fencingEpoch' | 'task' | 'run'>;
type RenewFields = NoOther<
  RenewLeaseOrder,
  'workerId' | 'address' | 'fencingEpoch' | 'leaseUntil' | 'acknowledgedEnd' | 'waitMilliseconds'
>;

function encodeOrder({ id, content }: Numbered<RelayedOrder>, indexOf: (text: string) => number): Row {
  if (content.kind === 'start-run') {
    const order: Pick<StartRunOrder, StartFields> = content.order;
    const { jobId, occurrence, step, index } = order.task;
    return [
      START,
      id,
      order.workerId,
      order.address,
      order.fencingEpoch,
      jobId,
      occurrence,
      step,
      index,
      order.run,
      indexOf(order.specification),
      order.leaseUntil,
      order.checkpoint,
      order.ticket,
    ];
  }
  if (content.kind === 'stop-run') {
    const order: Pick<StopRunOrder, StopFields> = content.order;
    const { jobId, occurrence, step, index } = order.task;
    return [
      STOP,
      id,
      order.workerId,
      order.address,
      order.fencingEpoch,
      jobId,
      occurrence,
      step,
      index,
      order.run,
    ];
  }
  const order: Pick<RenewLeaseOrder, RenewFields> = content.order;
  return [
    RENEW,
    id,
    order.workerId,
    order.address,
    order.fencingEpoch,
    order.leaseUntil,
    order.acknowledgedEnd,
    order.waitMilliseconds,
  ];
}

/** Encodes a batch of orders; each specification is sent once. */
export function encodeOrders(from: string, orders: readonly Numbered<RelayedOrder>[]): RelayOrdersMessage {
  const indexes = new Map<string, number>();
  const indexOf = (text: string): number => {
    const known = indexes.get(text);
    if (known !== undefined) return known;
    indexes.set(text, indexes.size);
    return indexes.size - 1;
  };
  const rows = orders.map((order) => encodeOrder(order, indexOf));
  return { kind: 'relay-orders', from, specifications: [...indexes.keys()], rows };
}

function isNumber(value: unknown): value is number {
  return Number.isFinite(value);
}

function readTask(row: Row, at: number): TaskKey | null {
  const jobId = row[at];
  const occurrence = row[at + 1];
  const step = row[at + 2];
  const index = row[at + 3];
  if (typeof jobId !== 'string' || !isNumber(occurrence) || !isNumber(step) || !isNumber(index)) return null;
  return { jobId, occurrence, step, index };
}

/** Position of the first field of an order after those that all orders have. */
const FIRST_OWN_FIELD = 5;
const TASK_FIELDS = 4;

function readStart(
  row: Row,
  specifications: readonly unknown[],
): Omit<StartRunOrder, keyof StartBase> | null {
  const task = readTask(row, FIRST_OWN_FIELD);
  const [run, specificationIndex, leaseUntil, checkpoint, ticket] = row.slice(FIRST_OWN_FIELD + TASK_FIELDS);
  const specification = isNumber(specificationIndex) ? specifications[specificationIndex] : null;
  if (task === null || !isNumber(run) || typeof specification !== 'string') return null;
  if (!isNumber(leaseUntil) || typeof checkpoint !== 'string') return null;
  if (ticket !== null && typeof ticket !== 'string') return null;
  return { task, run, specification, leaseUntil, checkpoint, ticket };
}

interface StartBase {
  readonly workerId: string;
  readonly address: string;
  readonly fencingEpoch: number;
}

function readOrder(row: unknown, specifications: readonly unknown[]): Numbered<RelayedOrder> | null {
  if (!Array.isArray(row)) return null;
  const fields = row as Row;
  const [kind, id, workerId, address, fencingEpoch] = fields;
  if (!isNumber(id) || typeof workerId !== 'string' || typeof address !== 'string') return null;
  if (!isNumber(fencingEpoch)) return null;
  const base: StartBase = { workerId, address, fencingEpoch };
  if (kind === START) {
    const own = readStart(fields, specifications);
    return own === null ? null : { id, content: { kind: 'start-run', order: { ...base, ...own } } };
  }
  if (kind === STOP) {
    const task = readTask(fields, FIRST_OWN_FIELD);
    const run = fields[FIRST_OWN_FIELD + TASK_FIELDS];
    if (task === null || !isNumber(run)) return null;
    return { id, content: { kind: 'stop-run', order: { ...base, task, run } } };
  }
  if (kind !== RENEW) return null;
  const [leaseUntil, acknowledgedEnd, waitMilliseconds] = fields.slice(FIRST_OWN_FIELD);
  if (leaseUntil !== null && !isNumber(leaseUntil)) return null;
  if (!isNumber(acknowledgedEnd) || !isNumber(waitMilliseconds)) return null;
  const order = { ...base, leaseUntil, acknowledgedEnd, waitMilliseconds };
  return { id, content: { kind: 'renew-lease', order } };
}

/** Decodes every row; returns null if `readRow` rejects one. */
function readRows<T>(rows: unknown, readRow: (row: unknown) => T | null): readonly T[] | null {
  if (!Array.isArray(rows)) return null;
  const read: T[] = [];
  for (const row of rows) {
    const one = readRow(row);
    if (one === null) return null;
    read.push(one);
  }
  return read;
}

/** Decodes the orders of a batch; null if a row is malformed. */
export function readOrders(message: RelayOrdersMessage): readonly Numbered<RelayedOrder>[] | null {
  const { specifications } = message;
  return readRows(message.rows, (row) => readOrder(row, specifications));
}

function encodeRunning({ task, run, checkpoint, percent, load }: RunningReport): Row {
  return [task.jobId, task.occurrence, task.step, task.index, run, checkpoint, percent, load];
}

function encodeEnded({ task, number, run, end, checkpoint }: EndedReport): Row {
  return [task.jobId, task.occurrence, task.step, task.index, number, run, end, checkpoint];
}

function encodeOutcome({ id, content }: Numbered<RelayedOutcome>): Row {
  if (content.kind === 'start-run') {
    return [START, id, content.outcome.outcome, content.outcome.clockMilliseconds];
  }
  if (content.kind === 'stop-run') return [STOP, id, content.outcome];
  const { outcome } = content;
  if (outcome.kind === 'unanswered') return [RENEW, id, outcome.kind, outcome.detail];
  if (outcome.kind !== 'reported') return [RENEW, id, outcome.kind];
  const { incarnation, clockMilliseconds, running, ended, isComplete } = outcome.report;
  return [
    RENEW,
    id,
    outcome.kind,
    incarnation,
    clockMilliseconds,
    running.map(encodeRunning),
    ended.map(encodeEnded),
    isComplete,
  ];
}

/** Encodes a batch of outcomes. */
export function encodeOutcomes(
  from: string,
  to: string,
  outcomes: readonly Numbered<RelayedOutcome>[],
): RelayOutcomesMessage {
  return { kind: 'relay-outcomes', from, to, rows: outcomes.map(encodeOutcome) };
}

const START_OUTCOMES: ReadonlySet<unknown> = new Set<StartOutcome>([
  'started',
  'fenced',
  'superseded',
  'late',
  'no-room',
  'no-ticket',
  'other-incarnation',
  'unhealthy',
  'invalid',
  'unanswered',
]);
const STOP_OUTCOMES: ReadonlySet<unknown> = new Set<StopOutcome>([
  'accepted',
  'fenced',
  'other-incarnation',
  'unanswered',
]);
const RUN_ENDS: ReadonlySet<unknown> = new Set<RunEnd>([
  'done',
  'failed',
  'stopped',
  'lapsed',
  'broken',
  'alone',
]);

function readRunning(row: unknown): RunningReport | null {
  if (!Array.isArray(row)) return null;
  const task = readTask(row, 0);
  const [run, checkpoint, percent, load] = (row as Row).slice(TASK_FIELDS);
  if (task === null || !isNumber(run) || typeof checkpoint !== 'string' || !isNumber(percent)) return null;
  return { task, run, checkpoint, percent, load: isNumber(load) ? load : null };
}

function readEnded(row: unknown): EndedReport | null {
  if (!Array.isArray(row)) return null;
  const task = readTask(row, 0);
  const [number, run, end, checkpoint] = (row as Row).slice(TASK_FIELDS);
  if (task === null || !isNumber(number) || !isNumber(run)) return null;
  if (!RUN_ENDS.has(end) || typeof checkpoint !== 'string') return null;
  return { number, task, run, end: end as RunEnd, checkpoint };
}

/** Position of a worker's report in the row of a renewal. */
const REPORT_FIELD = 3;

function readReport(fields: Row): WorkerReport | null {
  const [incarnation, clockMilliseconds, runningRows, endedRows, completeness] = fields.slice(REPORT_FIELD);
  const running = readRows(runningRows, readRunning);
  const ended = readRows(endedRows, readEnded);
  if (!isNumber(incarnation) || !isNumber(clockMilliseconds) || running === null || ended === null) {
    return null;
  }
  // Relays of earlier versions do not tell; a report without ends is complete in any case.
  const isComplete = typeof completeness === 'boolean' ? completeness : ended.length === 0;
  return { incarnation, clockMilliseconds, running, ended, isComplete };
}

function readRenewal(fields: Row): RenewLeaseOutcome | null {
  const [, , kind, detail] = fields;
  if (kind === 'fenced' || kind === 'other-incarnation') return { kind };
  if (kind === 'unanswered') return { kind, detail: String(detail) };
  const report = kind === 'reported' ? readReport(fields) : null;
  return report === null ? null : { kind: 'reported', report };
}

function readOutcome(row: unknown): Numbered<RelayedOutcome> | null {
  if (!Array.isArray(row)) return null;
  const fields = row as Row;
  const [kind, id, outcome, clock] = fields;
  if (!isNumber(id)) return null;
  if (kind === START) {
    if (!START_OUTCOMES.has(outcome)) return null;
    const clockMilliseconds = isNumber(clock) ? clock : null;
    return {
      id,
      content: { kind: 'start-run', outcome: { outcome: outcome as StartOutcome, clockMilliseconds } },
    };
  }
  if (kind === STOP) {
    if (!STOP_OUTCOMES.has(outcome)) return null;
    return { id, content: { kind: 'stop-run', outcome: outcome as StopOutcome } };
  }
  const renewal = kind === RENEW ? readRenewal(fields) : null;
  return renewal === null ? null : { id, content: { kind: 'renew-lease', outcome: renewal } };
}

/** Decodes the outcomes of a batch; null if a row is malformed. */
export function readOutcomes(message: RelayOutcomesMessage): readonly Numbered<RelayedOutcome>[] | null {
  return readRows(message.rows, readOutcome);
}

/** Validates the envelope of a batch; null if the content is another message. */
export function parseRelayMessage(content: unknown): RelayOrdersMessage | RelayOutcomesMessage | null {
  if (typeof content !== 'object' || content === null) return null;
  const { kind, from, to, specifications, rows } = content as Readonly<Record<string, unknown>>;
  if (typeof from !== 'string' || !Array.isArray(rows)) return null;
  if (kind === 'relay-orders' && Array.isArray(specifications)) {
    return { kind, from, specifications: specifications as readonly string[], rows: rows as readonly Row[] };
  }
  if (kind !== 'relay-outcomes' || typeof to !== 'string') return null;
  return { kind, from, to, rows: rows as readonly Row[] };
}

/** Validates the response to a batch of orders; null if there is none. */
export function parseOrdersResponse(content: unknown): RelayOrdersResponse | null {
  if (typeof content !== 'object' || content === null || !('kind' in content)) return null;
  if (content.kind === 'relay-taken') return { kind: 'relay-taken' };
  // A process that does not know the message answers as an owner does, and carries nothing out.
  if (content.kind === 'not-owner') return { kind: 'relay-refused', reason: 'malformed' };
  if (content.kind !== 'relay-refused' || !('reason' in content)) return null;
  const { reason } = content;
  return reason === 'overloaded' || reason === 'stopping' || reason === 'malformed'
    ? { kind: 'relay-refused', reason }
    : null;
}
