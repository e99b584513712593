/** Guards against an error in one call or activity that ends the process, stops a repeated activity or goes unnoticed. */
import { describe } from '@baobabdeck/test-tools';
import type { HostService, PeerNetwork } from '../ports/index.js';
import {
  createBackgroundWork,
  guardHosts,
  guardPeers,
  guardStore,
  guardWorkers,
  type ReportUnexpectedError,
} from '../unexpected-errors/index.js';
import {
  BROKEN,
  createRecorder,
  PARTITION,
  rejectLater,
  storeFailingWith,
  throwAtOnce,
  workersFailingWith,
} from './failing-ports.js';
import { createManualClock } from './manual-clock.js';

const FAILURES = [
  ['throws', throwAtOnce],
  ['rejects', rejectLater],
] as const;

const TASK = { jobId: '00000000000000ab', occurrence: 0, step: 0, index: 0 };
const ORDER = { workerId: 'w1', address: 'a1', fencingEpoch: 1 };
const RUN = { ...ORDER, task: TASK, run: 1 };
const START = { ...RUN, specification: '', leaseUntil: 1, checkpoint: '', ticket: null };
const RENEWAL = { ...ORDER, leaseUntil: 1, acknowledgedEnd: 0, waitMilliseconds: 0 };
const HOST_ORDER = { hostId: 'h1', holder: 'n1', fencingEpoch: 1 };
const APPEND = { partition: PARTITION, records: [], producer: null, expectedEnd: null };

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
