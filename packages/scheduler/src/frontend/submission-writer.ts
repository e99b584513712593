/** Appends submitted jobs and cancellations to the inboxes of services, one batch per inbox at a time. */
import type { AppendOutcome, KeyedRecord, LogPartition, Store } from '../ports/index.js';
import { framedBytesOf } from '../owner/append-batches.js';
import { partitionKey } from '../node/layout.js';
import type { BackgroundWork } from '../unexpected-errors/background-work.js';

/** Append that waits for its batch to be stored. */
interface PendingAppend {
  readonly records: readonly KeyedRecord[];
  readonly settle: (outcome: AppendOutcome) => void;
}

/** Maximum bytes of records in a batch, unless a single append is larger; a larger batch would take too long to store. */
const MAXIMUM_BATCH_BYTES = 262_144;

/** Writer that collects the appends made while a batch is being stored into the next batch. */
export interface SubmissionWriter {
  readonly append: (partition: LogPartition, records: readonly KeyedRecord[]) => Promise<AppendOutcome>;
}

function sizeOf({ records }: PendingAppend): number {
  return framedBytesOf(records);
}

function takeBatch(queue: PendingAppend[], maximumBytes: number): readonly PendingAppend[] {
  const batch: PendingAppend[] = [];
  let bytes = 0;
  while (queue[0] !== undefined && (batch.length === 0 || bytes + sizeOf(queue[0]) <= maximumBytes)) {
    bytes += sizeOf(queue[0]);
    batch.push(queue[0]);
    queue.shift();
  }
  return batch;
}

/** Creates a submission writer. */
export function createSubmissionWriter(store: Store, background: BackgroundWork): SubmissionWriter {
  const maximumBytes = Math.min(MAXIMUM_BATCH_BYTES, store.limits.requestBytes);
  const queues = new Map<string, PendingAppend[]>();
  const busyPartitions = new Set<string>();

  const drain = async (partition: LogPartition): Promise<void> => {
    const key = partitionKey(partition);
    const queue = queues.get(key) ?? [];
    if (busyPartitions.has(key)) return;
    busyPartitions.add(key);
    while (queue.length > 0) {
      const batch = takeBatch(queue, maximumBytes);
      const outcome = await store.append({
        partition,
        records: batch.flatMap(({ records }) => records),
        producer: null,
        expectedEnd: null,
      });
      batch.forEach(({ settle }) => settle(outcome));
    }
    busyPartitions.delete(key);
  };

  return {
    append: (partition, records) =>
      new Promise((settle) => {
        const queue = queues.get(partitionKey(partition)) ?? [];
        queues.set(partitionKey(partition), queue);
        queue.push({ records, settle });
        background.start('store-submissions', () => drain(partition));
      }),
  };
}
