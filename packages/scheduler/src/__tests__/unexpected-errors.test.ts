/** Guards against an error in one effect that ends the process, stops a repeated activity or goes unnoticed. */
import { describe } from '@baobabdeck/test-tools';
import type { LogFields } from '@baobabdeck/observability';
import type { FleetEffect, ServiceEffect } from '@baobabdeck/scheduling';
import { NO_MEASURES } from '../measure/no-measures.js';
import { createOwnerLoad } from '../measure/owner-load.js';
import { createReducerLoop } from '../owner/reducer-loop.js';
import { createServiceOwner } from '../owner/service-owner.js';
import type { HostService, LogPartition, PeerNetwork, Store, WorkerOrders } from '../ports/index.js';
import {
  createBackgroundWork,
  createErrorReporter,
  guardHosts,
  guardPeers,
  guardStore,
  guardWorkers,
  type ReportUnexpectedError,
} from '../unexpected-errors/index.js';
import { requestOf } from './job-request.js';
import { createManualClock } from './manual-clock.js';
import { PUBLISHED_LIMITS } from './published-limits.js';
import { SCHEDULING_PARAMETERS } from './scheduling-parameters.js';

interface Line extends LogFields {
  readonly event: string;
}

interface Recorder {
  readonly lines: readonly Line[];
  readonly write: (event: string, fields?: LogFields) => void;
  readonly report: ReportUnexpectedError;
}

function createRecorder(): Recorder {
  const lines: Line[] = [];
  const write = (event: string, fields: LogFields = {}): void => {
    lines.push({ ...fields, event });
  };
  return { lines, write, report: createErrorReporter(write) };
}

const BROKEN = new Error('broken');

/** Throws at once, as a library does on a malformed argument. */
function throwAtOnce(): never {
  throw BROKEN;
}

function rejectLater(): Promise<never> {
  return Promise.reject(BROKEN);
}

const FAILURES = [
  ['throws', throwAtOnce],
  ['rejects', rejectLater],
] as const;

const PARTITION: LogPartition = { topic: 'keyed.inbox.0', partition: 0 };
const TASK = { jobId: '00000000000000ab', occurrence: 0, step: 0, index: 0 };
const ORDER = { workerId: 'w1', address: 'a1', fencingEpoch: 1 };
const RUN = { ...ORDER, task: TASK, run: 1 };
const START = { ...RUN, specification: '', leaseUntil: 1, checkpoint: '', ticket: null };
const RENEWAL = { ...ORDER, leaseUntil: 1, acknowledgedEnd: 0, waitMilliseconds: 0 };
const HOST_ORDER = { hostId: 'h1', holder: 'n1', fencingEpoch: 1 };
const APPEND = { partition: PARTITION, records: [], producer: null, expectedEnd: null };

function workersFailingWith(fail: () => never | Promise<never>): WorkerOrders {
  return { renewLease: fail, startRun: fail, stopRun: fail, paceRun: fail, closeConnections: throwAtOnce };
}

function storeFailingWith(fail: () => never | Promise<never>): Store {
  return {
    append: fail,
    read: fail,
    readNewest: fail,
    join: fail,
    leave: fail,
    listOwners: fail,
    partitionCount: 1,
    limits: PUBLISHED_LIMITS,
  };
}

function hostsFailingWith(fail: () => never | Promise<never>): HostService {
  return { list: fail, move: fail, maintain: fail };
}

function peersFailingWith(fail: () => never | Promise<never>): PeerNetwork {
  return {
    listen: async (handler) => String(await handler({})),
    request: fail,
    keepOnly: () => undefined,
    close: () => undefined,
  };
}

/** A call to a port: the activity that its log line names, the call and the outcome of a call that fails. */
type GuardedCall = readonly [
  activity: string,
  call: (fail: () => never | Promise<never>, report: ReportUnexpectedError) => Promise<unknown>,
  outcome: unknown,
];

