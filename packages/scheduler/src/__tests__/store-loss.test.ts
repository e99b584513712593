import { describe } from '@baobabdeck/test-tools';
import { watchStoreReadiness } from '../node/store-readiness.js';
import { watchStore } from '../node/watched-store.js';
import type { PeerResponse } from '../peers/messages.js';
import type { JoinOutcome, Store } from '../ports/index.js';
import { createManualClock } from './manual-clock.js';
import { createTestBackground } from './test-background.js';
import { PUBLISHED_LIMITS } from './published-limits.js';

function createStore(join: () => JoinOutcome): Store {
  const failed = { kind: 'failed' as const, detail: 'no' };
  return {
    append: () => Promise.resolve({ kind: 'unknown', detail: 'no' }),
    read: () => Promise.resolve(failed),
    readNewest: () => Promise.resolve(failed),
    join: () => Promise.resolve(join()),
    leave: () => Promise.resolve(),
    listOwners: () => Promise.resolve(failed),
    partitionCount: 12,
    limits: PUBLISHED_LIMITS,
  };
}

const JOINED: JoinOutcome = { kind: 'joined', generation: 1, partitions: [] };

describe('store contact', ({ it }) => {
  it('counts the store as lost more than 700 ms after its last answer, until the next answer', async (t) => {
    const clock = createManualClock();
    let answer: JoinOutcome = JOINED;
    const contact = watchStore(
      createStore(() => answer),
      clock,
    );
    await contact.store.join('g', 'm', [], 0);
    await clock.advance(700);
    t.false(contact.isLost());
    answer = { kind: 'failed', detail: 'status 503' };
    await contact.store.join('g', 'm', [], 0);
    await clock.advance(1);
    t.true(contact.isLost());
    answer = JOINED;
    await contact.store.join('g', 'm', [], 0);
    t.false(contact.isLost());
  });
});

describe('process without contact to the store', ({ it }) => {
  const isUnreadyGiven = async (answers: readonly (PeerResponse | null)[]): Promise<boolean> => {
    const clock = createManualClock();
    const storeReadiness = watchStoreReadiness({
      clock,
      background: createTestBackground(clock),
      isStoreLost: () => true,
      peers: () =>
        answers.map((_, index) => ({
          nodeName: String(index),
          peerAddress: 'p',
          incarnation: 'i',
          milliCores: 0,
        })),
      request: ({ nodeName }) => Promise.resolve(answers[Number(nodeName)] ?? null),
    });
    await clock.advance(250);
    storeReadiness.close();
    return storeReadiness.isUnready();
  };
  const storeContactAnswer = (isLost: boolean): PeerResponse => ({ kind: 'store-contact', isLost });

  it('sends callers away if the store answers another process', async (t) => {
    t.true(await isUnreadyGiven([storeContactAnswer(true), storeContactAnswer(false)]));
  });

  it('keeps its callers if the store is lost to every process that replies', async (t) => {
    t.false(await isUnreadyGiven([storeContactAnswer(true), storeContactAnswer(true), null]));
  });

  it('sends callers away if it reaches no other process', async (t) => {
    t.true(await isUnreadyGiven([null, null]));
  });
});
