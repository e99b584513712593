import { describe } from '@baobabdeck/test-tools';
import { runSteps, type AttemptOutcome } from '@baobabdeck/types';
import { PersistentSet } from '../../persistent.js';
import { emptyPoolDispatch, GOOD_HEALTH, type PoolDispatch } from '../dispatch-state.js';
import { endEjections, noteOutcome } from '../health.js';
import { setHostLoad } from '../host-load.js';
import { learnRun } from '../work-kinds.js';

const SLOTS = 8;
const START = new Date(0);
const HOSTS = ['a', 'b', 'c', 'd', 'e', 'f'];

function poolOf(hostIds: readonly string[]): PoolDispatch {
  const load = { hardware: 'h', routable: true, busy: 0, slotLimit: SLOTS, health: GOOD_HEALTH };
  const empty = emptyPoolDispatch('p', 0, PersistentSet());
  return hostIds.reduce((view, hostId) => setHostLoad(view, hostId, load), learnRun(empty, 'k', false));
}

function note(
  view: PoolDispatch,
  hostId: string,
  outcome: AttemptOutcome,
  times = 1,
  now = START,
): PoolDispatch {
  let current = view;
  for (let time = 0; time < times; time += 1) {
    current = runSteps(noteOutcome(current, hostId, 'k', outcome, SLOTS, now)).state;
  }
  return current;
}

describe('a host', ({ it }) => {
  it('that fails five times in a row is ejected, and its slots with it', (t) => {
    const four = note(poolOf(HOSTS), 'a', 'failed', 4);
    t.is(four.ejectedCount, 0);
    const five = note(four, 'a', 'failed');
    t.is(five.ejectedCount, 1);
    t.is(five.freeSlots, (HOSTS.length - 1) * SLOTS);
  });

  it('that was ejected gets one slot on probation, and all of them after it answers well', (t) => {
    const ejected = note(poolOf(HOSTS), 'a', 'failed', 5);
    const onProbation = endEjections(ejected, new Date(5_000));
    t.is(onProbation.freeSlots, (HOSTS.length - 1) * SLOTS + 1);
    t.is(note(onProbation, 'a', 'succeeded').freeSlots, HOSTS.length * SLOTS);
    t.is(note(onProbation, 'a', 'failed').ejectedCount, 1);
  });

  it('that says it is busy gets half of its slots, and one back for each success', (t) => {
    const half = note(poolOf(HOSTS), 'a', 'refused');
    t.is(half.hosts.get('a')?.slotLimit, SLOTS / 2);
    t.is(note(half, 'a', 'succeeded').hosts.get('a')?.slotLimit, SLOTS / 2 + 1);
    t.is(note(half, 'a', 'refused', 3).hosts.get('a')?.slotLimit, 1);
  });
});

describe('a pool', ({ it }) => {
  it('never loses more than a third of its hosts to ejection', (t) => {
    const nine = [...HOSTS, 'g', 'h', 'i'];
    const bad = ['a', 'b', 'c', 'd'];
    const failing = bad.reduce((view, hostId) => note(view, hostId, 'failed', 4), poolOf(nine));
    t.is(bad.reduce((view, hostId) => note(view, hostId, 'broken'), failing).ejectedCount, nine.length / 3);
  });

  it('is not condemned for a kind of work that fails on half of its hosts', (t) => {
    const everywhere = HOSTS.reduce((view, hostId) => note(view, hostId, 'failed'), poolOf(HOSTS));
    t.is(HOSTS.reduce((view, hostId) => note(view, hostId, 'failed', 9), everywhere).ejectedCount, 0);
  });
});