const FAILED = { kind: 'failed', detail: 'unexpected error' };

const CALLS: readonly GuardedCall[] = [
  [
    'renew-lease',
    (fail, report) => guardWorkers(workersFailingWith(fail), report).renewLease(RENEWAL),
    { kind: 'unanswered', detail: 'unexpected error' },
  ],
  [
    'start-run',
    (fail, report) => guardWorkers(workersFailingWith(fail), report).startRun(START),
    { outcome: 'unanswered', clockMilliseconds: null },
  ],
  ['stop-run', (fail, report) => guardWorkers(workersFailingWith(fail), report).stopRun(RUN), 'unanswered'],
  [
    'pace-run',
    (fail, report) => guardWorkers(workersFailingWith(fail), report).paceRun({ ...RUN, percent: 50 }),
    'unanswered',
  ],
  [
    'close-connections',
    (fail, report) => {
      guardWorkers(workersFailingWith(fail), report).closeConnections('a1');
      return Promise.resolve(null);
    },
    null,
  ],
  [
    'append',
    (fail, report) => guardStore(storeFailingWith(fail), report).append(APPEND),
    { kind: 'unknown', detail: 'unexpected error' },
  ],
  ['read', (fail, report) => guardStore(storeFailingWith(fail), report).read(PARTITION, 0, 0), FAILED],
  ['read-newest', (fail, report) => guardStore(storeFailingWith(fail), report).readNewest(PARTITION), FAILED],
  ['join', (fail, report) => guardStore(storeFailingWith(fail), report).join('g', 'm', [], 0), FAILED],
  ['leave', (fail, report) => guardStore(storeFailingWith(fail), report).leave('g', 'm'), undefined],
  ['list-owners', (fail, report) => guardStore(storeFailingWith(fail), report).listOwners('g'), FAILED],
  ['list-hosts', (fail, report) => guardHosts(hostsFailingWith(fail), report).list(), FAILED],
  [
    'move-host',
    (fail, report) => guardHosts(hostsFailingWith(fail), report).move({ ...HOST_ORDER, pool: 'quotes' }),
    'unanswered',
  ],
  [
    'maintain-host',
    (fail, report) => guardHosts(hostsFailingWith(fail), report).maintain({ ...HOST_ORDER, wave: 1 }),
    'unanswered',
  ],
  ['request-peer', (fail, report) => guardPeers(peersFailingWith(fail), report).request('a1', {}, 1), null],
  ['answer-peer', (fail, report) => guardPeers(peersFailingWith(fail), report).listen(fail), 'null'],
];

describe('a call to a port that fails unexpectedly', ({ describe: within }) => {
  CALLS.forEach(([activity, call, outcome]) => {
    within(activity, ({ it }) => {
      FAILURES.forEach(([failure, fail]) => {
        it(`returns its failure outcome and writes one log line if it ${failure}`, async (t) => {
          const { lines, report } = createRecorder();
          t.deepEqual(await call(fail, report), outcome);
          t.deepEqual(
            lines.map((line) => [line.event, line.activity, line.err]),
            [['unexpectedError', activity, BROKEN]],
          );
        });
      });
    });
  });
});

describe('background work that fails unexpectedly', ({ it }) => {
  it('reports the error of background work and calls its failure handler', async (t) => {
    const { lines, report } = createRecorder();
    const clock = createManualClock();
    let failures = 0;
    createBackgroundWork(clock, report).start('claim', rejectLater, () => {
      failures += 1;
    });
    await clock.advance(0);
    t.is(failures, 1);
    t.deepEqual(lines, [{ event: 'unexpectedError', activity: 'claim', err: BROKEN }]);
  });

  it('repeats background work after a pause when a step has failed', async (t) => {
    const { lines, report } = createRecorder();
    const clock = createManualClock();
    let steps = 0;
    const step = async (): Promise<void> => {
      steps += 1;
      if (steps === 1) throwAtOnce();
      await clock.sleep(1_000);
    };
    createBackgroundWork(clock, report).repeat('tick', () => steps < 3, step);
    await clock.advance(0);
    t.is(steps, 1);
    await clock.advance(100);
    t.is(steps, 2);
    await clock.advance(1_000);
    t.is(steps, 3);
    t.is(lines.length, 1);
  });
});

