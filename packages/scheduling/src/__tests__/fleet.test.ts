import { describe } from '@baobabdeck/test-tools';
import { runSteps } from '@baobabdeck/types';
import type { FleetEffect, FleetEvent, HostOrderOutcome } from '../fleet/event.js';
import { reduceFleet, restoreFleet } from '../fleet/reduce.js';
import type { FleetRecord, FleetState } from '../fleet/state.js';
import type { HostListing } from '../model/worker.js';
import type { HostLoad, ServiceReport } from '../service/demand.js';

type Body = FleetEvent extends infer E ? (E extends FleetEvent ? Omit<E, 'at' | 'timeOfDay'> : never) : never;
type EffectOf<K extends FleetEffect['kind']> = Extract<FleetEffect, { readonly kind: K }>;

const DAY = new Date('2026-01-01T00:00:00Z').getTime();
const CLAIMED_AT = 1_000_000;
const HOST_MILLI_CORES = 10_000;

function hostOf(hostId: string, pool: string, fields: Partial<HostListing> = {}): HostListing {
  return {
    hostId,
    pool,
    state: 'up',
    dataCentre: 'west',
    rack: 'r1',
    capacity: { milliCores: HOST_MILLI_CORES, memoryMegabytes: 1_000, accelerators: 0 },
    workerId: pool === 'spare' ? null : `worker-of-${hostId}`,
    ...fields,
  };
}

function loadOf(hostId: string, fields: Partial<HostLoad> = {}): HostLoad {
  return {
    hostId,
    workerId: `worker-of-${hostId}`,
    committedMilliCores: 0,
    taskCount: 0,
    lastingCount: 0,
    isSound: true,
    release: null,
    ...fields,
  };
}

function reportOf(hosts: readonly HostLoad[], fields: Partial<ServiceReport> = {}): ServiceReport {
  return {
    service: 'quotes',
    hosts,
    waitingMilliCores: 0,
    lastingMilliCores: 0,
    offeredMilliCores: 0,
    leastHosts: 0,
    missingHosts: 0,
    ...fields,
  };
}

interface FleetPlay {
  readonly state: () => FleetState;
  readonly dispatch: (body: Body) => readonly FleetEffect[];
  readonly pass: (milliseconds: number) => readonly FleetEffect[];
  readonly list: (...hosts: readonly HostListing[]) => readonly FleetEffect[];
  readonly settle: (order: EffectOf<'order-host'>, outcome: HostOrderOutcome) => readonly FleetEffect[];
}

function ordersOf(effects: readonly FleetEffect[]): readonly EffectOf<'order-host'>[] {
  return effects.filter((effect): effect is EffectOf<'order-host'> => effect.kind === 'order-host');
}

/** A fleet with a pool `quotes` and a pool `spare`; appends are answered at once. */
function createPlay(records: readonly FleetRecord[] = []): FleetPlay {
  let now = CLAIMED_AT;
  let offset = 100;
  let state = restoreFleet({
    parameters: { holderLeaseMilliseconds: 3_000, ownershipProofMilliseconds: 2_000 },
    now,
    timeOfDay: new Date(DAY),
    claimedAt: now,
    provenAt: now,
    records,
  });
  const step = (body: Body): readonly FleetEffect[] => {
    const timeOfDay = new Date(DAY + now - CLAIMED_AT);
    const result = runSteps(reduceFleet(state, { ...body, at: now, timeOfDay }));
    ({ state } = result);
    return result.effects;
  };
  const dispatch = (body: Body): readonly FleetEffect[] => {
    const effects = [...step(body)];
    for (let index = 0; index < effects.length; index += 1) {
      const effect = effects[index];
      if (effect?.kind === 'store-fleet-records') {
        const { appendId, records: stored } = effect;
        effects.push(...step({ kind: 'fleet-records-stored', appendId, firstOffset: offset, askedAt: now }));
        offset += stored.length;
      }
    }
    return effects;
  };
  dispatch({
    kind: 'pools-known',
    pools: [
      { pool: 'quotes', isStandby: false },
      { pool: 'spare', isStandby: true },
    ],
  });
  return {
    state: () => state,
    dispatch,
    pass: (milliseconds) => {
      now += milliseconds;
      dispatch({ kind: 'ownership-proven', askedAt: now });
      return dispatch({ kind: 'ticked' });
    },
    list: (...hosts) => {
      now += 1;
      return dispatch({ kind: 'hosts-listed', hosts, askedAt: now });
    },
    settle: ({ hostId, fencingEpoch }, outcome) =>
      dispatch({ kind: 'host-order-settled', hostId, fencingEpoch, outcome }),
  };
}

