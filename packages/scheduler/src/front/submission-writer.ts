/** Appends accepted jobs and cancellations to the services' logs, one batch of a log at a time. */
import type { AppendOutcome, KeyedRecord, LogPartition, Store } from '../ports/index.js';
import { partitionKey } from '../node/layout.js';

interface Waiting {
  readonly records: readonly KeyedRecord[];
  readonly settle: (outcome: AppendOutcome) => void;
}

/** Bytes of records in one batch; more would make the batch late. */
const BATCH_BYTES = 262_144;

/** Writes records; what comes in while a batch is under way goes into the next one. */
export interface SubmissionWriter {
  readonly append: (place: LogPartition, records: readonly KeyedRecord[]) => Promise<AppendOutcome>;
}

function sizeOf({ records }: Waiting): number {
  return records.reduce((sum, { key, value }) => sum + key.length + (value?.length ?? 0), 0);
}

function takeBatch(queue: Waiting[]): readonly Waiting[] {
  const batch: Waiting[] = [];
  let bytes = 0;
  while (queue[0] !== undefined && (batch.length === 0 || bytes + sizeOf(queue[0]) <= BATCH_BYTES)) {
    bytes += sizeOf(queue[0]);
    batch.push(queue[0]);
    queue.shift();
  }
  return batch;
}

/** Creates the writer. */
export function createSubmissionWriter(store: Store): SubmissionWriter {
  const queues = new Map<string, Waiting[]>();
  const busy = new Set<string>();

  const drain = async (place: LogPartition): Promise<void> => {
    const key = partitionKey(place);
    const queue = queues.get(key) ?? [];
    if (busy.has(key)) return;
    busy.add(key);
    while (queue.length > 0) {
      const batch = takeBatch(queue);
      const outcome = await store.append({
        partition: place,
        records: batch.flatMap(({ records }) => records),
        producer: null,
        expectedEnd: null,
      });
      batch.forEach(({ settle }) => settle(outcome));
    }
    busy.delete(key);
  };

  return {
    append: (place, records) =>
      new Promise((settle) => {
        const queue = queues.get(partitionKey(place)) ?? [];
        queues.set(partitionKey(place), queue);
        queue.push({ records, settle });
        void drain(place);
      }),
  };
}
