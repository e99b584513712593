import { describe } from '@baobabdeck/test-tools';
import { PLAIN_STEP, restoreService, type JobRequest, type ServiceState } from '@baobabdeck/scheduling';
import { createFrontend, type Frontend } from '../frontend/frontend.js';
import { decodeRecord } from '../owner/record-codec.js';
import type { ServiceOwner } from '../owner/service-owner.js';
import {
  parsePeerRequest,
  parsePeerResponse,
  type PeerRequest,
  type PeerResponse,
} from '../peers/messages.js';
import { createPeerRequestHandler } from '../peers/peer-request-handler.js';
import type { KeyedRecord, Queue } from '../ports/index.js';
import { PUBLISHED_LIMITS } from './published-limits.js';
import { createManualClock } from './manual-clock.js';
import { createTestBackground } from './test-background.js';
import { SCHEDULING_PARAMETERS } from './scheduling-parameters.js';

const QUEUE: Queue = {
  name: 'quotes',
  hostName: 'example',
  pathPrefix: '/quotes/',
  service: 'quotes',
  timeoutMilliseconds: 3_000,
  targetMilliseconds: 500,
  stretch: 2,
  priority: 0,
  maximumFailedRuns: 3,
  advice: null,
  isPublic: false,
};

interface Harness {
  readonly frontend: Frontend;
  readonly stored: KeyedRecord[];
  readonly requests: PeerRequest[];
}

/** Creates a front end whose owner answers every status request alike; `null` is an owner that does not answer. */
function createHarness(status: PeerResponse | null): Harness {
  const stored: KeyedRecord[] = [];
  const requests: PeerRequest[] = [];
  const request = (_subject: string, sent: PeerRequest): Promise<PeerResponse | null> => {
    requests.push(sent);
    return Promise.resolve(status);
  };
  const clock = createManualClock();
  const frontend = createFrontend({
    clock,
    background: createTestBackground(clock),
    writeEvent: () => undefined,
    writer: {
      append: (_inbox, records) => {
        stored.push(...records);
        return Promise.resolve({ kind: 'stored', firstOffset: 0, nextOffset: 1 });
      },
    },
    inboxOf: () => ({ topic: 'keyed.inbox.0', partition: 0 }),
    ownerClient: {
      requestOnce: request,
      requestUntil: request,
      requestFrom: () => Promise.resolve(null),
    },
    homes: {
      known: () => 'quotes',
      find: () => Promise.resolve({ kind: 'found', service: 'quotes' }),
      ensure: () => Promise.resolve('quotes'),
    },
    isStoreLost: () => false,
    storeLimits: PUBLISHED_LIMITS,
  });
  return { frontend, stored, requests };
}

describe('a job whose record exceeds the limit of the store', ({ it }) => {
  it('refuses a job above the record limit at once and stores nothing', async (t) => {
    const { frontend, stored } = createHarness(null);
    const steps = Array.from({ length: 1_000 }, () => PLAIN_STEP);
    const job = { jobId: 'a', specification: 's', steps, repetition: null };
    const answer = await frontend.submit(QUEUE, job, 1_000, null);
    t.like(answer, { kind: 'too-large' });
    t.regex(
      answer.kind === 'too-large' ? answer.detail : '',
      /^steps: expected .* 262144 bytes .* found \d{6}$/,
    );
    t.deepEqual(stored, []);
  });
});

describe('a job of a workspace', ({ it }) => {
  it('is stored with the name of its workspace', async (t) => {
    const { frontend, stored } = createHarness(null);
    const job = { jobId: 'a', specification: 's', steps: [PLAIN_STEP], repetition: null };
    await frontend.submit(QUEUE, job, 1_000, 'red');
    const [record] = stored;
    const decoded = record === undefined ? null : decodeRecord({ ...record, offset: 1 });
    const request: Partial<JobRequest> = { jobId: 'a', workspace: 'red' };
    t.like(decoded, { record: { record: { kind: 'job-accepted', request } } });
  });

  it('is asked for and cancelled with the workspace of the caller', async (t) => {
    const { frontend, requests } = createHarness({
      kind: 'job-status',
      status: 'queued',
      failureReason: null,
    });
    t.is((await frontend.cancel(QUEUE, 'a', 1_000, 'red')).kind, 'cancelled');
    t.deepEqual(
      requests.map((request) => [request.kind, 'workspace' in request ? request.workspace : 'absent']),
      [
        ['job-status', 'red'],
        ['job-cancelled', 'red'],
      ],
    );
  });

  it('is unknown to the caller if its owner says so, and no cancellation is stored', async (t) => {
    const { frontend, stored } = createHarness({ kind: 'unknown-job' });
    t.is((await frontend.cancel(QUEUE, 'a', 1_000, 'blue')).kind, 'unknown-job');
    t.is((await frontend.getJobStatus(QUEUE, 'a', 1_000, 'blue')).kind, 'unknown-job');
    t.deepEqual(stored, []);
  });

  it('has no reason of its failure from an owner of an earlier version', (t) => {
    const response = parsePeerResponse({ kind: 'job-status', status: 'failed' });
    t.deepEqual(response, { kind: 'job-status', status: 'failed', failureReason: null });
  });

  it('is not cancelled while its owner cannot confirm the workspace of the caller', async (t) => {
    const { frontend, stored } = createHarness(null);
    t.is((await frontend.cancel(QUEUE, 'a', 1_000, 'blue')).kind, 'unavailable');
    t.deepEqual(stored, []);
  });

  it('is cancelled without its owner if the call needs no key, as without workspaces', async (t) => {
    const { frontend, stored } = createHarness(null);
    t.is((await frontend.cancel(QUEUE, 'a', 1_000, null)).kind, 'cancelled');
    t.is(stored.length, 1);
  });
});