const TWO_HOSTS = [hostOf('h1', 'quotes'), hostOf('h2', 'quotes')];

describe('a pool', ({ it }) => {
  it('that needs hosts gets those that are off, and only as many', (t) => {
    const play = createPlay();
    play.list(...TWO_HOSTS, hostOf('h3', 'spare'), hostOf('h4', 'spare'), hostOf('h5', 'spare'));
    const busy = reportOf([loadOf('h1'), loadOf('h2')], { waitingMilliCores: 2 * HOST_MILLI_CORES });
    play.dispatch({ kind: 'service-reported', report: busy });
    const orders = ordersOf(play.pass(250));
    t.deepEqual(
      orders.map(({ what }) => what),
      [
        { kind: 'move', pool: 'quotes' },
        { kind: 'move', pool: 'quotes' },
      ],
    );
  });

  it('gives a host away only after a while without need, and only once it is empty', (t) => {
    const play = createPlay();
    const hosts = ['h1', 'h2', 'h3'];
    play.list(...hosts.map((hostId) => hostOf(hostId, 'quotes')));
    const idle = () =>
      play.dispatch({ kind: 'service-reported', report: reportOf(hosts.map((hostId) => loadOf(hostId))) });
    idle();
    t.deepEqual(ordersOf(play.pass(250)), []);
    t.is(
      play.state().hosts.count(({ requestedAction }) => requestedAction !== null),
      0,
    );
    for (let waited = 0; waited < 3_000; waited += 250) {
      idle();
      play.pass(250);
    }
    const wanted = play.state().hosts.filter(({ requestedAction }) => requestedAction !== null);
    t.is(wanted.size, 1);
    const [hostId = ''] = wanted.keys();
    const draining = hosts.map((one) => loadOf(one, { release: one === hostId ? 'draining' : null }));
    t.deepEqual(ordersOf(play.dispatch({ kind: 'service-reported', report: reportOf(draining) })), []);
    const released = hosts.map((one) => loadOf(one, { release: one === hostId ? 'released' : null }));
    const [order] = ordersOf(play.dispatch({ kind: 'service-reported', report: reportOf(released) }));
    t.is(order?.hostId, hostId);
  });

  it('keeps the hosts that run lasting tasks', (t) => {
    const play = createPlay();
    const hosts = ['h1', 'h2', 'h3'];
    play.list(...hosts.map((hostId) => hostOf(hostId, 'quotes')));
    for (let waited = 0; waited < 4_000; waited += 250) {
      const loads = hosts.map((hostId) => loadOf(hostId, { lastingCount: 1, taskCount: 1 }));
      play.dispatch({ kind: 'service-reported', report: reportOf(loads) });
      play.pass(250);
    }
    t.is(
      play.state().hosts.count(({ requestedAction }) => requestedAction !== null),
      0,
    );
  });
});

