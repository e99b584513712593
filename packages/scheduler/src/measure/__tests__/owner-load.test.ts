import type { LogFields } from '@baobabdeck/observability';
import { describe } from '@baobabdeck/test-tools';
import { createReducerLoop } from '../../owner/reducer-loop.js';
import { openJournal } from '../../owner/owned-journal.js';
import type { AppendOutcome, Store } from '../../ports/index.js';
import { NO_MEASURES } from '../no-measures.js';
import { createOwnerLoad, type OwnerLoad } from '../owner-load.js';
import { createErrorReporter } from '../../unexpected-errors/index.js';
import { createManualClock, type ManualClock } from '../../__tests__/manual-clock.js';
import { PUBLISHED_LIMITS } from '../../__tests__/published-limits.js';

interface Line extends LogFields {
  readonly event: string;
}

interface Fixture {
  readonly clock: ManualClock;
  readonly load: OwnerLoad;
  readonly lines: readonly Line[];
  readonly write: (event: string, fields?: LogFields) => void;
  readonly recordedEvents: readonly (readonly [kind: string, milliseconds: number])[];
}

function createFixture(): Fixture {
  const clock = createManualClock();
  const lines: Line[] = [];
  const recordedEvents: [string, number][] = [];
  const write = (event: string, fields: LogFields = {}): void => {
    lines.push({ ...fields, event });
  };
  const load = createOwnerLoad({
    clock,
    writeEvent: write,
    measures: {
      ...NO_MEASURES,
      ownerEvent: (kind, milliseconds) => recordedEvents.push([kind, milliseconds]),
      busyMilliseconds: () => clock.steadyNow() / 2,
    },
    logFields: { service: 'quotes' },
    queueStatistics: () => ({ waitingTasks: 7 }),
  });
  return { clock, load, lines, write, recordedEvents };
}

/** Creates a loop whose reducer takes 4 ms per event, and 3 ms per effect. */
function createLoop({ clock, load, write }: Fixture): {
  readonly dispatch: (body: { kind: string }) => void;
} {
  return createReducerLoop({
    initial: 0,
    *reduce(state: number, { kind }: { kind: string }) {
      clock.block(4);
      if (kind === 'broken') throw new Error('broken');
      yield { kind };
      return state + 1;
    },
    perform: () => clock.block(3),
    clock,
    load,
    reportError: createErrorReporter(write),
    logFields: {},
  });
}

function createStore(clock: ManualClock, outcomes: readonly AppendOutcome[]): Store {
  const failed = { kind: 'failed' as const, detail: 'no' };
  const remainingOutcomes = [...outcomes];
  return {
    append: () => {
      clock.block(40);
      return Promise.resolve(remainingOutcomes.shift() ?? { kind: 'fenced' });
    },
    read: () => Promise.resolve(failed),
    readNewest: () => Promise.resolve(failed),
    join: () => Promise.resolve(failed),
    leave: () => Promise.resolve(),
    listOwners: () => Promise.resolve(failed),
    partitionCount: 12,
    limits: PUBLISHED_LIMITS,
  };
}

describe('owner load', ({ it }) => {
  it('logs at most one line per second that sums up events by kind', async (t) => {
    const fixture = createFixture();
    const { dispatch } = createLoop(fixture);
    dispatch({ kind: 'ticked' });
    dispatch({ kind: 'ticked' });
    dispatch({ kind: 'records-read' });
    t.deepEqual(fixture.lines, []);
    await fixture.clock.advance(1_000);
    dispatch({ kind: 'ticked' });
    t.deepEqual(fixture.lines, [
      {
        event: 'ownerLoad',
        service: 'quotes',
        spanMilliseconds: 1_028,
        busyMilliseconds: 514,
        waitingTasks: 7,
        longestMilliseconds: 7,
        longestKind: 'ticked',
        lateMilliseconds: 0,
        appends: 0,
        longestAppendMilliseconds: 0,
        appendedBytes: 0,
        events: { ticked: [3, 12, 9], 'records-read': [1, 4, 3] },
      },
    ]);
    t.deepEqual(fixture.recordedEvents.slice(0, 3), [
      ['ticked', 7],
      ['ticked', 7],
      ['records-read', 7],
    ]);
  });

  it('logs nothing while there are no events', async (t) => {
    const { clock, lines } = createFixture();
    await clock.advance(60_000);
    t.deepEqual(lines, []);
  });

  it('counts an event for which the reducer throws', async (t) => {
    const fixture = createFixture();
    const { dispatch } = createLoop(fixture);
    await fixture.clock.advance(1_000);
    dispatch({ kind: 'broken' });
    const [, line] = fixture.lines;
    t.deepEqual(line?.events, { broken: [1, 4, 0] });
  });

  it('logs the maximum lateness of the timer since the previous line', async (t) => {
    const { clock, load, lines } = createFixture();
    load.recordLateness(30);
    load.recordLateness(420);
    load.recordLateness(10);
    await clock.advance(1_000);
    load.recordEvent('ticked', clock.steadyNow(), clock.steadyNow());
    await clock.advance(1_000);
    load.recordEvent('ticked', clock.steadyNow(), clock.steadyNow());
    t.deepEqual(
      lines.map(({ lateMilliseconds }) => lateMilliseconds),
      [420, 0],
    );
  });

  it('counts each attempt at an append with its duration and its bytes', async (t) => {
    const { clock, load, lines, write } = createFixture();
    const journal = openJournal({
      store: createStore(clock, [
        { kind: 'unknown', detail: 'no' },
        { kind: 'stored', firstOffset: 0, nextOffset: 1 },
      ]),
      clock,
      partition: { topic: 'journal', partition: 0 },
      epoch: 1,
      isOpen: () => true,
      onFenced: () => t.fail('the journal was fenced'),
      load,
      writeEvent: write,
      logFields: {},
    });
    journal.append(1, [[{ key: 'progress/1', value: new Uint8Array(90) }]], () => undefined);
    await clock.advance(0);
    await clock.advance(1_000);
    load.recordEvent('ticked', clock.steadyNow(), clock.steadyNow());
    const line = lines.find(({ event }) => event === 'ownerLoad');
    t.is(line?.appends, 2);
    t.is(line?.longestAppendMilliseconds, 40);
    t.is(line?.appendedBytes, 200);
  });
});
