import type { WorkerListing } from '@baobabdeck/scheduling';
import { describe } from '@baobabdeck/test-tools';
import { followRegister } from '../node/register.js';
import type { RegisterReadOutcome } from '../ports/index.js';
import { createHandClock } from './hand-clock.js';

const WORKER: WorkerListing = {
  workerId: 'w1',
  incarnation: 1,
  hostId: 'h1',
  pool: 'quotes',
  address: 'a1',
  dataCentre: 'west',
  isDraining: false,
  capacity: { milliCores: 1_000, memoryMegabytes: 1_000, accelerators: 0 },
  labels: [],
  rack: 'r1',
  clockMilliseconds: 0,
};

const IDLE_MILLISECONDS = 100;
const LOOK_MILLISECONDS = 400;

describe('the register of workers', ({ it }) => {
  it('is not told from a look before a time in which nobody needed it', async (t) => {
    const clock = createHandClock();
    let isNeeded = true;
    let answer: RegisterReadOutcome = {
      kind: 'read',
      changes: [{ kind: 'listed', listing: WORKER }],
      nextOffset: 1,
    };
    const register = followRegister(
      { readNewest: () => Promise.resolve(answer), read: () => Promise.resolve(answer) },
      clock,
      () => isNeeded,
      () => undefined,
    );
    await clock.pass(0);
    t.deepEqual(register.workersOf('quotes'), [WORKER]);
    isNeeded = false;
    answer = { kind: 'read', changes: [{ kind: 'removed', workerId: 'w1' }], nextOffset: 2 };
    await clock.pass(LOOK_MILLISECONDS);
    await clock.pass(60_000);
    t.is(register.workersOf('quotes'), null);
    isNeeded = true;
    await clock.pass(IDLE_MILLISECONDS);
    t.deepEqual(register.workersOf('quotes'), []);
    register.close();
  });

  it('is not told from a look before the store was lost', async (t) => {
    const clock = createHandClock();
    let answer: RegisterReadOutcome = { kind: 'read', changes: [], nextOffset: 1 };
    const register = followRegister(
      { readNewest: () => Promise.resolve(answer), read: () => Promise.resolve(answer) },
      clock,
      () => true,
      () => undefined,
    );
    await clock.pass(0);
    answer = { kind: 'failed', detail: 'status 503' };
    await clock.pass(LOOK_MILLISECONDS);
    t.deepEqual(register.workersOf('quotes'), []);
    await clock.pass(2 * LOOK_MILLISECONDS);
    t.is(register.workersOf('quotes'), null);
    register.close();
  });
});