describe('an order on a host', ({ describe: within, it }) => {
  const need = (play: FleetPlay) =>
    play.dispatch({
      kind: 'service-reported',
      report: reportOf([loadOf('h1'), loadOf('h2')], { waitingMilliCores: HOST_MILLI_CORES }),
    });

  it('is recorded before it is given, and fenced by its record', (t) => {
    const play = createPlay();
    play.list(...TWO_HOSTS, hostOf('h3', 'spare'));
    need(play);
    const effects = play.pass(250);
    const kinds = effects.map(({ kind }) => kind);
    t.true(kinds.indexOf('store-fleet-records') < kinds.indexOf('order-host'));
    t.is(ordersOf(effects)[0]?.fencingEpoch, 101);
  });

  it('without an answer is given again under the same token', (t) => {
    const play = createPlay();
    play.list(...TWO_HOSTS, hostOf('h3', 'spare'));
    need(play);
    const [order] = ordersOf(play.pass(250));
    if (order === undefined) {
      t.fail();
      return;
    }
    const [again] = ordersOf(play.settle(order, 'unanswered'));
    t.is(again?.fencingEpoch, order.fencingEpoch);
  });

  it('is named in the resignation of its owner, and no other follows', (t) => {
    const play = createPlay();
    play.list(...TWO_HOSTS, hostOf('h3', 'spare'), hostOf('h4', 'spare'));
    need(play);
    play.pass(250);
    const effects = play.dispatch({ kind: 'resign-requested' });
    const records = effects.flatMap((effect) =>
      effect.kind === 'store-fleet-records' ? effect.records : [],
    );
    t.like(records.at(-1), { kind: 'fleet-resigned', rests: [{ hostId: 'h3', milliseconds: 3_000 }] });
    need(play);
    t.deepEqual(ordersOf(play.pass(250)), []);
  });

  it('that another owner has overtaken ends the ownership', (t) => {
    const play = createPlay();
    play.list(...TWO_HOSTS, hostOf('h3', 'spare'));
    need(play);
    const [order] = ordersOf(play.pass(250));
    const effects = order === undefined ? [] : play.settle(order, 'fenced');
    t.true(effects.some(({ kind }) => kind === 'give-up-ownership'));
    t.deepEqual(play.pass(250), []);
  });

  within('of an earlier owner', ({ it: earlier }) => {
    const settledAgo = (milliseconds: number): FleetRecord => ({
      kind: 'host-settled',
      hostId: 'h3',
      recordedAt: new Date(DAY - milliseconds),
    });

    earlier('that has just ended keeps its host from orders for a while', (t) => {
      const play = createPlay([settledAgo(100)]);
      play.list(...TWO_HOSTS, hostOf('h3', 'spare'));
      need(play);
      t.deepEqual(ordersOf(play.pass(250)), []);
      play.pass(4_500);
      need(play);
      t.is(ordersOf(play.pass(500)).length, 1);
    });

    earlier('that ended long ago does not', (t) => {
      const play = createPlay([settledAgo(20_000)]);
      play.list(...TWO_HOSTS, hostOf('h3', 'spare'));
      need(play);
      t.is(ordersOf(play.pass(250)).length, 1);
    });

    earlier('that handed the fleet over is respected for as long as it says, and no longer', (t) => {
      const resigned = (rests: readonly { hostId: string; milliseconds: number }[]): FleetRecord => ({
        kind: 'fleet-resigned',
        rests,
        recordedAt: new Date(DAY),
      });
      const free = createPlay([settledAgo(100), resigned([])]);
      free.list(...TWO_HOSTS, hostOf('h3', 'spare'));
      need(free);
      t.is(ordersOf(free.pass(250)).length, 1);
      const resting = createPlay([settledAgo(100), resigned([{ hostId: 'h3', milliseconds: 1_000 }])]);
      resting.list(...TWO_HOSTS, hostOf('h3', 'spare'));
      need(resting);
      t.deepEqual(ordersOf(resting.pass(250)), []);
      t.is(ordersOf(resting.pass(800)).length, 1);
    });

    earlier('that may not have been carried out is given again, not before its lease is over', (t) => {
      const open: FleetRecord = {
        kind: 'host-ordered',
        hostId: 'h3',
        what: { kind: 'move', pool: 'quotes' },
        isAccepted: false,
        recordedAt: new Date(DAY - 60_000),
      };
      const play = createPlay([open]);
      play.list(...TWO_HOSTS, hostOf('h3', 'spare'));
      t.deepEqual(ordersOf(play.pass(4_900)), []);
      t.deepEqual(
        ordersOf(play.pass(200)).map(({ what }) => what),
        [{ kind: 'move', pool: 'quotes' }],
      );
    });
  });
});

