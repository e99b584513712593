import type { LogFields } from '@baobabdeck/observability';
import { describe } from '@baobabdeck/test-tools';
import { claimService } from '../../owner/claim.js';
import type { ReadNewestOutcome, Store } from '../../ports/index.js';
import { createHandClock } from '../../__tests__/hand-clock.js';

const FAILED: ReadNewestOutcome = { kind: 'failed', detail: 'no answer in time' };

describe('a claim that does not come on', ({ it }) => {
  it('is told of once a second at most, with its step and what the store answered', async (t) => {
    const clock = createHandClock();
    const lines: (readonly [event: string, fields?: LogFields])[] = [];
    let newest: ReadNewestOutcome = FAILED;
    const store: Store = {
      append: () => Promise.resolve({ kind: 'stored', firstOffset: 4, nextOffset: 5 }),
      read: () => Promise.resolve({ kind: 'failed', detail: 'no' }),
      readNewest: () => Promise.resolve(newest),
      join: () => Promise.resolve({ kind: 'failed', detail: 'no' }),
      leave: () => Promise.resolve(),
      listOwners: () => Promise.resolve({ kind: 'failed', detail: 'no' }),
      partitionCount: 12,
    };
    const claiming = claimService({
      store,
      clock,
      inbox: { topic: 'inbox', partition: 0 },
      journal: { topic: 'journal', partition: 0 },
      claimRecord: { key: 'owner', value: new Uint8Array(3) },
      isWanted: () => true,
      writeEvent: (...line) => lines.push(line),
      logFields: { service: 'quotes' },
    });
    await clock.pass(0);
    for (let look = 0; look < 15; look += 1) await clock.pass(100);
    const line = { service: 'quotes', step: 'newest records of journal', outcome: FAILED };
    t.deepEqual(lines, [
      ['claimDelayed', { ...line, attempts: 1, milliseconds: 0 }],
      ['claimDelayed', { ...line, attempts: 11, milliseconds: 1_000 }],
    ]);
    newest = {
      kind: 'read',
      records: [{ offset: 1, key: 'job', value: new Uint8Array(7) }],
      nextOffset: 5,
    };
    await clock.pass(100);
    const claimed = await claiming;
    t.is(claimed?.milliseconds, 1_600);
    t.is(claimed?.bytes, 20);
  });
});
