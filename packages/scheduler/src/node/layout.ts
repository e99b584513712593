/** Which inbox belongs to which service. Assigned once for good, by the first process that sees a service without one. */
import { Decoder, Encoder } from 'cbor-x';
import type { LogPartition, Store, StoredKeyedRecord } from '../ports/index.js';

/** The topic that says where each service's inbox is. */
export const LAYOUT_PARTITION: LogPartition = { topic: 'keyed.layout', partition: 0 };

/** Subject of the layout that stands for the fleet: host moves and waves. */
export const FLEET_SUBJECT = 'fleet';

const SERVICE_PREFIX = 'service/';

/** Topics of the logs that fronts append to; the store's group deals these out. */
const INBOX_PREFIX = 'keyed.inbox.';

/** Topics of the logs that owners append to. */
const JOURNAL_PREFIX = 'keyed.journal.';

const encoder = new Encoder({ useRecords: false });
const decoder = new Decoder({ useRecords: false });

/** The inbox of each subject. */
export type Layout = ReadonlyMap<string, LogPartition>;

/** The subject of a service. */
export function subjectOfService(service: string): string {
  return SERVICE_PREFIX + service;
}

/** The service behind a subject, or null for the fleet. */
export function serviceOfSubject(subject: string): string | null {
  return subject.startsWith(SERVICE_PREFIX) ? subject.slice(SERVICE_PREFIX.length) : null;
}

/** Whether two places are the same. */
export function isSamePartition(left: LogPartition, right: LogPartition): boolean {
  return left.topic === right.topic && left.partition === right.partition;
}

/** A place as text, for maps. */
export function partitionKey({ topic, partition }: LogPartition): string {
  return `${topic}/${partition}`;
}

/** The log that the owner of an inbox appends to. */
export function journalOf({ topic, partition }: LogPartition): LogPartition {
  return { topic: topic.replace(INBOX_PREFIX, JOURNAL_PREFIX), partition };
}

/** The topics that the places of a layout lie in; there is always one. */
export function inboxTopicsOf(layout: Layout): readonly string[] {
  return [...new Set([`${INBOX_PREFIX}0`, ...[...layout.values()].map((place) => place.topic)])].sort();
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

/** Places for subjects that have none, each the first that is free. */
export function assignPartitions(
  layout: Layout,
  subjects: readonly string[],
  partitionCount: number,
): readonly (readonly [subject: string, place: LogPartition])[] {
  const taken = new Set([...layout.values()].map(partitionKey));
  const assigned: (readonly [string, LogPartition])[] = [];
  let candidate = 0;
  for (const subject of subjects.filter((one) => !layout.has(one))) {
    let place: LogPartition;
    do {
      const topic = `${INBOX_PREFIX}${Math.floor(candidate / partitionCount)}`;
      place = { topic, partition: candidate % partitionCount };
      candidate += 1;
    } while (taken.has(partitionKey(place)));
    assigned.push([subject, place]);
  }
  return assigned;
}

/** The layout with a place for every subject; null where the store does not answer. */
export async function ensureLayout(store: Store, subjects: readonly string[]): Promise<Layout | null> {
  const page = await store.readNewest(LAYOUT_PARTITION);
  if (page.kind !== 'read') return null;
  const layout = decodeLayout(page.records);
  const assigned = assignPartitions(layout, subjects, store.partitionCount);
  if (assigned.length === 0) return layout;
  const outcome = await store.append({
    partition: LAYOUT_PARTITION,
    records: assigned.map(([key, place]) => ({
      key,
      value: encoder.encode([place.topic, place.partition]),
    })),
    producer: null,
    expectedEnd: page.nextOffset,
  });
  // Whoever was first has assigned them: the next look tells.
  return outcome.kind === 'stored' ? new Map([...layout, ...assigned]) : null;
}