/** Every kind of effect; a kind that is missing does not compile. */
const EFFECT_KINDS: Readonly<Record<ServiceEffect['kind'] | FleetEffect['kind'], true>> = {
  'store-records': true,
  'renew-lease': true,
  'start-run': true,
  'stop-run': true,
  'pace-run': true,
  'list-hosts': true,
  'store-fleet-records': true,
  'order-host': true,
  'tell-wave-status': true,
  'give-up-ownership': true,
  log: true,
};

interface LoopRun {
  readonly performed: readonly string[];
  readonly processedEvents: number;
  readonly lines: readonly Line[];
}

/** Processes two events, each with an effect of every kind. The effect of one kind fails in the first event. */
function runWithFailingEffect(failingKind: string): LoopRun {
  const { lines, write, report } = createRecorder();
  const clock = createManualClock();
  const performed: string[] = [];
  const logFields = { service: 'quotes' };
  const loop = createReducerLoop({
    initial: 0,
    *reduce(state: number, { kind: event }: { readonly kind: string }) {
      for (const kind of Object.keys(EFFECT_KINDS)) yield { kind, event };
      return state + 1;
    },
    perform: ({ kind, event }: { readonly kind: string; readonly event: string }) => {
      if (kind === failingKind && event === 'first') throwAtOnce();
      performed.push(`${event} ${kind}`);
    },
    clock,
    reportError: report,
    load: createOwnerLoad({
      clock,
      writeEvent: write,
      measures: NO_MEASURES,
      logFields,
      queueStatistics: () => ({}),
    }),
    logFields,
  });
  loop.dispatch({ kind: 'first' });
  loop.dispatch({ kind: 'second' });
  return { performed, processedEvents: loop.state(), lines };
}

describe('an effect of each kind that fails unexpectedly', ({ it }) => {
  const kinds = Object.keys(EFFECT_KINDS);

  kinds.forEach((failingKind) => {
    it(`costs ${failingKind} alone, and is logged once with its kind and its owner`, (t) => {
      const { performed, processedEvents, lines } = runWithFailingEffect(failingKind);
      const expected = ['first', 'second'].flatMap((event) => kinds.map((kind) => `${event} ${kind}`));
      t.deepEqual(
        performed,
        expected.filter((one) => one !== `first ${failingKind}`),
      );
      t.is(processedEvents, 2);
      t.deepEqual(lines, [
        { event: 'unexpectedError', activity: failingKind, err: BROKEN, service: 'quotes' },
      ]);
    });
  });
});