const JOB: JobRequest = {
  jobId: 'a',
  service: 'quotes',
  queue: 'quotes',
  queueAddress: 'example/quotes/',
  workspace: 'red',
  specification: 's',
  steps: [PLAIN_STEP],
  repetition: null,
  priority: 0,
  maximumFailedRuns: 1,
  stretch: 1,
  targetMilliseconds: 0,
  advice: null,
  ageMilliseconds: 0,
  acceptedAt: new Date(1_000),
};

/** Returns the state of an owner that has restored the job. */
function stateWithJob(): ServiceState {
  return restoreService({
    service: 'quotes',
    parameters: SCHEDULING_PARAMETERS,
    fencingEpoch: 1,
    now: 1_000,
    timeOfDay: new Date(1_000),
    claimedAt: 1_000,
    provenAt: 1_000,
    records: [{ offset: 1, record: { kind: 'job-accepted', request: JOB } }],
  }).state;
}

describe('the owner of a service', ({ it }) => {
  const ask = async (request: PeerRequest): Promise<readonly [kind: string, dispatched: number]> => {
    const state = stateWithJob();
    let dispatched = 0;
    const owner: ServiceOwner = {
      service: 'quotes',
      inbox: { topic: 'keyed.inbox.0', partition: 0 },
      state: () => state,
      dispatch: () => {
        dispatched += 1;
      },
      select: () => null,
      catchUp: () => Promise.resolve(true),
      stop: () => Promise.resolve(),
    };
    const handle = createPeerRequestHandler({
      clock: createManualClock(),
      ownerOf: () => owner,
      fleet: () => null,
      remoteFleetOwner: () => null,
      handOverFleet: () => undefined,
      isStoreLost: () => false,
      recordMember: () => undefined,
      takeRelayOffer: () => false,
    });
    return [(await handle(request)).kind, dispatched];
  };
  const subject = { service: 'quotes', jobId: 'a' };
  const queue = { queue: 'quotes', queueAddress: 'example/quotes/' };

  it('tells the status of a job to its workspace and to calls that need no key', async (t) => {
    for (const workspace of ['red', null]) {
      const request = { kind: 'job-status' as const, ...subject, ...queue, workspace };
      t.deepEqual(await ask(request), ['job-status', 0]);
    }
  });

  it('does not know the job when another workspace asks for it', async (t) => {
    const request = { kind: 'job-status' as const, ...subject, ...queue, workspace: 'blue' };
    t.deepEqual(await ask(request), ['unknown-job', 0]);
  });

  it('does not carry out a cancellation by another workspace', async (t) => {
    t.deepEqual(await ask({ kind: 'job-cancelled', ...subject, workspace: 'blue' }), ['unknown-job', 0]);
    t.deepEqual(await ask({ kind: 'job-cancelled', ...subject, workspace: 'red' }), ['cancel-noted', 1]);
  });
});

describe('a message of an earlier version', ({ it }) => {
  it('without a workspace is read as one of a call that needs no key', (t) => {
    const request = { kind: 'job-status', service: 'quotes', queue: 'quotes', jobId: 'a' };
    t.like(parsePeerRequest(request), { workspace: null });
  });

  it('without the address of the queue is read as one that names the queue', (t) => {
    const request = { kind: 'pending-count', service: 'quotes', queue: 'quotes' };
    t.like(parsePeerRequest(request), { queue: 'quotes', queueAddress: null });
  });
});
