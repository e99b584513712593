import { describe } from '@baobabdeck/test-tools';
import { watchStanding } from '../node/standing.js';
import { watchStore } from '../node/store-contact.js';
import type { PeerAnswer } from '../peers/messages.js';
import type { JoinOutcome, Store } from '../ports/index.js';
import { createManualClock } from './manual-clock.js';

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
  };
}

const JOINED: JoinOutcome = { kind: 'joined', generation: 1, places: [] };

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
  const isBetterElsewhereGiven = async (answers: readonly (PeerAnswer | null)[]): Promise<boolean> => {
    const clock = createManualClock();
    const peerStatus = watchStanding({
      clock,
      isStoreLost: () => true,
      peers: () =>
        answers.map((_, index) => ({
          nodeName: String(index),
          peerAddress: 'p',
          incarnation: 'i',
          milliCores: 0,
        })),
      ask: ({ nodeName }) => Promise.resolve(answers[Number(nodeName)] ?? null),
    });
    await clock.advance(250);
    peerStatus.close();
    return peerStatus.isBetterElsewhere();
  };
  const storeContactAnswer = (isLost: boolean): PeerAnswer => ({ kind: 'store-contact', isLost });

  it('sends callers away if the store answers another process', async (t) => {
    t.true(await isBetterElsewhereGiven([storeContactAnswer(true), storeContactAnswer(false)]));
  });

  it('keeps its callers if the store is lost to every process that replies', async (t) => {
    t.false(await isBetterElsewhereGiven([storeContactAnswer(true), storeContactAnswer(true), null]));
  });

  it('sends callers away if it reaches no other process', async (t) => {
    t.true(await isBetterElsewhereGiven([null, null]));
  });
});
