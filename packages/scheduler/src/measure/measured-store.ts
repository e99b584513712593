/** Wraps a store to measure its calls. */
import type { ProcessMeasures } from '@baobabdeck/observability';
import type { SteadyClock } from '../node/steady-clock.js';
import type { KeyedRecord, Store } from '../ports/index.js';

/** Returns the total size of the keys and values of records in bytes. */
export function bytesOf(records: readonly KeyedRecord[]): number {
  return records.reduce((sum, { key, value }) => sum + key.length + (value?.byteLength ?? 0), 0);
}

/** Measures the calls to a store. Reads that wait for new records count separately as `read-waiting`. */
export function measureStore(store: Store, clock: SteadyClock, measures: ProcessMeasures): Store {
  const measure = async <T extends { readonly kind: string }>(
    call: string,
    bytes: number,
    run: () => Promise<T>,
  ): Promise<T> => {
    const startedAt = clock.steadyNow();
    const outcome = await run();
    measures.storeCall(call, outcome.kind, clock.steadyNow() - startedAt, bytes);
    return outcome;
  };
  return {
    ...store,
    append: (request) => measure('append', bytesOf(request.records), () => store.append(request)),
    read: (partition, fromOffset, waitMilliseconds) =>
      measure(waitMilliseconds > 0 ? 'read-waiting' : 'read', 0, () =>
        store.read(partition, fromOffset, waitMilliseconds),
      ),
    readNewest: (partition) => measure('read-newest', 0, () => store.readNewest(partition)),
    join: (group, member, topics, generation) =>
      measure('join', 0, () => store.join(group, member, topics, generation)),
    listOwners: (group) => measure('list-owners', 0, () => store.listOwners(group)),
  };
}
