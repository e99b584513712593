import { describe } from '@baobabdeck/test-tools';
import { createLayoutManager } from '../node/layout-manager.js';
import type { QueueConfiguration, StoredKeyedRecord } from '../ports/index.js';
import { createEmptyStore } from './failing-ports.js';
import { createManualClock } from './manual-clock.js';
import { createTestBackground } from './test-background.js';

const CONFIGURATION: QueueConfiguration = {
  version: 1,
  queues: [],
  services: [{ name: 'quotes', isStandby: false, refusesOverload: true }],
  workspaces: [],
  limits: {
    headerBytes: 1_000,
    bodyBytes: 1_000,
    headerTimeoutMilliseconds: 1_000,
    idleTimeoutMilliseconds: 1_000,
  },
};

describe('the layout manager', ({ it }) => {
  it('loses no inbox that is assigned while an older read is under way', async (t) => {
    const clock = createManualClock();
    const stored: StoredKeyedRecord[] = [];
    const delayed: (() => void)[] = [];
    let isFirstRead = true;
    const manager = createLayoutManager(
      {
        ...createEmptyStore(clock.sleep),
        readNewest: () => {
          const outcome = { kind: 'read' as const, records: [...stored], nextOffset: stored.length };
          if (!isFirstRead) return Promise.resolve(outcome);
          isFirstRead = false;
          return new Promise((resolve) => {
            delayed.push(() => resolve(outcome));
          });
        },
        append: ({ records }) => {
          records.forEach((record) => stored.push({ ...record, offset: stored.length }));
          return Promise.resolve({ kind: 'stored', firstOffset: 0, nextOffset: stored.length });
        },
      },
      clock,
      createTestBackground(clock),
    );
    t.is(manager.findInbox('service/quotes'), null);
    manager.ensureInboxes(CONFIGURATION);
    await clock.advance(0);
    t.not(manager.findInbox('service/quotes'), null);
    delayed.forEach((answer) => answer());
    await clock.advance(0);
    t.not(manager.findInbox('service/quotes'), null);
  });
});