describe('a wave', ({ it }) => {
  const ask = (play: FleetPlay, hostIds: readonly string[], maximumDown: number) =>
    play.dispatch({ kind: 'wave-asked', wave: 1, hostIds, durationMilliseconds: 20_000, maximumDown });

  it('takes no more hosts at once than may be down', (t) => {
    const play = createPlay();
    const hosts = ['h1', 'h2', 'h3'];
    play.list(...hosts.map((hostId) => hostOf(hostId, 'spare')));
    ask(play, hosts, 2);
    t.is(ordersOf(play.pass(250)).length, 2);
    t.deepEqual(ordersOf(play.pass(250)), []);
  });

  it('counts the hosts that an earlier owner took', (t) => {
    const taken: FleetRecord = {
      kind: 'host-ordered',
      hostId: 'h1',
      what: { kind: 'maintain', wave: 1 },
      isAccepted: true,
      recordedAt: new Date(DAY - 60_000),
    };
    const play = createPlay([taken]);
    play.list(hostOf('h1', 'spare', { state: 'upkeep' }), hostOf('h2', 'spare'));
    ask(play, ['h1', 'h2'], 1);
    t.deepEqual(ordersOf(play.pass(250)), []);
  });

  it('takes no host on the word that a former life of its worker is empty', (t) => {
    const play = createPlay();
    const hosts = ['h1', 'h2', 'h3', 'h4'];
    play.list(...hosts.map((hostId) => hostOf(hostId, 'quotes')));
    play.dispatch({ kind: 'service-reported', report: reportOf(hosts.map((one) => loadOf(one))) });
    ask(play, hosts, 4);
    play.pass(10);
    const [wanted = ''] = play
      .state()
      .hosts.filter(({ requestedAction }) => requestedAction !== null)
      .keys();
    const tell = (load: Partial<HostLoad>) => {
      const report = reportOf([loadOf(wanted, { release: 'released', ...load })]);
      return ordersOf(play.dispatch({ kind: 'service-reported', report }));
    };
    t.deepEqual(tell({ workerId: 'former-life' }), []);
    t.is(tell({}).length, 1);
  });

  it('is told completed only once every host of it has begun', (t) => {
    const play = createPlay();
    const hosts = ['h1', 'h2'];
    play.list(...hosts.map((hostId) => hostOf(hostId, 'spare')));
    ask(play, hosts, 2);
    const [first, second] = ordersOf(play.pass(250));
    if (first === undefined || second === undefined) {
      t.fail();
      return;
    }
    const toldBy = (effects: readonly FleetEffect[]) =>
      effects.flatMap((effect) => (effect.kind === 'tell-wave-status' ? [effect.status] : []));
    play.dispatch({ kind: 'wave-status-told', wave: 1, status: 'running', isStored: true });
    play.settle(first, 'accepted');
    t.deepEqual(toldBy(play.pass(250)), []);
    play.settle(second, 'accepted');
    t.deepEqual(toldBy(play.pass(250)), ['completed']);
  });

  it('hurries where an earlier owner saw it long ago', (t) => {
    const seen: FleetRecord = {
      kind: 'wave-progress',
      wave: 1,
      seenSince: new Date(DAY - 12_000),
      begunHostIds: [],
      isCompleted: false,
      recordedAt: new Date(DAY - 12_000),
    };
    const wishes = (records: readonly FleetRecord[]): number => {
      const play = createPlay(records);
      const hosts = ['h1', 'h2', 'h3', 'h4'];
      play.list(...hosts.map((hostId) => hostOf(hostId, 'quotes')));
      play.dispatch({ kind: 'service-reported', report: reportOf(hosts.map((one) => loadOf(one))) });
      ask(play, hosts, 4);
      play.pass(10);
      return play.state().hosts.count(({ requestedAction }) => requestedAction?.what.kind === 'maintain');
    };
    t.is(wishes([]), 1);
    t.is(wishes([seen]), 4);
  });
});