describe('an effect of an owner that fails unexpectedly', ({ it }) => {
  it('performs the other effects and the next events when one effect fails', (t) => {
    const { lines, write, report } = createRecorder();
    const clock = createManualClock();
    const performed: string[] = [];
    const logFields = { service: 'quotes' };
    const loop = createReducerLoop({
      initial: 0,
      *reduce(state: number, { kind }: { readonly kind: string }) {
        yield { kind: `${kind}-1` };
        yield { kind: `${kind}-2` };
        return state + 1;
      },
      perform: ({ kind }: { readonly kind: string }) => {
        if (kind === 'first-1') throwAtOnce();
        performed.push(kind);
      },
      clock,
      reportError: report,
      load: createOwnerLoad({
        clock,
        writeEvent: write,
        measures: NO_MEASURES,
        logFields,
        queueStatistics: () => ({}),
      }),
      logFields,
    });
    loop.dispatch({ kind: 'first' });
    loop.dispatch({ kind: 'second' });
    t.deepEqual(performed, ['first-2', 'second-1', 'second-2']);
    t.is(loop.state(), 2);
    t.deepEqual(lines, [{ event: 'unexpectedError', activity: 'first-1', err: BROKEN, service: 'quotes' }]);
  });

  it('sends orders to the other workers when the order to one worker fails', async (t) => {
    const { lines, write } = createRecorder();
    const clock = createManualClock();
    const renewed: string[] = [];
    const answering = guardWorkers(workersFailingWith(rejectLater), createErrorReporter(write));
    const owner = createServiceOwner({
      service: 'quotes',
      inbox: PARTITION,
      member: 'm1',
      parameters: SCHEDULING_PARAMETERS,
      store: createEmptyStore(clock.sleep),
      workers: {
        ...answering,
        renewLease: (order) => {
          renewed.push(order.workerId);
          return order.workerId === 'broken' ? throwAtOnce() : answering.renewLease(order);
        },
      },
      clock,
      writeEvent: write,
      measures: NO_MEASURES,
      requestHostList: () => undefined,
      onClaimed: () => undefined,
      onOwnershipEnded: () => t.fail('the ownership ended'),
    });
    await clock.advance(0);
    owner.dispatch({
      kind: 'workers-listed',
      workers: ['broken', 'sound'].map((workerId) => ({
        workerId,
        incarnation: 1,
        hostId: workerId,
        pool: 'quotes',
        address: workerId,
        dataCentre: 'west',
        isDraining: false,
        capacity: { milliCores: 1_000, memoryMegabytes: 1_000, accelerators: 0 },
        labels: ['kind', 'r1'],
        rack: 'r1',
        clockMilliseconds: 0,
      })),
    });
    await clock.advance(0);
    for (let step = 0; step < 20; step += 1) await clock.advance(100);
    t.true(renewed.filter((workerId) => workerId === 'sound').length > 1);
    t.true(lines.some(({ activity, service }) => activity === 'renew-lease' && service === 'quotes'));
    t.not(owner.state(), null);
    void owner.stop();
  });
});

describe('an error while the records of an owner are encoded', ({ it }) => {
  it('gives up a service whose records cannot be encoded', async (t) => {
    const { lines, write } = createRecorder();
    const clock = createManualClock();
    let isEnded = false;
    const store: Store = {
      ...createEmptyStore(clock.sleep),
      get limits() {
        return throwAtOnce();
      },
    };
    const owner = createServiceOwner({
      service: 'quotes',
      inbox: PARTITION,
      member: 'm1',
      parameters: SCHEDULING_PARAMETERS,
      store,
      workers: workersFailingWith(rejectLater),
      clock,
      writeEvent: write,
      measures: NO_MEASURES,
      requestHostList: () => undefined,
      onClaimed: () => undefined,
      onOwnershipEnded: (shouldReclaim) => {
        isEnded = !shouldReclaim;
      },
    });
    await clock.advance(0);
    owner.dispatch({
      kind: 'records-read',
      records: [
        { offset: 1, record: { kind: 'job-accepted', request: requestOf('a') } },
        { offset: 2, record: { kind: 'job-cancelled', jobId: 'a' } },
      ],
      askedAt: clock.steadyNow(),
    });
    await clock.advance(0);
    t.true(isEnded);
    t.is(owner.state(), null);
    t.true(lines.some(({ activity, err }) => activity === 'store-records' && err === BROKEN));
  });
});

/** Creates a store with empty logs in which every append succeeds. */
function createEmptyStore(sleep: (milliseconds: number) => Promise<void>): Store {
  return {
    ...storeFailingWith(rejectLater),
    append: () => Promise.resolve({ kind: 'stored', firstOffset: 0, nextOffset: 1 }),
    readNewest: () => Promise.resolve({ kind: 'read', records: [], nextOffset: 1 }),
    read: async () => {
      await sleep(200);
      return { kind: 'read', records: [], nextOffset: 1, hasMore: false };
    },
  };
}
