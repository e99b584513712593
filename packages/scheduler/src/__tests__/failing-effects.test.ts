/** Guards against an error in one effect that costs other effects, the next events or the process, or goes unnoticed. */
import { describe } from '@baobabdeck/test-tools';
import type { FleetEffect, ServiceEffect } from '@baobabdeck/scheduling';
import { NO_MEASURES } from '../measure/no-measures.js';
import { createOwnerLoad } from '../measure/owner-load.js';
import { createReducerLoop } from '../owner/reducer-loop.js';
import { createServiceOwner } from '../owner/service-owner.js';
import type { Store } from '../ports/index.js';
import { createErrorReporter, guardWorkers } from '../unexpected-errors/index.js';
import {
  BROKEN,
  createEmptyStore,
  createRecorder,
  PARTITION,
  rejectLater,
  throwAtOnce,
  workersFailingWith,
  type Line,
} from './failing-ports.js';
import { requestOf } from './job-request.js';
import { createManualClock } from './manual-clock.js';
import { NO_OTHER_SERVICES } from './no-other-services.js';
import { SCHEDULING_PARAMETERS } from './scheduling-parameters.js';

/** Every kind of effect; a kind that is missing does not compile. */
const EFFECT_KINDS: Readonly<Record<ServiceEffect['kind'] | FleetEffect['kind'], true>> = {
  'store-records': true,
  'renew-lease': true,
  'start-run': true,
  'stop-run': true,
  'pace-run': true,
  'rewrite-request': true,
  'forward-job': true,
  'forward-cancellation': true,
  'find-unknown-jobs': true,
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
      others: NO_OTHER_SERVICES,
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
      others: NO_OTHER_SERVICES,
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
