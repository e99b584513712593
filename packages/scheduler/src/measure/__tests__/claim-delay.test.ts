import type { LogFields } from '@baobabdeck/observability';
import { describe } from '@baobabdeck/test-tools';
import { claimService } from '../../owner/claim.js';
import type { ReadNewestOutcome, Store } from '../../ports/index.js';
import { createManualClock } from '../../__tests__/manual-clock.js';
import { PUBLISHED_LIMITS } from '../../__tests__/published-limits.js';

const FAILED: ReadNewestOutcome = { kind: 'failed', detail: 'no answer in time' };

describe('delayed claim', ({ it }) => {
  it('logs the step and the answer of the store at most once per second', async (t) => {
    const clock = createManualClock();
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
      limits: PUBLISHED_LIMITS,
    };
    const claim = claimService({
      store,
      clock,
      inbox: { topic: 'inbox', partition: 0 },
      journal: { topic: 'journal', partition: 0 },
      claimRecord: { key: 'owner', value: new Uint8Array(3) },
      prepare: () => undefined,
      shouldContinue: () => true,
      writeEvent: (...line) => lines.push(line),
      logFields: { service: 'quotes' },
    });
    await clock.advance(0);
    for (let attempt = 0; attempt < 15; attempt += 1) await clock.advance(100);
    const expectedFields = { service: 'quotes', step: 'newest records of journal', outcome: FAILED };
    t.deepEqual(lines, [
      ['claimDelayed', { ...expectedFields, attempts: 1, milliseconds: 0 }],
      ['claimDelayed', { ...expectedFields, attempts: 11, milliseconds: 1_000 }],
    ]);
    newest = {
      kind: 'read',
      records: [{ offset: 1, key: 'job', value: new Uint8Array(7) }],
      nextOffset: 5,
    };
    await clock.advance(100);
    const claimed = await claim;
    t.is(claimed?.milliseconds, 1_600);
    t.is(claimed?.bytes, 20);
  });
});
