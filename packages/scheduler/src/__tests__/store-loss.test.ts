import { describe } from '@baobabdeck/test-tools';
import { watchStoreReadiness } from '../node/store-readiness.js';
import { watchStore } from '../node/watched-store.js';
import type { PeerResponse } from '../peers/messages.js';
import type { JoinOutcome, Store } from '../ports/index.js';
import { createHandClock } from './hand-clock.js';

function storeThat(join: () => JoinOutcome): Store {
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

const JOINED: JoinOutcome = { kind: 'joined', generation: 1, partitions: [] };

describe('the store', ({ it }) => {
  it('counts as lost a moment after its last answer, and is back with the next', async (t) => {
    const clock = createHandClock();
    let answer: JoinOutcome = JOINED;
    const contact = watchStore(
      storeThat(() => answer),
      clock,
    );
    await contact.store.join('g', 'm', [], 0);
    await clock.pass(700);
    t.false(contact.isLost());
    answer = { kind: 'failed', detail: 'status 503' };
    await contact.store.join('g', 'm', [], 0);
    await clock.pass(1);
    t.true(contact.isLost());
    answer = JOINED;
    await contact.store.join('g', 'm', [], 0);
    t.false(contact.isLost());
  });
});

describe('a process that the store does not answer', ({ it }) => {
  const standingWith = async (answers: readonly (PeerResponse | null)[]): Promise<boolean> => {
    const clock = createHandClock();
    const standing = watchStoreReadiness({
      clock,
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
    await clock.pass(250);
    standing.close();
    return standing.isUnready();
  };
  const told = (isLost: boolean): PeerResponse => ({ kind: 'store-contact', isLost });

  it('sends callers away where another one is answered', async (t) => {
    t.true(await standingWith([told(true), told(false)]));
  });

  it('keeps its callers where nobody is answered', async (t) => {
    t.false(await standingWith([told(true), told(true), null]));
  });

  it('sends callers away where it reaches nobody', async (t) => {
    t.true(await standingWith([null, null]));
  });
});
