/** Guards against taking one page of an inbox for all of it: jobs on later pages, and claims of newer owners. */
import { describe } from '@baobabdeck/test-tools';
import { selectJobStatus } from '@baobabdeck/scheduling';
import { NO_MEASURES } from '../measure/no-measures.js';
import { encodeRecord } from '../owner/record-codec.js';
import { createServiceOwner, type ServiceOwner } from '../owner/service-owner.js';
import type { LogPartition, Store, StoredKeyedRecord } from '../ports/index.js';
import { requestOf } from './job-request.js';
import { createManualClock, type ManualClock } from './manual-clock.js';
import { PUBLISHED_LIMITS } from './published-limits.js';
import { NO_OTHER_SERVICES } from './no-other-services.js';
import { SCHEDULING_PARAMETERS } from './scheduling-parameters.js';

const INBOX: LogPartition = { topic: 'keyed.inbox.0', partition: 0 };

/** A store whose inbox holds one accepted job per page after the claim; a read that waits takes a second. */
function createPagedStore(clock: ManualClock, jobIds: readonly string[]): Store {
  const inbox: readonly StoredKeyedRecord[] = jobIds
    .flatMap((jobId) => encodeRecord({ kind: 'job-accepted', request: requestOf(jobId) }))
    .map((record, index) => ({ ...record, offset: index + 1 }));
  const failed = { kind: 'failed' as const, detail: 'not expected' };
  return {
    append: () => Promise.resolve({ kind: 'stored', firstOffset: 0, nextOffset: 1 }),
    read: async (_partition, fromOffset, waitMilliseconds) => {
      if (waitMilliseconds > 0) await clock.sleep(1_000);
      const records = inbox.filter(({ offset }) => offset === fromOffset);
      const nextOffset = fromOffset + records.length;
      return { kind: 'read', records, nextOffset, hasMore: nextOffset <= inbox.length };
    },
    readNewest: () => Promise.resolve({ kind: 'read', records: [], nextOffset: 1 }),
    join: () => Promise.resolve(failed),
    leave: () => Promise.resolve(),
    listOwners: () => Promise.resolve(failed),
    partitionCount: 1,
    limits: PUBLISHED_LIMITS,
  };
}

async function claimService(clock: ManualClock, store: Store): Promise<ServiceOwner> {
  const owner = createServiceOwner({
    service: 'quotes',
    inbox: INBOX,
    member: 'm1',
    parameters: SCHEDULING_PARAMETERS,
    store,
    workers: {
      renewLease: () => Promise.resolve({ kind: 'unanswered', detail: 'no worker' }),
      startRun: () => Promise.resolve({ outcome: 'unanswered', clockMilliseconds: null }),
      stopRun: () => Promise.resolve('unanswered'),
      paceRun: () => Promise.resolve('unanswered'),
      closeConnections: () => undefined,
    },
    clock,
    writeEvent: () => undefined,
    measures: NO_MEASURES,
    others: NO_OTHER_SERVICES,
    requestHostList: () => undefined,
    onClaimed: () => undefined,
    onOwnershipEnded: () => undefined,
  });
  await clock.advance(0);
  return owner;
}

describe('an inbox of several pages', ({ it }) => {
  it('reads the inbox to its end before a job counts as unknown', async (t) => {
    const clock = createManualClock();
    const owner = await claimService(clock, createPagedStore(clock, ['a', 'b', 'c']));
    t.true(await owner.catchUp());
    const state = owner.state();
    t.is(
      state === null ? null : selectJobStatus(state, { name: 'quotes', address: 'quotes' }, 'c', null),
      'queued',
    );
    await owner.stop();
  });

  it('takes no page but the last one for a proof of ownership', async (t) => {
    const clock = createManualClock();
    const owner = await claimService(clock, createPagedStore(clock, ['a', 'b', 'c']));
    const claimedAt = clock.steadyNow();
    const provenAt: (number | undefined)[] = [];
    for (let page = 0; page < 3; page += 1) {
      await clock.advance(1_000);
      provenAt.push(owner.state()?.provenAt);
    }
    // Each read proves the ownership at the time at which it was sent.
    t.deepEqual(provenAt, [claimedAt, claimedAt, claimedAt + 2_000]);
    await owner.stop();
  });
});
