import { describe } from '@baobabdeck/test-tools';
import { runSteps, type AttemptOutcome } from '@baobabdeck/types';
import { PersistentSet } from '../../persistent.js';
import { emptyPoolDispatch, INITIAL_HOST_HEALTH, type PoolDispatch } from '../dispatch-state.js';
import { endEjections, recordAttemptOutcome } from '../health.js';
import { setHostLoad } from '../host-load.js';
import { recordRunClass } from '../work-kinds.js';

const SLOTS = 8;
const START = new Date(0);
const HOSTS = ['a', 'b', 'c', 'd', 'e', 'f'];

function poolWithHosts(hostIds: readonly string[]): PoolDispatch {
  const load = { hardware: 'h', routable: true, busySlots: 0, slotLimit: SLOTS, health: INITIAL_HOST_HEALTH };
  const empty = emptyPoolDispatch('p', 0, PersistentSet());
  return hostIds.reduce((view, hostId) => setHostLoad(view, hostId, load), recordRunClass(empty, 'k', false));
}

function recordTimes(
  view: PoolDispatch,
  hostId: string,
  outcome: AttemptOutcome,
  times = 1,
  now = START,
): PoolDispatch {
  let current = view;
  for (let time = 0; time < times; time += 1) {
    current = runSteps(recordAttemptOutcome(current, hostId, 'k', outcome, SLOTS, now)).state;
  }
  return current;
}

describe('host ejection', ({ it }) => {
  it('ejects a host after five consecutive failures and removes its slots from the free ones', (t) => {
    const four = recordTimes(poolWithHosts(HOSTS), 'a', 'failed', 4);
    t.is(four.ejectedCount, 0);
    const five = recordTimes(four, 'a', 'failed');
    t.is(five.ejectedCount, 1);
    t.is(five.freeSlots, (HOSTS.length - 1) * SLOTS);
  });

  it('gives a host one slot after its ejection, and all slots after a success', (t) => {
    const ejected = recordTimes(poolWithHosts(HOSTS), 'a', 'failed', 5);
    const probed = endEjections(ejected, new Date(5_000));
    t.is(probed.freeSlots, (HOSTS.length - 1) * SLOTS + 1);
    t.is(recordTimes(probed, 'a', 'succeeded').freeSlots, HOSTS.length * SLOTS);
    t.is(recordTimes(probed, 'a', 'failed').ejectedCount, 1);
  });

  it('halves the slot limit of a host that refuses work, and raises it by one for each success', (t) => {
    const half = recordTimes(poolWithHosts(HOSTS), 'a', 'refused');
    t.is(half.hosts.get('a')?.slotLimit, SLOTS / 2);
    t.is(recordTimes(half, 'a', 'succeeded').hosts.get('a')?.slotLimit, SLOTS / 2 + 1);
    t.is(recordTimes(half, 'a', 'refused', 3).hosts.get('a')?.slotLimit, 1);
  });
});

describe('ejection limits of a pool', ({ it }) => {
  it('ejects at most a third of the hosts', (t) => {
    const nine = [...HOSTS, 'g', 'h', 'i'];
    const bad = ['a', 'b', 'c', 'd'];
    const failing = bad.reduce((view, hostId) => recordTimes(view, hostId, 'failed', 4), poolWithHosts(nine));
    t.is(
      bad.reduce((view, hostId) => recordTimes(view, hostId, 'broken'), failing).ejectedCount,
      nine.length / 3,
    );
  });

  it('ejects no host for a work kind that fails on half of the hosts', (t) => {
    const everywhere = HOSTS.reduce(
      (view, hostId) => recordTimes(view, hostId, 'failed'),
      poolWithHosts(HOSTS),
    );
    t.is(HOSTS.reduce((view, hostId) => recordTimes(view, hostId, 'failed', 9), everywhere).ejectedCount, 0);
  });
});
