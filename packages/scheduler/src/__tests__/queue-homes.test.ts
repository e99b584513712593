import { describe } from '@baobabdeck/test-tools';
import { createQueueHomes, type QueueHomes } from '../frontend/queue-homes.js';
import type {
  AppendOutcome,
  AppendRequest,
  Queue,
  ReadNewestOutcome,
  StoredKeyedRecord,
} from '../ports/index.js';
import { createManualClock, type ManualClock } from './manual-clock.js';

const QUEUE: Queue = {
  name: 'quotes',
  hostName: 'example',
  pathPrefix: '/quotes/',
  service: 'luthier',
  timeoutMilliseconds: 3_000,
  targetMilliseconds: 500,
  stretch: 2,
  priority: 0,
  maximumFailedRuns: 3,
  advice: null,
  isPublic: false,
};

const MOVED_QUEUE: Queue = { ...QUEUE, name: 'other-name', service: 'restorer' };

const RETRY_MILLISECONDS = 100;

/** Answers of a store to the next appends; once they are used up, appends are carried out. */
type Answer = 'lost' | 'refused';

interface Scene {
  readonly clock: ManualClock;
  /** Creates the homes of one more process. */
  readonly createProcess: () => QueueHomes;
  readonly answers: Answer[];
  readonly reads: () => number;
  readonly appends: () => number;
  isDown: boolean;
}

function createScene(): Scene {
  const clock = createManualClock();
  const records: StoredKeyedRecord[] = [];
  const answers: Answer[] = [];
  let reads = 0;
  let appends = 0;
  const carryOut = ({ records: added, expectedEnd }: AppendRequest): AppendOutcome => {
    if (expectedEnd !== null && expectedEnd !== records.length) {
      return { kind: 'moved', nextOffset: records.length };
    }
    const firstOffset = records.length;
    added.forEach((record) => records.push({ ...record, offset: records.length }));
    return { kind: 'stored', firstOffset, nextOffset: records.length };
  };
  const scene: Scene = {
    clock,
    answers,
    isDown: false,
    reads: () => reads,
    appends: () => appends,
    createProcess: () =>
      createQueueHomes({
        clock,
        writeEvent: () => undefined,
        isStoreLost: () => false,
        store: {
          readNewest: (): Promise<ReadNewestOutcome> => {
            reads += 1;
            if (scene.isDown) return Promise.resolve({ kind: 'failed', detail: 'down' });
            return Promise.resolve({ kind: 'read', records: [...records], nextOffset: records.length });
          },
          append: (request) => {
            appends += 1;
            const answer = answers.shift();
            if (answer === 'refused') return Promise.resolve({ kind: 'refused', detail: 'busy' });
            const outcome = carryOut(request);
            return Promise.resolve(answer === 'lost' ? { kind: 'unknown', detail: 'lost' } : outcome);
          },
        },
      }),
  };
  return scene;
}

/** Lets the calls under way end, and those be repeated that failed. */
async function retry(clock: ManualClock): Promise<void> {
  await clock.advance(0);
  await clock.advance(RETRY_MILLISECONDS);
}

describe('the homes of queues', ({ it }) => {
  it('records the present service of a queue without a home', async (t) => {
    const { createProcess } = createScene();
    const homes = createProcess();
    t.is(await homes.ensure(QUEUE, Infinity), 'luthier');
    t.is(homes.known(QUEUE), 'luthier');
  });

  it('keeps the first service when the queue has another name and another service', async (t) => {
    const { createProcess } = createScene();
    await createProcess().ensure(QUEUE, Infinity);
    const later = createProcess();
    t.is(await later.ensure(MOVED_QUEUE, Infinity), 'luthier');
    t.deepEqual(await later.find(MOVED_QUEUE, 0), { kind: 'found', service: 'luthier' });
  });

  it('agrees on one home among processes that use different versions at the same time', async (t) => {
    const { createProcess, clock } = createScene();
    const [former, present] = [createProcess(), createProcess()];
    const found = Promise.all([former.ensure(QUEUE, Infinity), present.ensure(MOVED_QUEUE, Infinity)]);
    await retry(clock);
    t.is(new Set(await found).size, 1);
  });

  it('finds its own record after the answer to the append was lost', async (t) => {
    const { createProcess, clock, answers } = createScene();
    answers.push('lost');
    const found = createProcess().ensure(QUEUE, Infinity);
    await retry(clock);
    t.is(await found, 'luthier');
  });

  it('gives up at the deadline while the store refuses the record', async (t) => {
    const { createProcess, clock, answers } = createScene();
    answers.push('refused', 'refused');
    const found = createProcess().ensure(QUEUE, clock.steadyNow() + RETRY_MILLISECONDS / 2);
    await retry(clock);
    t.is(await found, null);
  });

  it('makes no call for a queue whose home it knows', async (t) => {
    const { createProcess, reads, appends } = createScene();
    const homes = createProcess();
    await Promise.all([homes.ensure(QUEUE, Infinity), homes.ensure(QUEUE, Infinity)]);
    await homes.ensure(QUEUE, Infinity);
    await homes.find(QUEUE, 0);
    t.deepEqual([reads(), appends()], [1, 1]);
  });

  it('tells a queue without a home from a store that does not answer', async (t) => {
    const scene = createScene();
    const homes = scene.createProcess();
    t.deepEqual(await homes.find(QUEUE, 0), { kind: 'none' });
    scene.isDown = true;
    await scene.clock.advance(1);
    t.deepEqual(await homes.find(QUEUE, 0), { kind: 'unavailable' });
  });
});
