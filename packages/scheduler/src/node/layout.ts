/** Assigns each service its inbox, permanently. The first process that finds a service without an inbox assigns one. */
import { Decoder, Encoder } from 'cbor-x';
import type { LogPartition, Store, StoredKeyedRecord } from '../ports/index.js';

/** The log that holds the inbox of each service. */
export const LAYOUT_PARTITION: LogPartition = { topic: 'keyed.layout', partition: 0 };

/** The subject of the fleet, whose owner moves hosts and runs waves. */
export const FLEET_SUBJECT = 'fleet';

const SERVICE_PREFIX = 'service/';

/** Prefix of the inbox topics, to which front ends append; the store's group assigns their partitions. */
const INBOX_PREFIX = 'keyed.inbox.';

/** Prefix of the journal topics, to which owners append. */
const JOURNAL_PREFIX = 'keyed.journal.';

const encoder = new Encoder({ useRecords: false });
const decoder = new Decoder({ useRecords: false });

/** The inbox of each subject; a subject is a service (`service/` and its name) or the fleet. */
export type Layout = ReadonlyMap<string, LogPartition>;

/** Returns the subject of a service. */
export function subjectOfService(service: string): string {
  return SERVICE_PREFIX + service;
}

/** Returns the service of a subject, or null for the fleet. */
export function serviceOfSubject(subject: string): string | null {
  return subject.startsWith(SERVICE_PREFIX) ? subject.slice(SERVICE_PREFIX.length) : null;
}

/** Whether two logs are the same partition of the same topic. */
export function isSamePartition(left: LogPartition, right: LogPartition): boolean {
  return left.topic === right.topic && left.partition === right.partition;
}

/** Returns a map key for a partition. */
export function partitionKey({ topic, partition }: LogPartition): string {
  return `${topic}/${partition}`;
}

/** Returns the journal to which the owner of an inbox appends. */
export function journalOf({ topic, partition }: LogPartition): LogPartition {
  return { topic: topic.replace(INBOX_PREFIX, JOURNAL_PREFIX), partition };
}

/** Returns the topics of the inboxes of a layout, sorted; always includes the first one. */
export function inboxTopicsOf(layout: Layout): readonly string[] {
  return [...new Set([`${INBOX_PREFIX}0`, ...[...layout.values()].map((inbox) => inbox.topic)])].sort();
}

function decodeLayout(records: readonly StoredKeyedRecord[]): Layout {
  const oldestFirst = [...records].sort((left, right) => left.offset - right.offset);
  const layout = new Map<string, LogPartition>();
  for (const { key, value } of oldestFirst) {
    if (value !== null && !layout.has(key)) {
      const [topic, partition] = decoder.decode(value) as readonly [string, number];
      layout.set(key, { topic, partition });
    }
  }
  return layout;
}

/** Assigns the first free inbox to each subject that has none; returns only the new assignments. */
export function assignInboxes(
  layout: Layout,
  subjects: readonly string[],
  partitionCount: number,
): readonly (readonly [subject: string, inbox: LogPartition])[] {
  const taken = new Set([...layout.values()].map(partitionKey));
  const assigned: (readonly [string, LogPartition])[] = [];
  let candidate = 0;
  for (const subject of subjects.filter((key) => !layout.has(key))) {
    let inbox: LogPartition;
    do {
      const topic = `${INBOX_PREFIX}${Math.floor(candidate / partitionCount)}`;
      inbox = { topic, partition: candidate % partitionCount };
      candidate += 1;
    } while (taken.has(partitionKey(inbox)));
    assigned.push([subject, inbox]);
  }
  return assigned;
}

/** Returns the layout as stored; null if the store fails. */
export async function readLayout(store: Pick<Store, 'readNewest'>): Promise<Layout | null> {
  const page = await store.readNewest(LAYOUT_PARTITION);
  return page.kind === 'read' ? decodeLayout(page.records) : null;
}

/** Returns the layout with an inbox for each subject; null if the store fails or another process appended first. */
export async function ensureInboxes(store: Store, subjects: readonly string[]): Promise<Layout | null> {
  const page = await store.readNewest(LAYOUT_PARTITION);
  if (page.kind !== 'read') return null;
  const layout = decodeLayout(page.records);
  const assigned = assignInboxes(layout, subjects, store.partitionCount);
  if (assigned.length === 0) return layout;
  const outcome = await store.append({
    partition: LAYOUT_PARTITION,
    records: assigned.map(([key, inbox]) => ({
      key,
      value: encoder.encode([inbox.topic, inbox.partition]),
    })),
    producer: null,
    expectedEnd: page.nextOffset,
  });
  // If another process appended first, its assignment is found by the next read.
  return outcome.kind === 'stored' ? new Map([...layout, ...assigned]) : null;
}
