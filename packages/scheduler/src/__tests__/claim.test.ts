import { describe } from '@baobabdeck/test-tools';
import { claimService } from '../owner/claim.js';
import type { LogPartition, Store, StoredKeyedRecord } from '../ports/index.js';
import { createManualClock } from './manual-clock.js';
import { PUBLISHED_LIMITS } from './published-limits.js';

const INBOX: LogPartition = { topic: 'inbox', partition: 0 };
const JOURNAL: LogPartition = { topic: 'journal', partition: 0 };

function recordAt(offset: number): StoredKeyedRecord {
  return { key: 'job', offset, value: new Uint8Array([offset]) };
}

describe('claimService', ({ it }) => {
  it('reads most records before it appends the claim and misses none that are stored meanwhile', async (t) => {
    const calls: string[] = [];
    const store: Store = {
      append: ({ partition }) => {
        calls.push(`append ${partition.topic}`);
        return Promise.resolve({ kind: 'stored', firstOffset: 8, nextOffset: 9 });
      },
      read: ({ topic }, fromOffset) => {
        calls.push(`read ${topic} from ${fromOffset}`);
        return Promise.resolve({ kind: 'read', records: [recordAt(7)], nextOffset: 9, hasMore: false });
      },
      readNewest: ({ topic }) => {
        calls.push(`newest ${topic}`);
        return Promise.resolve({ kind: 'read', records: [recordAt(2)], nextOffset: 3 });
      },
      join: () => Promise.resolve({ kind: 'failed', detail: 'not expected' }),
      leave: () => Promise.resolve(),
      listOwners: () => Promise.resolve({ kind: 'failed', detail: 'not expected' }),
      partitionCount: 1,
      limits: PUBLISHED_LIMITS,
    };
    const claimed = await claimService({
      store,
      clock: createManualClock(),
      inbox: INBOX,
      journal: JOURNAL,
      claimRecord: { key: 'owner', value: new Uint8Array(1) },
      prepare: () => calls.push('prepare'),
      shouldContinue: () => true,
      writeEvent: () => undefined,
      logFields: { service: 'quotes' },
    });
    t.deepEqual(calls, [
      'newest journal',
      'newest inbox',
      'prepare',
      'append inbox',
      'append journal',
      'read journal from 3',
      'read inbox from 3',
    ]);
    t.is(claimed?.epoch, 9);
    t.deepEqual(
      claimed?.records.map(({ offset }) => offset),
      [7, 7],
    );
  });
});
